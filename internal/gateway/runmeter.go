package gateway

import (
	"sync"
	"time"
)

const (
	// runInterval is the time between two ticks of a runMeter. It has to be shorter than the moments for
	// which a starved process runs.
	runInterval = time.Millisecond
	// runTolerance is how long a tick takes at most in a process that runs all the time.
	runTolerance = 2 * runInterval
	// runWindow is the period over which a runMeter reports.
	runWindow = 500 * time.Millisecond
	// pauseTolerance is the longest pause that does not count: one turn on a processor that is shared by a
	// few processes.
	pauseTolerance = 10 * time.Millisecond
)

// runMeter measures for how much of the time this process runs, from the times at which it ticks.
type runMeter struct {
	mu sync.Mutex
	// ticks are the latest ticks, the oldest first: those of the last runWindow and the one before them.
	ticks []time.Time
}

// tick records that the process runs. It must be called each runInterval.
func (m *runMeter) tick(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	first := 0
	for first+1 < len(m.ticks) && now.Sub(m.ticks[first+1]) >= runWindow {
		first++
	}
	m.ticks = append(append(m.ticks[:0], m.ticks[first:]...), now)
}

// report returns the part of the time in which the process ran, above 0 and at most 1, and the longest time
// above pauseTolerance in which it did not. Before the first two ticks, the process counts as running.
func (m *runMeter) report() (share float64, pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var ran, total time.Duration
	for i := 1; i < len(m.ticks); i++ {
		gap := m.ticks[i].Sub(m.ticks[i-1])
		total, pause = total+gap, max(pause, gap)
		if gap <= runTolerance {
			ran += gap
		} else {
			ran += runInterval
		}
	}
	if total <= 0 || ran <= 0 {
		return 1, 0
	}
	if pause <= pauseTolerance {
		pause = 0
	}
	return float64(ran) / float64(total), pause
}
