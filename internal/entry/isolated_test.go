package entry

import (
	"slices"
	"testing"

	"github.com/sparshore/sparshore/internal/quarantine"
)

func TestIsolate(t *testing.T) {
	trials := map[string]bool{"a": true}
	for _, tc := range []struct {
		name      string
		isolation quarantine.Isolation
		away      int
		want      []string
	}{
		{"a sound request goes elsewhere if it can", quarantine.Anywhere, 0, []string{"b", "c", "a"}},
		{"one under which an upstream ended does, too", quarantine.ApartIfPossible, 2, []string{"b", "c", "a"}},
		{"one under which two ended goes nowhere near", quarantine.Apart, 1, []string{"b", "c"}},
		{"and nowhere while most upstreams are away", quarantine.Apart, 2, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := isolate([]string{"a", "b", "c"}, func(s string) string { return s }, trials, tc.isolation, tc.away)
			if !slices.Equal(got, tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
