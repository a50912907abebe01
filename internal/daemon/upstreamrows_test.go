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

// errBad is the error of the decoders of these tests.
var errBad = errors.New("bad row")

// decodeServiceAddress decodes rows that hold the name of a service and an address.
func decodeServiceAddress(name string, value []byte) (fleet.Record, error) {
	service, address, ok := strings.Cut(string(value), " ")
	if !ok {
		return fleet.Record{}, errBad
	}
	return fleet.Record{Name: name, Service: service, Address: address, Leaving: address == "draining"}, nil
}

func validRow(name string) product.Record {
	return product.Record{Name: name, Value: []byte("llm 10.0.0.1:1")}
}

func invalidRow(name string) product.Record { return product.Record{Name: name, Value: []byte("{")} }

func removedRow(name string) product.Record { return product.Record{Name: name, Removed: true} }

// rowsFixture is an upstreamRows with a fleet that records which upstreams left.
type rowsFixture struct {
	*upstreamRows
	set  *fleet.Set
	rec  *events.Recorder
	now  time.Time
	left []string
}

func newRowsFixture() *rowsFixture {
	f := &rowsFixture{rec: events.New(events.LogTo(logr.Discard()), "p", "i", 1000, time.Now), now: time.Now()}
	f.set = fleet.New(f.rec, time.Now, func(id string) { f.left = append(f.left, id) })
	f.upstreamRows = newUpstreamRows(decodeServiceAddress, f.set, newBadRows(events.UpstreamRejected, error.Error, prometheus.NewRegistry(), f.rec, func() time.Time { return f.now }))
	return f
}

// usableUpstreams returns the upstreams that get new work.
func (f *rowsFixture) usableUpstreams() []string {
	var out []string
	for _, u := range f.set.Available("llm") {
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
		removed []string
	}{
		{"row added and row removed", []product.Record{validRow("a"), removedRow("b")}, []string{"a"}, nil, []string{"b"}},
		{"row removed and added in one answer is present", []product.Record{removedRow("a"), validRow("a")}, []string{"a"}, nil, nil},
		{"row added and removed in one answer counts as removed", []product.Record{validRow("a"), removedRow("a")}, nil, nil, []string{"a"}},
		{"invalid row is present and does not affect others", []product.Record{invalidRow("a"), validRow("b")}, []string{"b"}, []string{"a"}, nil},
		{"row that became invalid and was removed counts as removed", []product.Record{invalidRow("a"), removedRow("a")}, nil, nil, []string{"a"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			records, unreadable, removals := newRowsFixture().changes(tc.rows, false)
			var present []string
			for _, r := range records {
				present = append(present, r.Name)
			}
			var removed []string
			for _, g := range removals {
				removed = append(removed, g.Name)
			}
			slices.Sort(present)
			if !slices.Equal(present, tc.present) {
				t.Errorf("present %v, want %v", present, tc.present)
			}
			if !slices.Equal(unreadable, tc.bad) {
				t.Errorf("unreadable %v, want %v", unreadable, tc.bad)
			}
			if !slices.Equal(removed, tc.removed) {
				t.Errorf("removed %v, want %v", removed, tc.removed)
			}
		})
	}
}

