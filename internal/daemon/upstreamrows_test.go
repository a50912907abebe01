package daemon

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	product "github.com/sparshore/sparshore/internal/platform"
)

// errBad is why the decoder of these tests refuses a row.
var errBad = errors.New("bad row")

// decodeWord decodes rows that hold the name of a service and an address.
func decodeWord(id string, value []byte) (fleet.Record, error) {
	service, address, ok := strings.Cut(string(value), " ")
	if !ok {
		return fleet.Record{}, errBad
	}
	return fleet.Record{ID: id, Service: service, Address: address, Leaving: address == "draining"}, nil
}

func good(name string) product.Record {
	return product.Record{Name: name, Value: []byte("llm 10.0.0.1:1")}
}

func bad(name string) product.Record { return product.Record{Name: name, Value: []byte("{")} }

func gone(name string) product.Record { return product.Record{Name: name, Gone: true} }

// rowsFixture is an upstreamRows with a fleet that tells who left.
type rowsFixture struct {
	*upstreamRows
	set  *fleet.Set
	rec  *events.Recorder
	at   time.Time
	left []string
}

func newRowsFixture() *rowsFixture {
	f := &rowsFixture{rec: events.New(logr.Discard(), "p", "i", 1000, time.Now), at: time.Now()}
	f.set = fleet.New(f.rec, time.Now, func(id string) { f.left = append(f.left, id) })
	f.upstreamRows = newUpstreamRows(decodeWord, f.set, newBadRows(events.UpstreamRejected, error.Error, prometheus.NewRegistry(), f.rec, func() time.Time { return f.at }))
	return f
}

// used are the upstreams that get new work.
func (f *rowsFixture) used() []string {
	var out []string
	for _, u := range f.set.Of("llm") {
		out = append(out, u.ID)
	}
	slices.Sort(out)
	return out
}

func TestUpstreamChanges(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rows    []product.Record
		present []string
		bad     []string
		gone    []string
	}{
		{"rows come and go", []product.Record{good("a"), gone("b")}, []string{"a"}, nil, []string{"b"}},
		{"a row that went and came back in one answer is there", []product.Record{gone("a"), good("a")}, []string{"a"}, nil, nil},
		{"a row that came and went in one answer is gone", []product.Record{good("a"), gone("a")}, nil, nil, []string{"a"}},
		{"a row that cannot be used is there, and changes no other one", []product.Record{bad("a"), good("b")}, []string{"b"}, []string{"a"}, nil},
		{"a row that turned bad and went is gone", []product.Record{bad("a"), gone("a")}, nil, nil, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			records, unreadable, left := newRowsFixture().changes(tc.rows, false)
			var present []string
			for _, r := range records {
				present = append(present, r.ID)
			}
			slices.Sort(present)
			if !slices.Equal(present, tc.present) {
				t.Errorf("present %v, want %v", present, tc.present)
			}
			if !slices.Equal(unreadable, tc.bad) {
				t.Errorf("unreadable %v, want %v", unreadable, tc.bad)
			}
			if !slices.Equal(left, tc.gone) {
				t.Errorf("gone %v, want %v", left, tc.gone)
			}
		})
	}
}

// TestBadRowsAmongGoodOnes: a row that cannot be used takes nothing from the others, and
// its upstream gets no new work, while what runs there goes on.
func TestBadRowsAmongGoodOnes(t *testing.T) {
	type answer struct {
		full bool
		rows []product.Record
	}
	for _, tc := range []struct {
		name    string
		answers []answer
		used    []string
		left    []string
	}{
		{"only bad rows", []answer{{true, []product.Record{bad("a"), bad("b")}}}, nil, nil},
		{"a good row after a bad one", []answer{{true, []product.Record{bad("a"), good("b")}}}, []string{"b"}, nil},
		{"a bad row after a good one", []answer{{true, []product.Record{good("b"), bad("a")}}}, []string{"b"}, nil},
		{"a change that turns bad", []answer{{true, []product.Record{good("a"), good("b")}}, {false, []product.Record{bad("a")}}}, []string{"b"}, nil},
		{"a table in which one turned bad", []answer{{true, []product.Record{good("a"), good("b")}}, {true, []product.Record{bad("a"), good("b")}}}, []string{"b"}, nil},
		{"a table in which all turned bad", []answer{{true, []product.Record{good("a"), good("b")}}, {true, []product.Record{bad("a"), bad("b")}}}, nil, nil},
		{"good again", []answer{{true, []product.Record{good("a")}}, {false, []product.Record{bad("a")}}, {false, []product.Record{good("a")}}}, []string{"a"}, nil},
		{"bad and good again in one answer", []answer{{true, []product.Record{good("a")}}, {false, []product.Record{bad("a"), good("a")}}}, []string{"a"}, nil},
		{"good and bad again in one answer", []answer{{true, []product.Record{good("a")}}, {false, []product.Record{good("a"), bad("a")}}}, nil, nil},
		{"bad, then gone", []answer{{true, []product.Record{good("a")}}, {false, []product.Record{bad("a")}}, {false, []product.Record{gone("a")}}}, nil, []string{"a"}},
		{"bad, then missing in the table", []answer{{true, []product.Record{good("a")}}, {false, []product.Record{bad("a")}}, {true, nil}}, nil, []string{"a"}},
		{"two rows with one address", []answer{{true, []product.Record{good("a"), good("b")}}}, []string{"a", "b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRowsFixture()
			for _, a := range tc.answers {
				f.apply(a.rows, a.full, time.Time{})
			}
			if got := f.used(); !slices.Equal(got, tc.used) {
				t.Errorf("new work goes to %v, want %v", got, tc.used)
			}
			if !slices.Equal(f.left, tc.left) {
				t.Errorf("streams are moved from %v, want %v", f.left, tc.left)
			}
		})
	}
}
