package daemon

import (
	"testing"
	"time"
)

func TestClockWatch(t *testing.T) {
	for _, tc := range []struct {
		name         string
		wall, steady time.Duration
		want         time.Duration
	}{
		{"both clocks run", time.Second, time.Second, 0},
		{"a pause of the process", 5 * time.Second, 5 * time.Second, 0},
		{"an adjustment of the time of day", 101 * time.Millisecond, 100 * time.Millisecond, 0},
		{"the machine was suspended", 6100 * time.Millisecond, 100 * time.Millisecond, 6 * time.Second},
		{"the time of day was set back", -2900 * time.Millisecond, 100 * time.Millisecond, -3 * time.Second},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var wall, steady time.Duration
			w := newClockWatch(func() (time.Duration, time.Duration) { return wall, steady })
			wall, steady = tc.wall, tc.steady
			if got := w.tick(); got != tc.want {
				t.Errorf("jump of %s, want %s", got, tc.want)
			}
			wall, steady = wall+time.Second, steady+time.Second
			if got := w.tick(); got != 0 {
				t.Errorf("jump of %s after the next tick, want none", got)
			}
		})
	}
}
