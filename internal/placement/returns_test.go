package placement

import (
	"testing"
	"time"
)

// TestCallersRetryInOrderAfterBackoff checks that callers refused while all upstreams are in
// backoff are asked to retry one after another, in the order of their refusals, and within
// RetryWindow of its end. Callers that all retried at its end would overload the upstreams
// again.
func TestCallersRetryInOrderAfterBackoff(t *testing.T) {
	var r RetrySchedule
	opensAt := time.Now().Add(time.Second)
	last := opensAt
	for i := range 100 {
		at := r.At("app", opensAt)
		if at.Before(last) || i > 0 && at.Sub(last) != RetryInterval {
			t.Fatalf("caller %d retries %s after the previous one, want %s", i, at.Sub(last), RetryInterval)
		}
		last = at
	}
	for range 1000 {
		if at := r.At("app", opensAt); at.Before(opensAt) || at.Sub(opensAt) > RetryWindow {
			t.Fatalf("a caller retries %s after the backoff, want within %s", at.Sub(opensAt), RetryWindow)
		}
	}
	if at := r.At("app", opensAt.Add(time.Minute)); !at.Equal(opensAt.Add(time.Minute)) {
		t.Errorf("the first caller of the next backoff retries %s after its end, want at its end", at.Sub(opensAt.Add(time.Minute)))
	}
}