// TestBadRowDoesNotAffectOtherRows checks that a row that cannot be used does not affect the
// others, and that its upstream gets no new work while its running requests continue.
func TestBadRowDoesNotAffectOtherRows(t *testing.T) {
	type answer struct {
		full bool
		rows []product.Record
	}
	for _, tc := range []struct {
		name    string
		answers []answer
		usable  []string
		left    []string
	}{
		{"only invalid rows", []answer{{true, []product.Record{invalidRow("a"), invalidRow("b")}}}, nil, nil},
		{"valid row after an invalid row", []answer{{true, []product.Record{invalidRow("a"), validRow("b")}}}, []string{"b"}, nil},
		{"invalid row after a valid row", []answer{{true, []product.Record{validRow("b"), invalidRow("a")}}}, []string{"b"}, nil},
		{"change makes a row invalid", []answer{{true, []product.Record{validRow("a"), validRow("b")}}, {false, []product.Record{invalidRow("a")}}}, []string{"b"}, nil},
		{"one row invalid in a complete read", []answer{{true, []product.Record{validRow("a"), validRow("b")}}, {true, []product.Record{invalidRow("a"), validRow("b")}}}, []string{"b"}, nil},
		{"all rows invalid in a complete read", []answer{{true, []product.Record{validRow("a"), validRow("b")}}, {true, []product.Record{invalidRow("a"), invalidRow("b")}}}, nil, nil},
		{"row becomes valid again", []answer{{true, []product.Record{validRow("a")}}, {false, []product.Record{invalidRow("a")}}, {false, []product.Record{validRow("a")}}}, []string{"a"}, nil},
		{"invalid and valid again in one answer", []answer{{true, []product.Record{validRow("a")}}, {false, []product.Record{invalidRow("a"), validRow("a")}}}, []string{"a"}, nil},
		{"valid and invalid again in one answer", []answer{{true, []product.Record{validRow("a")}}, {false, []product.Record{validRow("a"), invalidRow("a")}}}, nil, nil},
		{"invalid row is removed", []answer{{true, []product.Record{validRow("a")}}, {false, []product.Record{invalidRow("a")}}, {false, []product.Record{removedRow("a")}}}, nil, []string{"a"}},
		{"invalid row is missing in a complete read", []answer{{true, []product.Record{validRow("a")}}, {false, []product.Record{invalidRow("a")}}, {true, nil}}, nil, []string{"a"}},
		{"two rows with the same address", []answer{{true, []product.Record{validRow("a"), validRow("b")}}}, []string{"a", "b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRowsFixture()
			for _, a := range tc.answers {
				f.apply(a.rows, a.full, time.Time{})
			}
			if got := f.usableUpstreams(); !slices.Equal(got, tc.usable) {
				t.Errorf("new work goes to %v, want %v", got, tc.usable)
			}
			if !slices.Equal(f.left, tc.left) {
				t.Errorf("streams are moved from %v, want %v", f.left, tc.left)
			}
		})
	}
}

// decodeBorn decodes rows that hold the start time of an upstream.
func decodeBorn(name string, value []byte) (fleet.Record, error) {
	born, err := strconv.ParseInt(string(value), 10, 64)
	return fleet.Record{Name: name, Born: born, Service: "llm", Address: "10.0.0.1:1"}, err
}

func bornRow(name, born string) product.Record {
	return product.Record{Name: name, Version: 7, Value: []byte(born)}
}

// TestIncarnationsInOneAnswer covers rows with the start times of upstreams, including two
// incarnations of an upstream in one answer.
func TestIncarnationsInOneAnswer(t *testing.T) {
	for _, tc := range []struct {
		name    string
		rows    []product.Record
		present []string
		removed []string
	}{
		{"row with an invalid start time does not affect others", []product.Record{bornRow("a", "1.5"), bornRow("b", "7")}, []string{"b"}, nil},
		{"last of two incarnations in one answer is used", []product.Record{bornRow("a", "7"), removedRow("a"), bornRow("a", "8")}, []string{"a"}, nil},
		{"two rows with the same address are both present", []product.Record{bornRow("a", "7"), bornRow("b", "7")}, []string{"a", "b"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newRowsFixture()
			f.decode = decodeBorn
			records, _, removals := f.changes(tc.rows, false)
			var present, removed []string
			for _, r := range records {
				present = append(present, r.Name)
			}
			for _, g := range removals {
				removed = append(removed, g.Name)
			}
			if !slices.Equal(present, tc.present) || !slices.Equal(removed, tc.removed) {
				t.Errorf("present %v, removed %v, want %v and %v", present, removed, tc.present, tc.removed)
			}
		})
	}
}

// TestUpstreamChangesKeepVersions checks that versions are passed to the fleet, which uses them to
// tell which incarnation of an upstream is the later one.
func TestUpstreamChangesKeepVersions(t *testing.T) {
	f := newRowsFixture()
	f.decode = decodeBorn
	records, _, removals := f.changes([]product.Record{bornRow("a", "5"), {Name: "b", Version: 8, Removed: true}}, false)
	if len(records) != 1 || records[0].Version != 7 || records[0].Born != 5 {
		t.Errorf("records %+v, want version 7 and Born 5", records)
	}
	if len(removals) != 1 || removals[0].Version != 8 {
		t.Errorf("removed %+v, want version 8", removals)
	}
}

// TestPanicWhileDecodingRowIsContained guards against a row whose decoding panics: without
// recovery, it crashes every entry that reads the row.
func TestPanicWhileDecodingRowIsContained(t *testing.T) {
	f := newRowsFixture()
	f.decode = func(name string, _ []byte) (fleet.Record, error) {
		if name == "oops" {
			panic("oops")
		}
		return fleet.Record{Name: name, Service: "app"}, nil
	}
	f.apply([]product.Record{{Name: "oops", Version: 1}, {Name: "good", Version: 2}}, true, time.Time{})
	if n := len(f.set.Available("app")); n != 1 || f.rejectionLines() != 1 {
		t.Errorf("%d upstreams and %d lines, want the valid upstream and one line about the other", n, f.rejectionLines())
	}
}
