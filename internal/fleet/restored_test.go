package fleet

import (
	"slices"
	"testing"
	"time"
)

// After the store was restored from a copy its versions were below those that the fleet knew: an
// upstream that started again got no work, one whose row went kept it, and rows of the copy brought
// back those that had left.
func TestFleetAfterTheStoreWasRestored(t *testing.T) {
	const settles = 5 * time.Second
	restore := func(f *fixture, records ...Record) { f.Restore(records, nil, f.at.Add(settles)) }
	now := func(f *fixture, records ...Record) { f.Update(records, nil, false, f.at.Add(settles)) }
	list := func(f *fixture, records ...Record) {
		f.at = f.at.Add(settles)
		f.Sweep()
		f.Update(records, nil, true, f.at)
	}
	other := start("other", 1, 1)
	for _, tc := range []struct {
		name string
		// before is what was known of a.
		before func(f *fixture)
		after  func(f *fixture)
		// works tells whether a gets work, by its start; 0 for no work.
		works int64
	}{
		{"it serves as before", nil, func(f *fixture) { restore(f, other, start("a", 100, 30)) }, 100},
		{"it starts again", nil, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			now(f, start("a", 200, 37))
		}, 200},
		{"it had started again before the table was read", nil, func(f *fixture) { restore(f, other, start("a", 200, 37)) }, 200},
		{"it starts again with a clock that jumped back", nil, func(f *fixture) {
			restore(f, other)
			now(f, start("a", 60, 38))
		}, 60},
		{"that, before the table was read", nil, func(f *fixture) {
			restore(f, other, start("a", 60, 37))
			list(f, other, start("a", 60, 37))
		}, 60},
		{"that, and the copy has the start before", func(f *fixture) { now(f, start("a", 60, 52)) }, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			now(f, start("a", 60, 38))
		}, 60},
		{"its row goes", nil, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			f.Update(nil, []Gone{{Name: "a", Version: 38}}, false, time.Time{})
		}, 0},
		{"it says that it leaves, again", nil, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			now(f, startLeaving(100, 38))
		}, 0},
		{"the copy has an earlier start", nil, func(f *fixture) { restore(f, other, start("a", 50, 30)) }, 100},
		{"the copy is from before its row said that it leaves", func(f *fixture) { now(f, startLeaving(100, 51)) }, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			list(f, other, start("a", 100, 30))
		}, 0},
		{"the copy is from before its answer said so", func(f *fixture) { f.AnsweredLeaving(f.working("a")[0]) }, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			now(f, start("a", 100, 38))
		}, 0},
		{"the copy is from before its row went", func(f *fixture) { f.Update(nil, []Gone{{Name: "a", Version: 51}}, false, time.Time{}) }, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
		}, 0},
		{"that, and it writes its row again", func(f *fixture) { f.Update(nil, []Gone{{Name: "a", Version: 51}}, false, time.Time{}) }, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			now(f, start("a", 100, 38))
		}, 100},
		{"that, and the row stays", func(f *fixture) { f.Update(nil, []Gone{{Name: "a", Version: 51}}, false, time.Time{}) }, func(f *fixture) {
			restore(f, other, start("a", 100, 30))
			list(f, other, start("a", 100, 30))
		}, 100},
		{"the copy is from before it began", nil, func(f *fixture) { restore(f, other) }, 0},
		{"that, and it writes its row again", nil, func(f *fixture) {
			restore(f, other)
			now(f, start("a", 100, 38))
		}, 100},
		{"that, and it does not", nil, func(f *fixture) {
			restore(f, other)
			list(f, other)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{other, start("a", 100, 50)}, nil, true, time.Time{})
			if tc.before != nil {
				tc.before(f)
			}
			tc.after(f)
			var want []string
			if tc.works != 0 {
				want = []string{startID("a", tc.works)}
			}
			if got := f.working("a"); !slices.Equal(got, want) {
				t.Errorf("work goes to %v, want %v", got, want)
			}
			if u, _ := f.Get(startID("other", 1)); u.State() != Serving {
				t.Error("the other one does not serve")
			}
		})
	}
}

// The copy lacks an upstream that began since: it gets work while no other one can take it.
func TestUpstreamThatTheCopyLacksServesIfNoOtherDoes(t *testing.T) {
	f := newFixture()
	f.Update([]Record{start("a", 100, 50)}, nil, true, time.Time{})
	f.Restore(nil, nil, f.at.Add(5*time.Second))
	if got := f.working("a"); len(got) != 1 {
		t.Errorf("work goes to %v, want to the one that is there", got)
	}
}
