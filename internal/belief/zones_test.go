package belief

import (
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/sparshore/sparshore/internal/platform"
)

func TestZones(t *testing.T) {
	row := func(name string) platform.Record { return platform.Record{Name: name} }
	removed := func(name string) platform.Record { return platform.Record{Name: name, Removed: true} }
	for _, tc := range []struct {
		name    string
		answers [][]platform.Record
		// full marks the answers that hold the whole table.
		full []bool
		want string
		told int
	}{
		{"other rows close no zone", [][]platform.Record{{row("config")}}, []bool{true}, "", 0},
		{"a zone is closed", [][]platform.Record{{row("closed/a")}}, []bool{false}, "a", 1},
		{"a zone is closed and opened again", [][]platform.Record{{row("closed/a")}, {removed("closed/a")}}, []bool{false, false}, "", 2},
		{"a zone is closed and opened within one answer", [][]platform.Record{{row("closed/a"), removed("closed/a")}}, []bool{false}, "", 0},
		{"the whole table lacks the row of a closed zone", [][]platform.Record{{row("closed/a"), row("closed/b")}, {row("closed/b")}}, []bool{true, true}, "b", 2},
		{"changes do not affect other zones", [][]platform.Record{{row("closed/a")}, {row("closed/b")}}, []bool{true, false}, "a b", 2},
		{"nothing changes", [][]platform.Record{{row("closed/a")}, {row("closed/a")}, {}}, []bool{true, false, false}, "a", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			applied, last := 0, map[string]bool{}
			z := NewZones(func(row string) (string, bool) { return strings.CutPrefix(row, "closed/") }, func(closed map[string]bool) {
				applied++
				last = closed
			})
			for i, records := range tc.answers {
				z.Apply(platform.Snapshot{Records: records}, tc.full[i])
			}
			if got := strings.Join(slices.Sorted(maps.Keys(last)), " "); got != tc.want || applied != tc.told {
				t.Errorf("closed: %q, applied %d times; want %q, %d", got, applied, tc.want, tc.told)
			}
		})
	}
}
