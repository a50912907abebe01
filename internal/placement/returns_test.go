package placement

import (
	"testing"
	"time"
)

// Callers that are refused while all upstreams rest come back one after another, the first of them
// first, and none later than a second after the rest.
func TestCallersComeBackInOrderAfterARest(t *testing.T) {
	var r Returns
	opens := time.Now().Add(time.Second)
	last := opens
	for i := range 100 {
		at := r.At("app", opens)
		if at.Before(last) || i > 0 && at.Sub(last) != ReturnEach {
			t.Fatalf("caller %d comes back %s after the one before, want %s", i, at.Sub(last), ReturnEach)
		}
		last = at
	}
	for range 1000 {
		if at := r.At("app", opens); at.Before(opens) || at.Sub(opens) > ReturnWithin {
			t.Fatalf("a caller comes back %s after the rest, want within %s", at.Sub(opens), ReturnWithin)
		}
	}
	if at := r.At("app", opens.Add(time.Minute)); !at.Equal(opens.Add(time.Minute)) {
		t.Errorf("the first caller of the next rest comes back %s after it, want at its end", at.Sub(opens.Add(time.Minute)))
	}
}
