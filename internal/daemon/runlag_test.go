package daemon

import (
	"testing"
	"time"
)

func TestLagDetector(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		// ticks are the times of the ticks after the start, in milliseconds. asked is when a signal
		// is noticed.
		ticks []int
		asked int
		// wantLate is how long before that the signal may have been sent.
		wantLate time.Duration
	}{
		{"process runs", []int{100, 200, 300}, 350, 0},
		{"ticks slightly late", []int{105, 209, 301}, 350, 0},
		{"process stalls and has not ticked since", []int{100, 200}, 900, 700 * ms},
		{"process stalls and has ticked since", []int{100, 200, 900}, 901, 701 * ms},
		{"process runs for moments", []int{100, 200, 382, 473, 564, 655}, 656, 456 * ms},
		{"process runs for shorter moments and some ticks are punctual", []int{100, 200, 325, 405, 525, 612}, 613, 413 * ms},
		{"process has run for a while since the stall", []int{100, 200, 900, 1000, 1100}, 1150, 0},
		{"process ran for a while between two stalls", []int{100, 900, 1000, 1100, 1290}, 1291, 191 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			now := start
			d := newLagDetector(func() time.Time { return now })
			for _, offset := range tc.ticks {
				now = start.Add(time.Duration(offset) * ms)
				d.tick()
			}
			now = start.Add(time.Duration(tc.asked) * ms)
			if got := now.Sub(d.earliestSignal()); got != tc.wantLate {
				t.Errorf("signal may be %s old, want %s", got, tc.wantLate)
			}
		})
	}
}

// TestLagDetectorHistoryIsBounded checks that old ticks are dropped.
func TestLagDetectorHistoryIsBounded(t *testing.T) {
	d := newLagDetector(time.Now)
	for range 3 * lagHistory {
		d.tick()
	}
	if len(d.ticks) != lagHistory {
		t.Errorf("%d ticks stored, want %d", len(d.ticks), lagHistory)
	}
}
