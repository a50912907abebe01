package daemon

import (
	"testing"
	"time"
)

func TestStallDetector(t *testing.T) {
	for _, tc := range []struct {
		name string
		// ticks are the times of the ticks after the start. asked is when a signal is noticed.
		ticks []time.Duration
		asked time.Duration
		want  time.Duration
	}{
		{"process runs", []time.Duration{100 * time.Millisecond, 200 * time.Millisecond}, 250 * time.Millisecond, 250 * time.Millisecond},
		{"tick slightly late", []time.Duration{190 * time.Millisecond}, 200 * time.Millisecond, 200 * time.Millisecond},
		{"process stalls and has not ticked since", []time.Duration{100 * time.Millisecond}, time.Second, 100 * time.Millisecond},
		{"process stalls and has ticked since", []time.Duration{100 * time.Millisecond, time.Second}, 1010 * time.Millisecond, 100 * time.Millisecond},
		{"stall was long ago", []time.Duration{100 * time.Millisecond, time.Second, 1100 * time.Millisecond, 1200 * time.Millisecond, 1300 * time.Millisecond}, 1310 * time.Millisecond, 1310 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			now := start
			d := newStallDetector(func() time.Time { return now })
			for _, offset := range tc.ticks {
				now = start.Add(offset)
				d.tick()
			}
			now = start.Add(tc.asked)
			if got := d.earliestSignal().Sub(start); got != tc.want {
				t.Errorf("earliest signal after %s, want %s", got, tc.want)
			}
		})
	}
}

// startStallDetector returns a detector that ticks as long as the test runs.
func startStallDetector(t *testing.T) *stallDetector {
	t.Helper()
	d := newStallDetector(time.Now)
	go func() {
		ticker := time.NewTicker(tickInterval / 4)
		defer ticker.Stop()
		for {
			select {
			case <-t.Context().Done():
				return
			case <-ticker.C:
				d.tick()
			}
		}
	}()
	return d
}
