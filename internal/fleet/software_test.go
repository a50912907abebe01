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
		{"after it was forgotten", SoftwareRetention + time.Minute, -time.Hour, "v2"},
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

// TestSoftwareOfQuietUpstreams guards against versions in service that count as gone because no row of their
// upstreams has changed for long.
func TestSoftwareOfQuietUpstreams(t *testing.T) {
	f := newFixture()
	f.Update([]Record{versionRecord("a", "v1"), versionRecord("b", "v2")}, nil, true, time.Time{})
	f.at = f.at.Add(SoftwareRetention + time.Minute)
	f.Sweep()
	if got := strings.Join(f.Software()["llm"], " "); got != "v1 v2" {
		t.Errorf("%q although upstreams of v1 and v2 serve", got)
	}
}

// TestFollowedSince checks since when a process can tell which versions served.
func TestFollowedSince(t *testing.T) {
	f := newFixture()
	start := f.at
	if _, ok := f.FollowedSince(); ok {
		t.Error("known before the first answer")
	}
	for _, tc := range []struct {
		name string
		// answers are the times of answers after the start.
		answers []time.Duration
		missed  bool
		now     time.Duration
		since   time.Duration
		ok      bool
	}{
		{"without a gap", []time.Duration{0, 2 * time.Second, 6 * time.Second}, false, 7 * time.Second, 0, true},
		{"after a gap", []time.Duration{13 * time.Second}, false, 14 * time.Second, 13 * time.Second, true},
		{"an answer is older than the one before", []time.Duration{12 * time.Second}, false, 18 * time.Second, 13 * time.Second, true},
		{"the store was restored", []time.Duration{17 * time.Second}, true, 18 * time.Second, 17 * time.Second, true},
		{"the store is away", nil, false, 23 * time.Second, 17 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if tc.missed {
				f.MissedChanges()
			}
			for _, at := range tc.answers {
				f.Followed(start.Add(at))
			}
			f.at = start.Add(tc.now)
			if since, ok := f.FollowedSince(); ok != tc.ok || !since.Equal(start.Add(tc.since)) {
				t.Errorf("since %s, %v", since.Sub(start), ok)
			}
		})
	}
}

// A version whose only row came and went between two answers was not known, but the view counted as complete.
func TestVersionThatCameAndWentIsMissed(t *testing.T) {
	for _, tc := range []struct {
		name    string
		records []Record
		gone    []Removal
		full    bool
		missed  bool
	}{
		{"a change", []Record{versionRecord("b", "v2")}, nil, false, false},
		{"a known row is gone", nil, []Removal{{Name: "a"}}, false, false},
		{"an unknown row is gone", nil, []Removal{{Name: "b"}}, false, true},
		{"the whole table", []Record{versionRecord("a", "v1")}, nil, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{versionRecord("a", "v1")}, nil, true, time.Time{})
			f.Followed(f.at)
			f.at = f.at.Add(time.Second)
			f.Update(tc.records, tc.gone, tc.full, time.Time{})
			f.Followed(f.at)
			if since, ok := f.FollowedSince(); !ok || since.Equal(f.at) != tc.missed {
				t.Errorf("followed for %s, %v; want missed: %v", f.at.Sub(since), ok, tc.missed)
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
