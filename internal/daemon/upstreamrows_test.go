package daemon

import (
	"errors"
	"slices"
	"strconv"
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
func decodeWord(name string, value []byte) (fleet.Record, error) {
	service, address, ok := strings.Cut(string(value), " ")
	if !ok {
		return fleet.Record{}, errBad
	}
	return fleet.Record{Name: name, Service: service, Address: address, Leaving: address == "draining"}, nil
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
				present = append(present, r.Name)
			}
			var wentAway []string
			for _, g := range left {
				wentAway = append(wentAway, g.Name)
			}
			slices.Sort(present)
			if !slices.Equal(present, tc.present) {
				t.Errorf("present %v, want %v", present, tc.present)
			}
			if !slices.Equal(unreadable, tc.bad) {
				t.Errorf("unreadable %v, want %v", unreadable, tc.bad)
			}
			if !slices.Equal(wentAway, tc.gone) {
				t.Errorf("gone %v, want %v", wentAway, tc.gone)
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

// decodeStart decodes rows that hold the time of birth of an upstream.
func decodeStart(name string, value []byte) (fleet.Record, error) {
	born, err := strconv.ParseInt(string(value), 10, 64)
	return fleet.Record{Name: name, Born: born, Service: "llm", Address: "10.0.0.1:1"}, err
}

func startRow(name, born string) product.Record {
	return product.Record{Name: name, Version: 7, Value: []byte(born)}
}

// TestStartsInAnAnswer covers rows that tell when their upstreams were born.
func TestStartsInAnAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rows    []product.Record
		present []string
		gone    []string
	}{
		{"a row whose birth cannot be used changes no other one", []product.Record{startRow("a", "1.5"), startRow("b", "7")}, []string{"b"}, nil},
		{"of two starts in one answer the last one counts", []product.Record{startRow("a", "7"), gone("a"), startRow("a", "8")}, []string{"a"}, nil},
		{"two rows with one address are both there", []product.Record{startRow("a", "7"), startRow("b", "7")}, []string{"a", "b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRowsFixture()
			f.decode = decodeStart
			records, _, left := f.changes(tc.rows, false)
			var present, wentAway []string
			for _, r := range records {
				present = append(present, r.Name)
			}
			for _, g := range left {
				wentAway = append(wentAway, g.Name)
			}
			if !slices.Equal(present, tc.present) || !slices.Equal(wentAway, tc.gone) {
				t.Errorf("present %v, gone %v, want %v and %v", present, wentAway, tc.present, tc.gone)
			}
		})
	}
}

// The versions tell which start of an upstream is the later one: they must not get lost
// on the way.
func TestUpstreamChangesKeepVersions(t *testing.T) {
	f := newRowsFixture()
	f.decode = decodeStart
	records, _, left := f.changes([]product.Record{startRow("a", "5"), {Name: "b", Version: 8, Gone: true}}, false)
	if len(records) != 1 || records[0].Version != 7 || records[0].Born != 5 {
		t.Errorf("records %+v, want version 7 and birth 5", records)
	}
	if len(left) != 1 || left[0].Version != 8 {
		t.Errorf("gone %+v, want version 8", left)
	}
}

// A row that this program fails over ended each entry that read it.
func TestRowThatEndsNoReader(t *testing.T) {
	f := newRowsFixture()
	f.decode = func(name string, _ []byte) (fleet.Record, error) {
		if name == "oops" {
			panic("oops")
		}
		return fleet.Record{Name: name, Service: "app"}, nil
	}
	f.apply([]product.Record{{Name: "oops", Version: 1}, {Name: "good", Version: 2}}, true, time.Time{})
	if n := len(f.set.Of("app")); n != 1 || f.linesOf() != 1 {
		t.Errorf("%d upstreams and %d lines, want the good one and a line about the other", n, f.linesOf())
	}
}
