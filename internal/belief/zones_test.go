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
	gone := func(name string) platform.Record { return platform.Record{Name: name, Gone: true} }
	for _, tc := range []struct {
		name    string
		answers [][]platform.Record
		// full marks the answers that hold the whole table.
		full []bool
		want string
		told int
	}{
		{"other rows close nothing", [][]platform.Record{{row("config")}}, []bool{true}, "", 0},
		{"one is closed", [][]platform.Record{{row("closed/a")}}, []bool{false}, "a", 1},
		{"and opened again", [][]platform.Record{{row("closed/a")}, {gone("closed/a")}}, []bool{false, false}, "", 2},
		{"within one answer", [][]platform.Record{{row("closed/a"), gone("closed/a")}}, []bool{false}, "", 0},
		{"a whole table lacks it", [][]platform.Record{{row("closed/a"), row("closed/b")}, {row("closed/b")}}, []bool{true, true}, "b", 2},
		{"changes leave the others", [][]platform.Record{{row("closed/a")}, {row("closed/b")}}, []bool{true, false}, "a b", 2},
		{"nothing new", [][]platform.Record{{row("closed/a")}, {row("closed/a")}, {}}, []bool{true, false, false}, "a", 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			told, last := 0, map[string]bool{}
			z := NewZones(func(row string) (string, bool) { return strings.CutPrefix(row, "closed/") }, func(closed map[string]bool) {
				told++
				last = closed
			})
			for i, records := range tc.answers {
				z.Apply(platform.Snapshot{Records: records}, tc.full[i])
			}
			if got := strings.Join(slices.Sorted(maps.Keys(last)), " "); got != tc.want || told != tc.told {
				t.Errorf("closed: %q, told %d times; want %q, %d", got, told, tc.want, tc.told)
			}
		})
	}
}
