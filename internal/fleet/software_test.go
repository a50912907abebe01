package fleet

import (
	"slices"
	"strings"
	"testing"
	"time"
)

func versionRecord(id, software string) Record {
	r := record(id)
	r.Software = software
	return r
}

func TestSoftwareSinceRemembersVersionsOfRemovedUpstreams(t *testing.T) {
	f := newFixture()
	f.Update([]Record{versionRecord("a", "v1"), versionRecord("b", "v2")}, nil, true, time.Time{})
	f.Update([]Record{versionRecord("b", "v2")}, nil, true, time.Time{})
	f.at = f.at.Add(removedRetention + time.Second)
	f.Sweep()
	removed := f.at
	for _, tc := range []struct {
		name  string
		later time.Duration
		since time.Duration
		want  string
	}{
		{"within the period", time.Minute, -time.Minute, "v1 v2"},
		{"before the period", time.Minute, -time.Second, "v2"},
		{"after it was forgotten", softwareRetention + time.Minute, -time.Hour, "v2"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f.at = removed.Add(tc.later)
			f.Sweep()
			if got := strings.Join(f.SoftwareSince("llm", f.at.Add(tc.since)), " "); got != tc.want {
				t.Errorf("%q, want %q", got, tc.want)
			}
		})
	}
}

func TestAvailableOfReturnsOneVersion(t *testing.T) {
	f := newFixture()
	f.Update([]Record{versionRecord("a", "v1"), versionRecord("b", "v2"), versionRecord("c", "v2")}, nil, true, time.Time{})
	ids := func(software string) string {
		var out []string
		for _, u := range f.AvailableOf("llm", software) {
			out = append(out, u.ID)
		}
		slices.Sort(out)
		return strings.Join(out, " ")
	}
	if v1, v2, v3 := ids("v1"), ids("v2"), ids("v3"); v1 != "a" || v2 != "b c" || v3 != "" {
		t.Errorf("v1 %q, v2 %q, v3 %q", v1, v2, v3)
	}
	// The row of the only upstream of a version disappears around an outage of the store.
	f.Update([]Record{versionRecord("b", "v2"), versionRecord("c", "v2")}, nil, true, f.at.Add(time.Minute))
	if got := ids("v1"); got != "a" {
		t.Errorf("lapsed: %q, want a", got)
	}
	f.MarkLeaving("a", "test")
	if got := ids("v1"); got != "" {
		t.Errorf("leaving: %q, want none", got)
	}
}
