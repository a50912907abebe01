package daemon

import (
	"sync"
	"time"
)

const (
	// tickInterval is the time between two ticks of the detectors.
	tickInterval = 100 * time.Millisecond
	// stallTolerance is how late a tick may be. Together with tickInterval it stays below
	// stopReserve, so that a delay that goes undetected does not exceed the time reserved at the
	// end of a stop.
	stallTolerance = 100 * time.Millisecond
	// stallNoticeTime is how long after a stall the process may notice signals that were sent
	// during the stall.
	stallNoticeTime = 250 * time.Millisecond
)

// stallDetector detects times in which this process did not run, because the machine is busy or the
// process was frozen.
type stallDetector struct {
	now func() time.Time

	mu       sync.Mutex
	lastTick time.Time
	// stalledFrom and stalledTo are the start and the end of the latest stall.
	stalledFrom, stalledTo time.Time
}

func newStallDetector(now func() time.Time) *stallDetector {
	return &stallDetector{now: now, lastTick: now()}
}

// tick records that the process runs. It must be called each tickInterval.
func (d *stallDetector) tick() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if now.Sub(d.lastTick) > tickInterval+stallTolerance {
		d.stalledFrom, d.stalledTo = d.lastTick, now
	}
	d.lastTick = now
}

// earliestSignal returns the earliest time at which a signal that is noticed now may have been
// sent. The time to stop runs from the signal: a process that counts it from when it notices the
// signal after a stall is killed with all requests in flight.
func (d *stallDetector) earliestSignal() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	switch {
	case now.Sub(d.lastTick) > tickInterval+stallTolerance:
		return d.lastTick
	case !d.stalledTo.IsZero() && now.Sub(d.stalledTo) < stallNoticeTime:
		return d.stalledFrom
	default:
		return now
	}
}
