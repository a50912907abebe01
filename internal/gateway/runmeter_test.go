package gateway

import (
	"math"
	"testing"
	"time"
)

// tickFor feeds a runMeter with ticks that are gap apart, over a period that ends at end.
func tickFor(m *runMeter, end time.Time, period, gap time.Duration) {
	for at := end.Add(-period); !at.After(end); at = at.Add(gap) {
		m.tick(at)
	}
}

func TestRunMeter(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		// periods are the lengths of consecutive periods, and gaps the times between two ticks in each.
		periods, gaps []time.Duration
		share         float64
		pause         time.Duration
	}{
		{"no ticks", nil, nil, 1, 0},
		{"runs all the time", []time.Duration{800 * ms}, []time.Duration{ms}, 1, 0},
		{"ticks within the tolerance", []time.Duration{800 * ms}, []time.Duration{2 * ms}, 1, 0},
		{"runs for moments", []time.Duration{800 * ms}, []time.Duration{25 * ms}, 0.04, 25 * ms},
		{"short waits are no pauses", []time.Duration{800 * ms}, []time.Duration{10 * ms}, 0.1, 0},
		{"one pause", []time.Duration{200 * ms, 100 * ms, 200 * ms}, []time.Duration{ms, 100 * ms, ms}, 0.8, 100 * ms},
		{"an earlier pause is forgotten", []time.Duration{100 * ms, 600 * ms}, []time.Duration{100 * ms, ms}, 1, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, at := &runMeter{}, time.Now()
			for i, period := range tc.periods {
				at = at.Add(period)
				tickFor(m, at, period, tc.gaps[i])
			}
			share, pause := m.report()
			if math.Abs(share-tc.share) > 0.01 || pause != tc.pause {
				t.Errorf("share %.3f, pause %s; want %.3f, %s", share, pause, tc.share, tc.pause)
			}
		})
	}
}
