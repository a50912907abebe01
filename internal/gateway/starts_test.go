package gateway

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
)

// record returns the record of an upstream of a test.
func (f *fixture) record(name string) fleet.Record {
	f.t.Helper()
	for _, r := range f.records {
		if r.Name == name {
			return r
		}
	}
	f.t.Fatalf("no upstream %s", name)
	return fleet.Record{}
}

// restart makes a start of an upstream known, by its own record, and returns it.
func (f *fixture) restart(name string, born int64) fleet.Upstream {
	f.t.Helper()
	r := f.record(name)
	r.Born, r.Version = born, born
	f.fleet.Update([]fleet.Record{r}, nil, false, time.Time{})
	for _, u := range f.fleet.Of(r.Service) {
		if u.Name == name {
			return u
		}
	}
	f.t.Fatalf("%s is not known after its start", name)
	return fleet.Upstream{}
}

// TestReportOfAnotherStart covers that a report counts only for the start that made it.
func TestReportOfAnotherStart(t *testing.T) {
	for _, tc := range []struct {
		name, report string
		born         int64
		want         fleet.State
		counts       bool
	}{
		{"the start that is asked", "leaving waiting born 200", 200, fleet.Leaving, true},
		{"an earlier start", "leaving waiting born 100", 200, fleet.Serving, false},
		{"a later start", "leaving waiting born 300", 200, fleet.Serving, false},
		{"a report that tells of no birth", "leaving waiting", 200, fleet.Leaving, true},
		{"a record that tells of no birth", "leaving waiting born 200", 0, fleet.Leaving, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.add("llm", "a", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tc.report) })
			u := f.restart("a", tc.born)
			state, err := f.gateway.ask(t.Context(), u, "test")
			if got := err == nil && state.Waiting == 1; got != tc.counts {
				t.Errorf("%+v, %v; want that it counts: %v", state, err, tc.counts)
			}
			if u, _ = f.fleet.Get(u.ID); u.State() != tc.want {
				t.Errorf("state %d, want %d", u.State(), tc.want)
			}
		})
	}
}
