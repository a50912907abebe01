package quarantine

import (
	"errors"
	"testing"
)

// begin begins runs of requests at one start, none of which waits for another one.
func (f *fixture) begin(names ...string) []*Run {
	f.t.Helper()
	var out []*Run
	for _, name := range names {
		r := f.enter(name)
		r.Sent()
		out = append(out, r)
	}
	return out
}

// end ends a start under the runs that it had.
func (f *fixture) end(start string, runs []*Run) {
	for _, r := range runs {
		r.Broke(start)
	}
	f.Ended(start)
	for _, r := range runs {
		r.Leave()
	}
}

// Three upstreams end: two under one request, the third under another one. A sound request that
// many callers send alike ran at all three, since it runs everywhere. It alone had three ends, so
// it was held for ten minutes, whoever sent it, and explained the ends of what had caused
// them, which ran on. `request-held` named it with the three starts, and no other one.
func TestSoundRequestThatRanBesideTwoOthers(t *testing.T) {
	f := newTestSet(t)
	first, second, third := f.begin("ends two", "sound"), f.begin("ends two", "sound"), f.begin("ends one", "sound")
	f.end("1", first)
	f.end("2", second)
	f.end("3", third)
	if _, err := f.Enter(t.Context(), request("sound"), 0); errors.Is(err, ErrHeld) {
		t.Errorf("the sound one: %v", err)
	}
	f.clock = f.clock.Add(settleWithin)
	r := f.enter("sound")
	if !r.Suspected() {
		t.Error("three upstreams ended under it, and it may run anywhere")
	}
	r.Served()
	r.Leave()
	f.enter("sound").Leave()
	f.ends("ends two", "4")
	if _, err := f.Enter(t.Context(), request("ends two"), 0); !errors.Is(err, ErrHeld) {
		t.Errorf("what ended three: %v, want %v", err, ErrHeld)
	}
}

// An upstream that ended is back before its row tells its next start, and entries route to it by
// the name of the start that is gone. Its next end was booked at that start: it spoke against
// those that ran at the earlier start, and explained their end. `request-suspected` named
// `i-9` twice, 0.8 s apart, for requests that never ran together.
func TestLaterStartUnderTheNameOfAnEarlierOne(t *testing.T) {
	f := newTestSet(t)
	f.end("1", f.begin("a", "b"))
	f.clock = f.clock.Add(settleWithin)
	f.ends("c", "1", "2")
	shared := false
	for _, v := range f.List() {
		if v.Fingerprint != named("c") {
			continue
		}
		for _, start := range v.Ends {
			shared = shared || start == "1"
		}
		if len(v.Ends) != 2 {
			t.Errorf("%v ended under it, want two starts", v.Ends)
		}
	}
	if shared {
		t.Error("the end of the later start is that of the earlier one, at which others ran")
	}
	f.clock = f.clock.Add(settleWithin)
	f.ends("c", "1")
	if _, err := f.Enter(t.Context(), request("c"), 0); !errors.Is(err, ErrHeld) {
		t.Errorf("a third start ended under it: %v, want %v", err, ErrHeld)
	}
}
