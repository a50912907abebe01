package placement

import (
	"testing"
	"time"
)

// TestRetryAfterGrowsWithOverload simulates 5 generations a second at one entry, of which some
// are refused. It fails if callers are asked to retry too late for their objective while few are
// refused, if the time does not grow with the refused share and the age of the overload, or if
// an overload that is over still counts.
func TestRetryAfterGrowsWithOverload(t *testing.T) {
	const objective, each = 1800 * time.Millisecond, 200 * time.Millisecond
	const minRetryAfter = objective / 4
	for _, tc := range []struct {
		name string
		// refused is how many of every ten generations find no room, and lasts for how long.
		refused int
		lasts   time.Duration
		// pause is the time without generations before the refusal that is checked.
		pause    time.Duration
		min, max time.Duration
	}{
		{"the first refusal", 0, 10 * time.Second, 0, minRetryAfter, minRetryAfter},
		{"one in ten refused for 4 s", 1, 4 * time.Second, 0, minRetryAfter, objective / 2},
		{"one in ten refused for 20 s", 1, 20 * time.Second, 0, minRetryAfter, 4 * time.Second},
		{"six in ten refused for 20 s", 6, 20 * time.Second, 0, 15 * time.Second, 20 * time.Second},
		{"nine in ten refused for 20 s", 9, 20 * time.Second, 0, 15 * time.Second, 20 * time.Second},
		{"a new overload after a pause", 9, 20 * time.Second, 3 * time.Second, minRetryAfter, minRetryAfter},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o, now := &Overload{}, time.Now()
			end := now.Add(tc.lasts)
			for i := 0; now.Before(end); i++ {
				now = now.Add(each)
				if i*7%10 < tc.refused {
					o.Refused(objective, now, 0.5)
					continue
				}
				o.Admitted(now)
			}
			got := o.Refused(objective, now.Add(tc.pause), 0.5)
			if got < tc.min || got > tc.max {
				t.Errorf("retry after %s, want %s to %s", got, tc.min, tc.max)
			}
		})
	}
}
