package daemon

import (
	"context"
	"sync"
	"time"
)

const (
	// lagSlack is by how much a look may be late while the process gets to run: a turn of
	// processors that are shared by some.
	lagSlack = 10 * time.Millisecond
	// lagOnTime is the number of looks in time after which the process has noticed what came
	// before.
	lagOnTime = 2
	// lagLooks is the number of looks that are kept: more than fit into the time of a stop.
	lagLooks = 128
)

// runLag tells for how long this process got to run in moments only. A runWatch beside it tells
// of times in which it did not run at all; a process that runs for a millisecond now and then
// looks as if it did, and notices a signal late all the same. So it counts how late each look
// is, and not how long after the one before.
type runLag struct {
	now func() time.Time

	mu sync.Mutex
	// due is when the next look is due, and looks are the latest ones, the newest at last.
	due   time.Time
	looks []runLook
}

// runLook is a look at whether the process runs.
type runLook struct {
	at time.Time
	// late is set if the process did not get to run when it was due.
	late bool
}

func newRunLag(now func() time.Time) *runLag {
	return &runLag{now: now, due: now().Add(watchEach), looks: []runLook{{at: now()}}}
}

// watch calls each as often as is due, and looks, until ctx ends.
func (l *runLag) watch(ctx context.Context, each func()) {
	t := time.NewTimer(watchEach)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			each()
			t.Reset(l.look())
		}
	}
}

// look notes that the process runs, and returns the time until the next look is due.
func (l *runLag) look() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	if len(l.looks) == lagLooks {
		l.looks = append(l.looks[:0], l.looks[1:]...)
	}
	l.looks = append(l.looks, runLook{at: now, late: l.isLate(now)})
	l.due = l.due.Add(watchEach)
	if l.due.Before(now) {
		l.due = now.Add(watchEach)
	}
	return l.due.Sub(now)
}

// isLate reports whether the next look is late at a time. It needs the lock.
func (l *runLag) isLate(at time.Time) bool { return at.Sub(l.due) > lagSlack }

// earliest returns the earliest time at which what is noticed now may have come: the look before
// the first late one after which not enough were in time. One that is nil never looked.
func (l *runLag) earliest() time.Time {
	if l == nil {
		return time.Now()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	earliest, late, onTime := now, l.isLate(now), 0
	for i := len(l.looks) - 1; i >= 0 && onTime < lagOnTime; i-- {
		look := l.looks[i]
		if late {
			earliest = look.at
		}
		late = look.late
		if !late {
			onTime++
		}
	}
	return earliest
}
