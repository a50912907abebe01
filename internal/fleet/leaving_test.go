package fleet

import (
	"strconv"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// TestLeavingShare checks the share of a service that is expected to leave at once.
func TestLeavingShare(t *testing.T) {
	start := time.Now()
	for _, tc := range []struct {
		name string
		// leaves are the times at which one of ten upstreams begins to leave.
		leaves []time.Duration
		at     time.Duration
		want   float64
	}{
		{"no departures", nil, time.Second, 0},
		{"two together", []time.Duration{0, 100 * time.Millisecond}, time.Second, 0.2},
		{"one by one", []time.Duration{0, 3 * time.Second, 6 * time.Second}, 7 * time.Second, 1.0 / 8},
		{"departures no longer kept", []time.Duration{0, 0, 0}, time.Minute, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := start
			s := New(events.Nop(), func() time.Time { return now }, func(string) {})
			var records []Record
			for i := range 10 {
				records = append(records, Record{Name: strconv.Itoa(i), Service: "llm"})
			}
			s.Update(records, nil, true, time.Time{})
			for i, at := range tc.leaves {
				now = start.Add(at)
				s.MarkLeaving(strconv.Itoa(i), "test")
			}
			now = start.Add(tc.at)
			if got := s.LeavingShare("llm"); got != tc.want {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// Guards against departures that are kept forever for each service that a row of another writer names.
func TestDeparturesAreForgotten(t *testing.T) {
	now := time.Now()
	s := New(events.Nop(), func() time.Time { return now }, func(string) {})
	for i := range 100 {
		s.Update([]Record{{Name: "odd", Service: strconv.Itoa(i), Version: int64(i + 1), Leaving: true, Born: int64(i + 1)}}, nil, true, time.Time{})
	}
	s.Sweep()
	before := len(s.departures)
	now = now.Add(departureRetention + time.Second)
	s.Sweep()
	if before != 100 || len(s.departures) != 0 {
		t.Errorf("departures of %d services, later of %d; want 100, then none", before, len(s.departures))
	}
}
