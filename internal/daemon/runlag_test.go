package daemon

import (
	"testing"
	"time"
)

func TestRunLag(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		// looks are when the process looks after its start, in milliseconds, and asked is
		// when it notices a signal.
		looks []int
		asked int
		// late is how long before the question the signal may have come.
		late time.Duration
	}{
		{"it runs", []int{100, 200, 300}, 350, 0},
		{"looks are a little late", []int{105, 209, 301}, 350, 0},
		{"it did not run, and has not looked yet", []int{100, 200}, 900, 700 * ms},
		{"it did not run, and has looked", []int{100, 200, 900}, 901, 701 * ms},
		{"it runs for moments", []int{100, 200, 382, 473, 564, 655}, 656, 456 * ms},
		{"it runs for shorter moments, and some looks are in time", []int{100, 200, 325, 405, 525, 612}, 613, 413 * ms},
		{"it has run for a while since", []int{100, 200, 900, 1000, 1100}, 1150, 0},
		{"it ran for a while between", []int{100, 900, 1000, 1100, 1290}, 1291, 191 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			at := start
			l := newRunLag(func() time.Time { return at })
			for _, look := range tc.looks {
				at = start.Add(time.Duration(look) * ms)
				l.look()
			}
			at = start.Add(time.Duration(tc.asked) * ms)
			if got := at.Sub(l.earliest()); got != tc.late {
				t.Errorf("%s, want %s", got, tc.late)
			}
		})
	}
}

// TestRunLagIsBounded covers that looks are not kept for ever.
func TestRunLagIsBounded(t *testing.T) {
	l := newRunLag(time.Now)
	for range 3 * lagLooks {
		l.look()
	}
	if len(l.looks) != lagLooks {
		t.Errorf("%d looks kept, want %d", len(l.looks), lagLooks)
	}
}
