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

// fixture is a Set with its own clock.
type fixture struct {
	*Set
	t        *testing.T
	clock    time.Time
	gossiped int
}

func newTestSet(t *testing.T) *fixture {
	f := &fixture{t: t, clock: time.Now()}
	f.Set = New(events.Nop(), func() time.Time { return f.clock }, func() { f.gossiped++ })
	return f
}

func request(name string) Request { return Request{Fingerprint: named(name), Route: "route"} }

// enter starts a run that must be allowed.
func (f *fixture) enter(name string) *Run {
	f.t.Helper()
	r, err := f.Enter(f.t.Context(), request(name), 0)
	if err != nil {
		f.t.Fatal(err)
	}
	return r
}

// crashUnder crashes incarnations of upstreams, one after another, while they run a request.
func (f *fixture) crashUnder(name string, incarnations ...string) {
	f.t.Helper()
	for _, incarnation := range incarnations {
		r := f.enter(name)
		r.Sent()
		r.ResponseLost(incarnation)
		f.ConfirmCrash(incarnation)
		r.Leave()
	}
}

// enterError returns the reason for which request a is refused.
func (f *fixture) enterError() error {
	_, err := f.Enter(f.t.Context(), request("a"), 0)
	return err
}

func TestQuarantineAfterThreeCrashes(t *testing.T) {
	f := newTestSet(t)
	f.crashUnder("a", "1", "2")
	f.enter("b").Leave()
	f.crashUnder("a", "3")
	if err := f.enterError(); !errors.Is(err, ErrQuarantined) {
		t.Errorf("%v, want %v", err, ErrQuarantined)
	}
	f.enter("b").Leave()
}

// TestOneTrialAfterQuarantine covers that a quarantined request is tried once after each quarantine
// period, and that the period doubles if the trial crashes another upstream.
func TestOneTrialAfterQuarantine(t *testing.T) {
	f := newTestSet(t)
	f.crashUnder("a", "1", "2", "3")
	period := minQuarantine
	for i := range 3 {
		f.clock = f.clock.Add(period - time.Second)
		if err := f.enterError(); !errors.Is(err, ErrQuarantined) {
			t.Fatalf("before the end of quarantine period %d: %v, want %v", i, err, ErrQuarantined)
		}
		f.clock = f.clock.Add(2 * time.Second)
		r := f.enter("a")
		if err := f.enterError(); !errors.Is(err, ErrOnTrial) {
			t.Errorf("during the trial: %v, want %v", err, ErrOnTrial)
		}
		if !r.MaySend() {
			t.Error("the trial may not be sent")
		}
		incarnation := "more " + strconv.Itoa(i)
		r.Sent()
		if r.MaySend() || r.MayRepeat() {
			t.Error("the trial may be sent twice")
		}
		r.ResponseLost(incarnation)
		f.ConfirmCrash(incarnation)
		r.Leave()
		period *= 2
	}
	f.clock = f.clock.Add(period + time.Second)
	r := f.enter("a")
	r.Sent()
	r.Served()
	f.enter("a").Leave()
	r.Leave()
}

// TestServedRequestIsCleared covers that a complete response clears a suspect at once.
func TestServedRequestIsCleared(t *testing.T) {
	f := newTestSet(t)
	f.crashUnder("a", "1", "2")
	r := f.enter("a")
	if !r.Suspected() || r.MayRepeat() {
		t.Error("two upstreams crashed under it, but it may be repeated")
	}
	r.Served()
	if r.Suspected() || !r.MayRepeat() {
		t.Error("it was served but is still a suspect")
	}
	r.Leave()
	f.clock = f.clock.Add(servedTTL)
	f.crashUnder("a", "3", "4")
	f.enter("a").Leave()
	f.crashUnder("a", "5")
	if err := f.enterError(); !errors.Is(err, ErrQuarantined) {
		t.Errorf("three crashes since it was served: %v, want %v", err, ErrQuarantined)
	}
}

