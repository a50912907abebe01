package placement

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// maxWaitShare is the part of its objective for which a generation waits for room before it is refused. A
// caller that is refused after a quarter can still be served in time when it retries.
const maxWaitShare = 0.25

// MaxWait returns how long after its arrival a generation may wait for room.
func MaxWait(objective time.Duration) time.Duration {
	return time.Duration(maxWaitShare * float64(objective))
}

// Line orders the generations of a service that wait at an entry for room that is not kept for more urgent
// ones. It answers a burst of long generations: without an order, those that arrive last get the room that
// others have waited for. The zero value is ready to use.
type Line struct {
	mu      sync.Mutex
	waiting []*Place
}

// Place is the place of a generation in a Line.
type Place struct {
	rank    Rank
	arrived time.Time
}

// Join adds a generation that arrived at a time. Urgent ones come first, and those of one rank in the order
// of their arrival.
func (l *Line) Join(rank Rank, arrived time.Time) *Place {
	p := &Place{rank: rank, arrived: arrived}
	l.mu.Lock()
	defer l.mu.Unlock()
	i, _ := slices.BinarySearchFunc(l.waiting, p, func(a, b *Place) int {
		return cmp.Or(a.rank.Compare(b.rank), a.arrived.Compare(b.arrived), -1)
	})
	l.waiting = slices.Insert(l.waiting, i, p)
	return p
}

// First reports whether no other generation comes before.
func (l *Line) First(p *Place) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 && l.waiting[0] == p
}

// Ahead reports whether a generation of equal or more urgent rank waits.
func (l *Line) Ahead(rank Rank) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.waiting) > 0 && l.waiting[0].rank.Compare(rank) <= 0
}

// Leave removes a generation.
func (l *Line) Leave(p *Place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := slices.Index(l.waiting, p); i >= 0 {
		l.waiting = slices.Delete(l.waiting, i, i+1)
	}
}
