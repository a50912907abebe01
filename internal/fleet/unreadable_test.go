package fleet

import (
	"testing"
	"time"
)

// TestUnreadable: an upstream whose record cannot be read gets no new work, and its
// streams stay.
func TestUnreadable(t *testing.T) {
	at := func(f *fixture, d time.Duration) time.Time { return f.at.Add(d) }
	bad := func(f *fixture, full bool) { f.UpdateAll(nil, []string{"a"}, nil, full, time.Time{}) }
	for _, tc := range []struct {
		name string
		play func(f *fixture)
		// state is that of a, used whether it gets new work, left how often its streams
		// were to be moved.
		state State
		used  bool
		left  int
	}{
		{"in a change", func(f *fixture) { bad(f, false) }, Serving, false, 0},
		{"in a whole table", func(f *fixture) { bad(f, true) }, Serving, false, 0},
		{"again and again", func(f *fixture) { bad(f, true); bad(f, false); bad(f, true) }, Serving, false, 0},
		{"long after", func(f *fixture) { bad(f, true); f.at = at(f, time.Hour); f.Sweep() }, Serving, false, 0},
		{"while it lapsed", func(f *fixture) {
			f.Update(nil, []Gone{{Name: "a"}}, false, at(f, time.Second))
			bad(f, false)
			f.at = at(f, time.Minute)
			f.Sweep()
		}, Serving, false, 0},
		{"then lapsed", func(f *fixture) { bad(f, false); f.Update(nil, []Gone{{Name: "a"}}, false, at(f, time.Second)) }, Lapsed, false, 0},
		{"then missing", func(f *fixture) { bad(f, false); f.Update(nil, nil, true, time.Time{}) }, Leaving, false, 1},
		{"then draining", func(f *fixture) { bad(f, false); f.Update([]Record{leaving("a")}, nil, false, time.Time{}) }, Leaving, false, 1},
		{"while it drains", func(f *fixture) { f.Update([]Record{leaving("a")}, nil, false, time.Time{}); bad(f, true) }, Leaving, false, 1},
		{"and the upstream says itself that it leaves", func(f *fixture) { bad(f, false); f.ReportedLeaving("a") }, Leaving, false, 1},
		{"then good", func(f *fixture) { bad(f, false); f.Update([]Record{record("a")}, nil, false, time.Time{}) }, Serving, true, 0},
		{"lapsed and then good", func(f *fixture) {
			bad(f, false)
			f.Update(nil, []Gone{{Name: "a"}}, false, at(f, time.Second))
			f.Update([]Record{record("a")}, nil, false, time.Time{})
		}, Serving, true, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a")}, nil, true, time.Time{})
			if len(f.Of("llm")) != 1 {
				t.Fatal("a does not serve")
			}
			tc.play(f)
			if got := f.state(t); got != tc.state {
				t.Errorf("state %v, want %v", got, tc.state)
			}
			if got := len(f.Of("llm")) == 1; got != tc.used {
				t.Errorf("new work %v, want %v", got, tc.used)
			}
			if len(f.left) != tc.left {
				t.Errorf("streams to be moved %d times, want %d", len(f.left), tc.left)
			}
		})
	}
}

// TestUnreadableUnknown: a record that never could be read makes no upstream.
func TestUnreadableUnknown(t *testing.T) {
	f := newFixture()
	f.UpdateAll(nil, []string{"a"}, nil, true, time.Time{})
	if _, ok := f.Get("a"); ok || len(f.Of("llm")) != 0 {
		t.Error("a is known")
	}
	f.Update([]Record{record("a")}, nil, false, time.Time{})
	if len(f.Of("llm")) != 1 {
		t.Error("a good record brings no upstream")
	}
}
