package entry

import (
	"slices"
	"testing"

	"github.com/sparshore/sparshore/internal/quarantine"
)

// TestIsolate guards against a request that runs beside a suspect although its isolation forbids that: if
// the upstream crashes, nobody can tell which of the two crashed it.
func TestIsolate(t *testing.T) {
	trials := map[string]bool{"a": true}
	for _, tc := range []struct {
		name      string
		isolation quarantine.Isolation
		away      int
		want      []string
	}{
		{"harmless request: upstreams with a suspect come last", quarantine.Anywhere, 0, []string{"b", "c", "a"}},
		{"suspect with one crash: upstreams with a suspect come last", quarantine.ApartIfPossible, 2, []string{"b", "c", "a"}},
		{"suspect with several crashes: no upstream with a suspect", quarantine.Apart, 1, []string{"b", "c"}},
		{"suspect with several crashes: no upstream while most crashed recently", quarantine.Apart, 2, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := isolate([]string{"a", "b", "c"}, func(s string) string { return s }, trials, tc.isolation, tc.away)
			if !slices.Equal(got, tc.want) {
				t.Errorf("%v, want %v", got, tc.want)
			}
		})
	}
}
