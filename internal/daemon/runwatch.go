package daemon

import (
	"sync"
	"time"
)

const (
	// watchEach is the pause between two looks at whether this process gets to run.
	watchEach = 100 * time.Millisecond
	// watchSlack is by how much a look may be late: with watchEach it stays below stopSpare,
	// so that what goes unnoticed is not missing at the end of a stop.
	watchSlack = 100 * time.Millisecond
	// noticedWithin is how long after it runs again a process may notice what came before.
	noticedWithin = 250 * time.Millisecond
)

// runWatch tells for how long this process did not get to run: a busy machine, or a freeze.
type runWatch struct {
	now func() time.Time

	mu    sync.Mutex
	ranAt time.Time
	// stalledFrom and stalledTo are the latest time in which it did not run.
	stalledFrom, stalledTo time.Time
}

func newRunWatch(now func() time.Time) *runWatch { return &runWatch{now: now, ranAt: now()} }

// look notes that the process runs; it is to be called each watchEach.
func (w *runWatch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	if now.Sub(w.ranAt) > watchEach+watchSlack {
		w.stalledFrom, w.stalledTo = w.ranAt, now
	}
	w.ranAt = now
}

// earliest returns the earliest time at which what is noticed now may have come. A process
// that is told to stop while it does not run has the less time for it: one that counted from
// when it noticed was killed with all requests in flight.
func (w *runWatch) earliest() time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	switch {
	case now.Sub(w.ranAt) > watchEach+watchSlack:
		return w.ranAt
	case !w.stalledTo.IsZero() && now.Sub(w.stalledTo) < noticedWithin:
		return w.stalledFrom
	default:
		return now
	}
}
