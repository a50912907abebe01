package quarantine

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// fixture is a Set with a clock of its own.
type fixture struct {
	*Set
	t     *testing.T
	clock time.Time
	urged int
}

func newTestSet(t *testing.T) *fixture {
	f := &fixture{t: t, clock: time.Now()}
	f.Set = New(events.Nop(), func() time.Time { return f.clock }, func() { f.urged++ })
	return f
}

func request(name string) Request { return Request{Fingerprint: named(name), Route: "route"} }

// enter begins a run that must be allowed.
func (f *fixture) enter(name string) *Run {
	f.t.Helper()
	r, err := f.Enter(f.t.Context(), request(name), 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// ends lets upstreams end under a request, one after the other.
func (f *fixture) ends(name string, starts ...string) {
	f.t.Helper()
	for _, start := range starts {
		r := f.enter(name)
		r.Sent()
		r.Broke(start)
		f.Ended(start)
		r.Leave()
	}
}

// refused returns why request a is not run.
func (f *fixture) refused() error {
	_, err := f.Enter(f.t.Context(), request("a"), 0)
	return err
}

func TestHeldAfterThreeEnds(t *testing.T) {
	f := newTestSet(t)
	f.ends("a", "1", "2")
	f.enter("b").Leave()
	f.ends("a", "3")
	if err := f.refused(); !errors.Is(err, ErrHeld) {
		t.Errorf("%v, want %v", err, ErrHeld)
	}
	f.enter("b").Leave()
}

// TestOneTryAfterAQuarantine covers that a request that is held is tried once each time its
// quarantine is over, which doubles if that ends one more upstream.
func TestOneTryAfterAQuarantine(t *testing.T) {
	f := newTestSet(t)
	f.ends("a", "1", "2", "3")
	hold := holdLeast
	for i := range 3 {
		f.clock = f.clock.Add(hold - time.Second)
		if err := f.refused(); !errors.Is(err, ErrHeld) {
			t.Fatalf("before the end of quarantine %d: %v, want %v", i, err, ErrHeld)
		}
		f.clock = f.clock.Add(2 * time.Second)
		r := f.enter("a")
		if err := f.refused(); !errors.Is(err, ErrOnTrial) {
			t.Errorf("beside the try: %v, want %v", err, ErrOnTrial)
		}
		if !r.MaySend() {
			t.Error("the try may not be sent")
		}
		start := "more " + strconv.Itoa(i)
		r.Sent()
		if r.MaySend() || r.MayRepeat() {
			t.Error("the try may be sent twice")
		}
		r.Broke(start)
		f.Ended(start)
		r.Leave()
		hold *= 2
	}
	f.clock = f.clock.Add(hold + time.Second)
	r := f.enter("a")
	r.Sent()
	r.Served()
	f.enter("a").Leave()
	r.Leave()
}

// TestServedIsCleared covers that a good answer clears a suspect at once.
func TestServedIsCleared(t *testing.T) {
	f := newTestSet(t)
	f.ends("a", "1", "2")
	r := f.enter("a")
	if !r.Suspected() || r.MayRepeat() {
		t.Error("two upstreams ended under it, and it may be repeated")
	}
	r.Served()
	if r.Suspected() || !r.MayRepeat() {
		t.Error("it was served and is still a suspect")
	}
	r.Leave()
	f.clock = f.clock.Add(servedFor)
	f.ends("a", "3", "4")
	f.enter("a").Leave()
	f.ends("a", "5")
	if err := f.refused(); !errors.Is(err, ErrHeld) {
		t.Errorf("three ends since it was served: %v, want %v", err, ErrHeld)
	}
}

// TestServedLatelyIsNoSuspect covers a request that many callers send: it runs at many ends,
// and is served all the time.
func TestServedLatelyIsNoSuspect(t *testing.T) {
	f := newTestSet(t)
	served := f.enter("a")
	served.Served()
	served.Leave()
	f.ends("a", "1", "2", "3")
	f.Hear("peer", []Word{{Request: request("a"), Ends: map[string]time.Time{"4": f.clock, "5": f.clock, "6": f.clock}}})
	if r := f.enter("a"); r.Suspected() {
		t.Error("suspected")
	}
	for _, w := range f.Tell() {
		if len(w.Void) != 3 {
			t.Errorf("told %v, want that the three ends do not count", w)
		}
	}
}

// TestServedAreBounded covers more requests than are remembered as served.
func TestServedAreBounded(t *testing.T) {
	f := newTestSet(t)
	for i := range 2 * mostServed {
		r := f.enter(strconv.Itoa(i))
		r.Served()
		r.Leave()
	}
	if len(f.served) > mostServed {
		t.Errorf("%d remembered, want at most %d", len(f.served), mostServed)
	}
	f.clock = f.clock.Add(servedFor)
	f.Sweep(func(string) bool { return false })
	if len(f.served) > 0 || len(f.running) > 0 {
		t.Errorf("%d served, %d running left", len(f.served), len(f.running))
	}
}

// TestBreaksThatAreNoEnds covers what becomes of an answer that broke off.
func TestBreaksThatAreNoEnds(t *testing.T) {
	for _, tc := range []struct {
		name      string
		settle    func(f *fixture)
		suspected bool
	}{
		{"nothing is known yet", func(*fixture) {}, true},
		{"the upstream takes connections", func(f *fixture) { f.Lives("1") }, false},
		{"it refuses them", func(f *fixture) { f.Ended("1") }, true},
		{"it takes connections, and its next start is known", func(f *fixture) {
			f.Lives("1")
			f.Sweep(func(string) bool { return true })
		}, true},
		{"it is silent for long", func(f *fixture) {
			f.clock = f.clock.Add(settleWithin + time.Second)
			f.Sweep(func(string) bool { return false })
		}, false},
		{"it ends after that was settled", func(f *fixture) {
			f.clock = f.clock.Add(settleWithin + time.Second)
			f.Sweep(func(string) bool { return false })
			f.Ended("1")
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			r := f.enter("a")
			r.Sent()
			r.Broke("1")
			tc.settle(f)
			if got := r.Suspected(); got != tc.suspected {
				t.Errorf("suspected %v, want %v", got, tc.suspected)
			}
			if !r.MayRepeat() {
				t.Error("one break, and it may not be repeated")
			}
		})
	}
}

// TestUnsettledBreaksHoldBack covers a request whose answers broke off three times, while it is
// not known yet whether the upstreams ended.
func TestUnsettledBreaksHoldBack(t *testing.T) {
	f := newTestSet(t)
	for _, start := range []string{"1", "2", "3"} {
		r := f.enter("a")
		r.Sent()
		r.Broke(start)
		r.Leave()
	}
	if err := f.refused(); !errors.Is(err, ErrOnTrial) {
		t.Errorf("%v, want %v", err, ErrOnTrial)
	}
	f.Lives("1")
	f.enter("a").Leave()
	f.clock = f.clock.Add(settleWithin + time.Second)
	f.Sweep(func(string) bool { return false })
	f.enter("a").Leave()
}

// TestSuspectWaitsForItsTurn covers that a suspect runs once at a time, and what becomes of
// those that wait.
func TestSuspectWaitsForItsTurn(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ends  []string
		then  func(f *fixture, r *Run)
		after time.Duration
		want  error
	}{
		{"the run before is served", []string{"1"}, func(_ *fixture, r *Run) { r.Served() }, 100 * time.Millisecond, nil},
		{"the run before ends unsettled", []string{"1"}, func(_ *fixture, r *Run) { r.Leave() }, 100 * time.Millisecond, nil},
		{"the run before goes on well", []string{"1"}, func(_ *fixture, r *Run) { r.Steady() }, 100 * time.Millisecond, nil},
		{"the run before ends one more", []string{"1", "2"}, func(f *fixture, r *Run) {
			r.Broke("3")
			f.Ended("3")
			r.Leave()
		}, 100 * time.Millisecond, ErrHeld},
		{"nothing happens", []string{"1"}, func(*fixture, *Run) {}, time.Second, ErrOnTrial},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestSet(t)
				f.ends("a", tc.ends...)
				first := f.enter("a")
				time.AfterFunc(100*time.Millisecond, func() { tc.then(f, first) })
				from := time.Now()
				_, err := f.Enter(context.Background(), request("a"), time.Second)
				if !errors.Is(err, tc.want) || time.Since(from) != tc.after {
					t.Errorf("%v after %s, want %v after %s", err, time.Since(from), tc.want, tc.after)
				}
			})
		})
	}
}

