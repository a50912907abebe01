package daemon

import (
	"context"
	"sync"
	"time"
)

const (
	// lagTolerance is how late a tick may be in a process that is scheduled normally: one turn on a
	// processor that is shared by a few processes.
	lagTolerance = 10 * time.Millisecond
	// lagOnTimeTicks is the number of punctual ticks after which the process has noticed all
	// earlier signals.
	lagOnTimeTicks = 2
	// lagHistory is the number of ticks that are stored. It covers more than the time of a planned
	// stop.
	lagHistory = 128
)

// lagDetector detects that this process ran only for short moments. A stallDetector detects only
// times in which the process did not run at all: a process that runs for a millisecond now and then
// passes that check and still notices a signal late. A lagDetector therefore measures how late each
// tick is, not the time since the tick before.
type lagDetector struct {
	now func() time.Time

	mu sync.Mutex
	// nextDue is when the next tick is due. ticks are the latest ticks, the newest last.
	nextDue time.Time
	ticks   []lagTick
}

// lagTick is a moment at which the process ran.
type lagTick struct {
	at time.Time
	// late is set if the process did not run when the tick was due.
	late bool
}

func newLagDetector(now func() time.Time) *lagDetector {
	return &lagDetector{now: now, nextDue: now().Add(tickInterval), ticks: []lagTick{{at: now()}}}
}

// run calls onTick and tick each time a tick is due, until ctx ends.
func (d *lagDetector) run(ctx context.Context, onTick func()) {
	t := time.NewTimer(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			onTick()
			t.Reset(d.tick())
		}
	}
}

// tick records that the process runs. It returns the time until the next tick is due.
func (d *lagDetector) tick() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	if len(d.ticks) == lagHistory {
		d.ticks = append(d.ticks[:0], d.ticks[1:]...)
	}
	d.ticks = append(d.ticks, lagTick{at: now, late: d.isLate(now)})
	d.nextDue = d.nextDue.Add(tickInterval)
	if d.nextDue.Before(now) {
		d.nextDue = now.Add(tickInterval)
	}
	return d.nextDue.Sub(now)
}

// isLate reports whether the next tick is late at a time. The caller must hold d.mu.
func (d *lagDetector) isLate(at time.Time) bool { return at.Sub(d.nextDue) > lagTolerance }

// earliestSignal returns the earliest time at which a signal that is noticed now may have been
// sent: the time of the tick before the first late tick that was not followed by lagOnTimeTicks
// punctual ones. It returns the current time for a nil lagDetector.
func (d *lagDetector) earliestSignal() time.Time {
	if d == nil {
		return time.Now()
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now()
	earliest, late, onTime := now, d.isLate(now), 0
	for i := len(d.ticks) - 1; i >= 0 && onTime < lagOnTimeTicks; i-- {
		t := d.ticks[i]
		if late {
			earliest = t.at
		}
		late = t.late
		if !late {
			onTime++
		}
	}
	return earliest
}
