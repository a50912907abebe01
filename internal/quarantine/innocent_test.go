package quarantine

import (
	"errors"
	"testing"
)

// startRuns starts one run of each request, none of which waits for another.
func (f *fixture) startRuns(names ...string) []*Run {
	f.t.Helper()
	var out []*Run
	for _, name := range names {
		r := f.enter(name)
		r.Sent()
		out = append(out, r)
	}
	return out
}

// crashIncarnation crashes an incarnation during the given runs.
func (f *fixture) crashIncarnation(incarnation string, runs []*Run) {
	for _, r := range runs {
		r.ResponseLost(incarnation)
	}
	f.ConfirmCrash(incarnation)
	for _, r := range runs {
		r.Leave()
	}
}

// TestHarmlessRequestBesideTwoPoisonRequests guards against quarantining a harmless request that
// many callers send instead of two poison requests. One of these crashed two upstreams and the
// other a third one. The harmless request ran at all three, so it alone had three crashes. It was
// refused to all callers for ten minutes, and since it explained the crashes, the poison requests
// went on.
func TestHarmlessRequestBesideTwoPoisonRequests(t *testing.T) {
	f := newTestSet(t)
	first, second, third := f.startRuns("first poison", "harmless"),
		f.startRuns("first poison", "harmless"), f.startRuns("second poison", "harmless")
	f.crashIncarnation("1", first)
	f.crashIncarnation("2", second)
	f.crashIncarnation("3", third)
	if _, err := f.Enter(t.Context(), request("harmless"), 0); errors.Is(err, ErrQuarantined) {
		t.Errorf("harmless request: %v", err)
	}
	f.clock = f.clock.Add(confirmTimeout)
	r := f.enter("harmless")
	if !r.Suspected() {
		t.Error("three upstreams crashed under it, but it is not a suspect")
	}
	r.Served()
	r.Leave()
	f.enter("harmless").Leave()
	f.crashUnder("first poison", "4")
	if _, err := f.Enter(t.Context(), request("first poison"), 0); !errors.Is(err, ErrQuarantined) {
		t.Errorf("request that crashed three upstreams: %v, want %v", err, ErrQuarantined)
	}
}

// TestLaterIncarnationUnderNameOfEarlierIncarnation guards against merging the crashes of two
// incarnations of an upstream. A restarted upstream accepts requests before its record has its new name,
// so entries still route to it by the old name. A crash of the new incarnation then counted against
// requests that had run only at the old incarnation, and explained the crash of the old one.
func TestLaterIncarnationUnderNameOfEarlierIncarnation(t *testing.T) {
	f := newTestSet(t)
	f.crashIncarnation("1", f.startRuns("a", "b"))
	f.clock = f.clock.Add(confirmTimeout)
	f.crashUnder("c", "1", "2")
	merged := false
	for _, v := range f.List() {
		if v.Fingerprint != named("c") {
			continue
		}
		for _, incarnation := range v.Crashes {
			merged = merged || incarnation == "1"
		}
		if len(v.Crashes) != 2 {
			t.Errorf("%v crashed under it, want two incarnations", v.Crashes)
		}
	}
	if merged {
		t.Error("the crash of the later incarnation was merged with that of the earlier incarnation")
	}
	f.clock = f.clock.Add(confirmTimeout)
	f.crashUnder("c", "1")
	if _, err := f.Enter(t.Context(), request("c"), 0); !errors.Is(err, ErrQuarantined) {
		t.Errorf("after a third crash: %v, want %v", err, ErrQuarantined)
	}
}