// TestRecentlyServedRequestIsNotSuspected covers a request that many callers send. It runs at many
// crashes, but upstreams also keep serving it.
func TestRecentlyServedRequestIsNotSuspected(t *testing.T) {
	f := newTestSet(t)
	served := f.enter("a")
	served.Served()
	served.Leave()
	f.crashUnder("a", "1", "2", "3")
	f.Merge("peer", []Report{{Request: request("a"), Crashes: map[string]time.Time{"4": f.clock, "5": f.clock, "6": f.clock}}})
	if r := f.enter("a"); r.Suspected() {
		t.Error("suspected")
	}
	for _, w := range f.Reports() {
		if len(w.Voided) != 3 {
			t.Errorf("reported %v, want the three crashes void", w)
		}
	}
}

// TestServedRequestsAreBounded guards against unbounded growth of the memory of served requests.
func TestServedRequestsAreBounded(t *testing.T) {
	f := newTestSet(t)
	for i := range 2 * maxServed {
		r := f.enter(strconv.Itoa(i))
		r.Served()
		r.Leave()
	}
	if len(f.served) > maxServed {
		t.Errorf("%d remembered, want at most %d", len(f.served), maxServed)
	}
	f.clock = f.clock.Add(servedTTL)
	f.Sweep(func(string) bool { return false })
	if len(f.served) > 0 || len(f.running) > 0 {
		t.Errorf("%d served, %d running left", len(f.served), len(f.running))
	}
}

// TestConfirmationOfLostResponses covers when a lost response counts as a possible crash.
func TestConfirmationOfLostResponses(t *testing.T) {
	for _, tc := range []struct {
		name      string
		then      func(f *fixture)
		suspected bool
	}{
		{"no information yet", func(*fixture) {}, true},
		{"upstream accepts connections", func(f *fixture) { f.ConfirmAlive("1") }, false},
		{"upstream refuses connections", func(f *fixture) { f.ConfirmCrash("1") }, true},
		{"upstream accepts connections and its next incarnation is known", func(f *fixture) {
			f.ConfirmAlive("1")
			f.Sweep(func(string) bool { return true })
		}, true},
		{"no information within the timeout", func(f *fixture) {
			f.clock = f.clock.Add(confirmTimeout + time.Second)
			f.Sweep(func(string) bool { return false })
		}, false},
		{"crash confirmed after the timeout", func(f *fixture) {
			f.clock = f.clock.Add(confirmTimeout + time.Second)
			f.Sweep(func(string) bool { return false })
			f.ConfirmCrash("1")
		}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			r := f.enter("a")
			r.Sent()
			r.ResponseLost("1")
			tc.then(f)
			if got := r.Suspected(); got != tc.suspected {
				t.Errorf("suspected %v, want %v", got, tc.suspected)
			}
			if !r.MayRepeat() {
				t.Error("it may not be repeated after one lost response")
			}
		})
	}
}

// TestUnconfirmedCrashesDelayNextTrial covers a request with three lost responses while it is not
// known yet whether the upstreams crashed. A further trial could crash a fourth upstream.
func TestUnconfirmedCrashesDelayNextTrial(t *testing.T) {
	f := newTestSet(t)
	for _, incarnation := range []string{"1", "2", "3"} {
		r := f.enter("a")
		r.Sent()
		r.ResponseLost(incarnation)
		r.Leave()
	}
	if err := f.enterError(); !errors.Is(err, ErrOnTrial) {
		t.Errorf("%v, want %v", err, ErrOnTrial)
	}
	f.ConfirmAlive("1")
	f.enter("a").Leave()
	f.clock = f.clock.Add(confirmTimeout + time.Second)
	f.Sweep(func(string) bool { return false })
	f.enter("a").Leave()
}

