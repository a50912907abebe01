package quarantine

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// told is what another entry tells of a request: the starts that ended under it, those before a
// bar while it was no suspect and those behind it while it was one.
func told(name, ends string, at time.Time) Word {
	first, tried, _ := strings.Cut(ends, "|")
	w := Word{Request: request(name), Ends: map[string]time.Time{}, First: strings.Fields(first), Tried: strings.Fields(tried)}
	for start := range strings.FieldsSeq(strings.Replace(ends, "|", " ", 1)) {
		w.Ends[start] = at
	}
	return w
}

// heldOf returns which of some requests are held.
func (f *fixture) heldOf(names ...string) string {
	f.t.Helper()
	f.Sweep(func(string) bool { return false })
	var held []string
	for _, name := range names {
		r, err := f.Enter(f.t.Context(), request(name), 0)
		if errors.Is(err, ErrHeld) {
			held = append(held, name)
		}
		if r != nil {
			r.Leave()
		}
	}
	return strings.Join(held, " ")
}

// Where no end told a request apart from others, all with five ends were held together: a sound one
// as well that had run only beside the one that had ended all of them, and more.
func TestSoundRequestHeldWithWhatExplainsItsEnds(t *testing.T) {
	f := newTestSet(t)
	f.Hear("other", []Word{told("ends them", "1 | 2 3 4 5 6", f.clock), told("sound", "1 | 2 3 4 5", f.clock), told("beside it", "1 | 6", f.clock)})
	f.clock = f.clock.Add(settleWithin)
	if held := f.heldOf("ends them", "sound", "beside it"); held != "ends them" {
		t.Errorf("held %q, want what ended all of them", held)
	}
}

// A sound request was held for three ends as soon as the third came, and what had ended these
// upstreams was heard of 0.7 s later: another entry had sent it there.
func TestSoundRequestHeldBeforeOthersAreHeardOf(t *testing.T) {
	f := newTestSet(t)
	f.Hear("other", nil)
	for _, start := range []string{"1", "2", "3"} {
		f.ends("sound", start)
		f.clock = f.clock.Add(aloneAfter)
	}
	if held := f.heldOf("sound"); held != "" {
		t.Error("held before others that ran there can have been heard of")
	}
	f.Hear("other", []Word{told("ends them", "1 | 2 3 4 5", f.clock)})
	f.clock = f.clock.Add(newsWithin)
	if held := f.heldOf("sound", "ends them"); held != "ends them" {
		t.Errorf("held %q, want what ended all of them", held)
	}
}

// Sound requests that ran at two of four ends beside the one that caused all four counted as further
// ones that may end upstreams, and it came a fifth time.
func TestRequestNotHeldForItsBystanders(t *testing.T) {
	f := newTestSet(t)
	f.Hear("other", []Word{told("ends them", "1 | 2 3 4", f.clock), told("sound", "2 | 3", f.clock), told("another sound one", "1 | 2", f.clock)})
	f.clock = f.clock.Add(settleWithin)
	if held := f.heldOf("ends them", "sound", "another sound one"); held != "ends them" {
		t.Errorf("held %q, want what ended all four", held)
	}
}