// TestSuspectThatRunsElsewhere covers that a suspect waits for a run at another entry, but
// not for one that is not heard of any more.
func TestSuspectThatRunsElsewhere(t *testing.T) {
	f := newTestSet(t)
	f.Hear("peer", []Word{{Request: request("a"), Ends: map[string]time.Time{"0": f.clock}, Runs: true}})
	if err := f.refused(); !errors.Is(err, ErrOnTrial) {
		t.Errorf("%v, want %v", err, ErrOnTrial)
	}
	f.clock = f.clock.Add(busyFor)
	f.enter("a").Leave()
}

// TestSuspectsAreBounded covers a flood of requests that each end one upstream: it pushes out
// none that is held.
func TestSuspectsAreBounded(t *testing.T) {
	f := newTestSet(t)
	f.ends("a", "1", "2", "3")
	for i := range 2 * mostSuspects {
		f.ends("flood "+strconv.Itoa(i), "s"+strconv.Itoa(i))
	}
	if len(f.suspects) > mostSuspects {
		t.Errorf("%d suspects, want at most %d", len(f.suspects), mostSuspects)
	}
	if err := f.refused(); !errors.Is(err, ErrHeld) {
		t.Errorf("%v, want %v", err, ErrHeld)
	}
	if told := f.Tell(); len(told) != mostTold || told[0].Fingerprint != named("a") {
		t.Errorf("%d told, want %d and the one that is held first", len(told), mostTold)
	}
}

// TestEndsOfOneRequestAreBounded covers one that is served between the ends of upstreams.
func TestEndsOfOneRequestAreBounded(t *testing.T) {
	f := newTestSet(t)
	for i := range 3 * mostEnds {
		f.ends("a", "s"+strconv.Itoa(i))
		r := f.enter("a")
		r.Served()
		r.Leave()
		f.clock = f.clock.Add(servedFor)
	}
	if n := len(f.suspects[named("a")].ends); n > mostEnds {
		t.Errorf("%d ends, want at most %d", n, mostEnds)
	}
}

// TestForgotten covers how long requests are remembered.
func TestForgotten(t *testing.T) {
	for _, tc := range []struct {
		name  string
		ends  []string
		lasts time.Duration
	}{
		{"one end", []string{"1"}, rememberFor},
		{"a quarantine", []string{"1", "2", "3"}, holdLeast + rememberFor},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			f.ends("a", tc.ends...)
			never := func(string) bool { return false }
			f.clock = f.clock.Add(tc.lasts - time.Second)
			f.Sweep(never)
			if len(f.suspects) != 1 {
				t.Error("forgotten too soon")
			}
			told := f.Tell()
			f.clock = f.clock.Add(2 * time.Second)
			f.Sweep(never)
			f.Hear("peer", told)
			if len(f.suspects) != 0 {
				t.Error("remembered, or learnt again from another entry")
			}
		})
	}
}
