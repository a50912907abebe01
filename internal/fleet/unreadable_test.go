package fleet

import (
	"testing"
	"time"
)

// TestUnreadable checks that an upstream whose record cannot be read gets no new work and keeps its
// streams.
func TestUnreadable(t *testing.T) {
	after := func(f *fixture, d time.Duration) time.Time { return f.at.Add(d) }
	unreadable := func(f *fixture, full bool) { f.UpdateAll(nil, []string{"a"}, nil, full, time.Time{}) }
	for _, tc := range []struct {
		name string
		run  func(f *fixture)
		// state is the state of a, used whether it gets new work, and left how often its streams
		// were to be moved.
		state State
		used  bool
		left  int
	}{
		{"in an incremental update", func(f *fixture) { unreadable(f, false) }, Serving, false, 0},
		{"in a complete table", func(f *fixture) { unreadable(f, true) }, Serving, false, 0},
		{"repeatedly", func(f *fixture) { unreadable(f, true); unreadable(f, false); unreadable(f, true) }, Serving, false, 0},
		{"for a long time", func(f *fixture) { unreadable(f, true); f.at = after(f, time.Hour); f.Sweep() }, Serving, false, 0},
		{"while lapsed", func(f *fixture) {
			f.Update(nil, []Removal{{Name: "a"}}, false, after(f, time.Second))
			unreadable(f, false)
			f.at = after(f, time.Minute)
			f.Sweep()
		}, Serving, false, 0},
		{"then lapsed", func(f *fixture) {
			unreadable(f, false)
			f.Update(nil, []Removal{{Name: "a"}}, false, after(f, time.Second))
		}, Lapsed, false, 0},
		{"then missing", func(f *fixture) { unreadable(f, false); f.Update(nil, nil, true, time.Time{}) }, Leaving, false, 1},
		{"then leaving", func(f *fixture) {
			unreadable(f, false)
			f.Update([]Record{leavingRecord("a")}, nil, false, time.Time{})
		}, Leaving, false, 1},
		{"while leaving", func(f *fixture) { f.Update([]Record{leavingRecord("a")}, nil, false, time.Time{}); unreadable(f, true) }, Leaving, false, 1},
		{"then self-reported as leaving", func(f *fixture) { unreadable(f, false); f.ReportedLeaving("a") }, Leaving, false, 1},
		{"then readable", func(f *fixture) { unreadable(f, false); f.Update([]Record{record("a")}, nil, false, time.Time{}) }, Serving, true, 0},
		{"lapsed, then readable", func(f *fixture) {
			unreadable(f, false)
			f.Update(nil, []Removal{{Name: "a"}}, false, after(f, time.Second))
			f.Update([]Record{record("a")}, nil, false, time.Time{})
		}, Serving, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a")}, nil, true, time.Time{})
			if len(f.Available("llm")) != 1 {
				t.Fatal("upstream a does not serve")
			}
			tc.run(f)
			if got := f.state(t); got != tc.state {
				t.Errorf("state %v, want %v", got, tc.state)
			}
			if got := len(f.Available("llm")) == 1; got != tc.used {
				t.Errorf("new work %v, want %v", got, tc.used)
			}
			if len(f.departed) != tc.left {
				t.Errorf("streams to be moved %d times, want %d", len(f.departed), tc.left)
			}
		})
	}
}

// TestUnreadableRecordOfUnknownUpstream checks that an unreadable record alone adds no upstream.
func TestUnreadableRecordOfUnknownUpstream(t *testing.T) {
	f := newFixture()
	f.UpdateAll(nil, []string{"a"}, nil, true, time.Time{})
	if _, ok := f.Get("a"); ok || len(f.Available("llm")) != 0 {
		t.Error("upstream a is known")
	}
	f.Update([]Record{record("a")}, nil, false, time.Time{})
	if len(f.Available("llm")) != 1 {
		t.Error("a readable record adds no upstream")
	}
}