// TestSuspectWaitsForItsTurn covers that a suspect runs once at a time, and how the outcome of the
// first run decides about a waiting one.
func TestSuspectWaitsForItsTurn(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		then    func(f *fixture, r *Run)
		after   time.Duration
		want    error
	}{
		{"first run is served", []string{"1"}, func(_ *fixture, r *Run) { r.Served() }, 100 * time.Millisecond, nil},
		{"first run ends without a result", []string{"1"}, func(_ *fixture, r *Run) { r.Leave() }, 100 * time.Millisecond, nil},
		{"first run is steady", []string{"1"}, func(_ *fixture, r *Run) { r.EndTrial() }, 100 * time.Millisecond, nil},
		{"first run crashes another upstream", []string{"1", "2"}, func(f *fixture, r *Run) {
			r.ResponseLost("3")
			f.ConfirmCrash("3")
			r.Leave()
		}, 100 * time.Millisecond, ErrQuarantined},
		{"first run goes on", []string{"1"}, func(*fixture, *Run) {}, time.Second, ErrOnTrial},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestSet(t)
				f.crashUnder("a", tc.crashes...)
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

// TestSuspectWaitsForRunAtPeer covers that a suspect waits for a run at another entry, but not for
// an entry that no longer sends messages.
func TestSuspectWaitsForRunAtPeer(t *testing.T) {
	f := newTestSet(t)
	f.Merge("peer", []Report{{Request: request("a"), Crashes: map[string]time.Time{"0": f.clock}, Runs: true}})
	if err := f.enterError(); !errors.Is(err, ErrOnTrial) {
		t.Errorf("%v, want %v", err, ErrOnTrial)
	}
	f.clock = f.clock.Add(peerRunTTL)
	f.enter("a").Leave()
}

// TestSuspectsAreBounded guards against a flood of requests with one crash each displacing a
// quarantined request.
func TestSuspectsAreBounded(t *testing.T) {
	f := newTestSet(t)
	f.crashUnder("a", "1", "2", "3")
	for i := range 2 * maxSuspects {
		f.crashUnder("flood "+strconv.Itoa(i), "s"+strconv.Itoa(i))
	}
	if len(f.suspects) > maxSuspects {
		t.Errorf("%d suspects, want at most %d", len(f.suspects), maxSuspects)
	}
	if err := f.enterError(); !errors.Is(err, ErrQuarantined) {
		t.Errorf("%v, want %v", err, ErrQuarantined)
	}
	if reports := f.Reports(); len(reports) != maxReports || reports[0].Fingerprint != named("a") {
		t.Errorf("%d reported, want %d with the quarantined request first", len(reports), maxReports)
	}
}

// TestCrashesOfOneRequestAreBounded guards against unbounded growth of the crashes remembered of
// one request that is served between crashes.
func TestCrashesOfOneRequestAreBounded(t *testing.T) {
	f := newTestSet(t)
	for i := range 3 * maxCrashes {
		f.crashUnder("a", "s"+strconv.Itoa(i))
		r := f.enter("a")
		r.Served()
		r.Leave()
		f.clock = f.clock.Add(servedTTL)
	}
	if n := len(f.suspects[named("a")].crashes); n > maxCrashes {
		t.Errorf("%d crashes, want at most %d", n, maxCrashes)
	}
}

// TestSuspectsExpire covers how long suspects are remembered, and that gossip does not bring back
// an expired one.
func TestSuspectsExpire(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		lasts   time.Duration
	}{
		{"one crash", []string{"1"}, suspectTTL},
		{"quarantined", []string{"1", "2", "3"}, minQuarantine + suspectTTL},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			f.crashUnder("a", tc.crashes...)
			never := func(string) bool { return false }
			f.clock = f.clock.Add(tc.lasts - time.Second)
			f.Sweep(never)
			if len(f.suspects) != 1 {
				t.Error("expired too soon")
			}
			reports := f.Reports()
			f.clock = f.clock.Add(2 * time.Second)
			f.Sweep(never)
			f.Merge("peer", reports)
			if len(f.suspects) != 0 {
				t.Error("not expired, or learned again from another entry")
			}
		})
	}
}
