package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// unreachableFixture is a Set with a clock and the upstreams "a" and "b".
type unreachableFixture struct {
	*Set
	now time.Time
}

func newUnreachableFixture() *unreachableFixture {
	f := &unreachableFixture{now: time.Unix(1000, 0)}
	f.Set = New(events.Nop(), func() time.Time { return f.now }, func(string) {})
	f.Update([]Record{{Name: "a", Service: "llm", Slots: 1}, {Name: "b", Service: "llm", Slots: 1}}, nil, true, time.Time{})
	return f
}

func (f *unreachableFixture) avoided(id string) bool {
	u, _ := f.Get(id)
	return f.now.Before(u.AvoidUntil())
}

// Guards against requests that are sent to an engine which this entry knows to be unreachable, and against an
// engine that stays avoided after it was reached.
func TestUnreachableUpstreamIsAvoided(t *testing.T) {
	f := newUnreachableFixture()
	if !f.Unreachable("a") {
		t.Error("the first failed attempt starts no checks")
	}
	if f.Unreachable("a") {
		t.Error("a later failed attempt starts checks beside those that run")
	}
	for range 5 {
		f.now = f.now.Add(UnreachableInterval + 400*time.Millisecond)
		if !f.avoided("a") || f.avoided("b") {
			t.Fatalf("avoided: a %t, b %t; want a alone until the next check ends", f.avoided("a"), f.avoided("b"))
		}
		f.Unreachable("a")
	}
	if got := slices.Collect(maps.Keys(f.UnreachableSince())); !slices.Equal(got, []string{"a"}) {
		t.Errorf("reported as unreachable: %v, want a", got)
	}
	f.Reachable("a")
	if f.avoided("a") || len(f.UnreachableSince()) != 0 {
		t.Errorf("avoided: %t, reported: %v; want neither once it can be reached", f.avoided("a"), f.UnreachableSince())
	}
	if !f.Unreachable("a") {
		t.Error("a failed attempt after that starts no checks")
	}
}

// Guards against an entry behind a failed link that makes all others avoid, or check again and again, upstreams
// that they can reach, and against reports that cannot be right.
func TestPeerReportsAreChecked(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *unreachableFixture)
		id     string
		age    time.Duration
		check  bool
	}{
		{"a new report", func(*unreachableFixture) {}, "a", 100 * time.Millisecond, true},
		{"an old report", func(*unreachableFixture) {}, "a", unreachableFor, false},
		{"a report from the future", func(*unreachableFixture) {}, "a", -time.Second, false},
		{"an upstream that is not known", func(*unreachableFixture) {}, "c", 0, false},
		{"known as unreachable", func(f *unreachableFixture) { f.Unreachable("a") }, "a", 0, false},
		{"a check is in progress", func(f *unreachableFixture) { f.PeerUnreachable(map[string]time.Time{"a": f.now}) }, "a", 0, false},
		{"a check just reached it", func(f *unreachableFixture) { f.Reachable("a"); f.now = f.now.Add(recheckAfter - time.Second) }, "a", 0, false},
		{"a check reached it long ago", func(f *unreachableFixture) { f.Reachable("a"); f.now = f.now.Add(recheckAfter) }, "a", 0, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newUnreachableFixture()
			tc.before(f)
			got := f.PeerUnreachable(map[string]time.Time{tc.id: f.now.Add(-tc.age)})
			if (len(got) == 1) != tc.check {
				t.Fatalf("%d upstreams to check, want a check: %t", len(got), tc.check)
			}
			if tc.check && !f.avoided(tc.id) {
				t.Error("the upstream is not avoided during the check")
			}
			if len(f.UnreachableSince()) > 0 && tc.name != "known as unreachable" {
				t.Error("what another entry reported is passed on as an own observation")
			}
			f.now = f.now.Add(checkFor)
			if tc.check && f.avoided(tc.id) {
				t.Error("the upstream is avoided longer than the check takes")
			}
		})
	}
}

// Guards against silent streams of an upstream that each make this entry check it.
func TestSilentUpstreamIsCheckedOnce(t *testing.T) {
	f := newUnreachableFixture()
	if !f.Silent("a") || !f.avoided("a") {
		t.Error("a silent upstream is not checked, or not avoided meanwhile")
	}
	if f.Silent("a") {
		t.Error("the upstream is checked again during the check")
	}
	f.Reachable("a")
	if f.avoided("a") || f.Silent("a") {
		t.Error("an upstream that was just reached is avoided or checked")
	}
	f.now = f.now.Add(checkFor)
	if !f.Silent("a") {
		t.Error("an upstream that was reached some time ago is not checked")
	}
	f.Unreachable("a")
	f.now = f.now.Add(unreachableFor)
	if f.Silent("a") || f.Silent("unknown") {
		t.Error("an upstream that is checked anyway, or unknown, is checked")
	}
}
