package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// TestFailing checks which of three upstreams count as failing.
func TestFailing(t *testing.T) {
	start := time.Now()
	for _, tc := range []struct {
		name string
		// own and peer are the failures that this entry and another one saw a second ago.
		own, peer map[string]int
		after     time.Duration
		want      []string
	}{
		{"nothing failed", nil, nil, 0, nil},
		{"one failed a few times", map[string]int{"a": 3}, nil, 0, nil},
		{"one failed many more than the others", map[string]int{"a": 9, "b": 1, "c": 1}, nil, 0, []string{"a"}},
		{"failures of all entries are added up", map[string]int{"a": 3}, map[string]int{"a": 4, "b": 1}, 0, []string{"a"}},
		{"all failed about equally", map[string]int{"a": 9, "b": 7, "c": 8}, nil, 0, nil},
		{"failures outside the window", map[string]int{"a": 9}, map[string]int{"a": 9}, time.Minute, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := start
			s := New(events.Nop(), func() time.Time { return now }, func(string) {})
			s.Update([]Record{{Name: "a", Service: "app"}, {Name: "b", Service: "app"}, {Name: "c", Service: "app"}}, nil, true, time.Time{})
			for id, n := range tc.own {
				for range n {
					s.RecordOutcome(id, Failed)
				}
			}
			s.PeerFailures("peer", tc.peer)
			now = now.Add(time.Second + tc.after)
			if got := slices.Sorted(maps.Keys(s.Failing("app"))); !slices.Equal(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}
