package placement

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// ReturnEach is the time between two callers that come back once upstreams take work again.
	ReturnEach = 10 * time.Millisecond
	// ReturnWithin is the time from then on within which callers come back.
	ReturnWithin = time.Second
)

// Returns orders the callers that were refused while no upstream of their service took work, so
// that they do not all come back at one moment. The zero value is ready to use.
type Returns struct {
	mu sync.Mutex
	// next is when the next caller of a service should come back.
	next map[string]time.Time
}

// At is when a caller of a service should come back whose upstreams take work again from opens on:
// one after another in the order in which they were refused. More than can come so within
// ReturnWithin come at any time in it.
func (r *Returns) At(service string, opens time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next[service]
	if at.Before(opens) {
		at = opens
	}
	if at.Sub(opens) > ReturnWithin {
		return opens.Add(time.Duration(rand.Int64N(int64(ReturnWithin))))
	}
	if r.next == nil {
		r.next = map[string]time.Time{}
	}
	r.next[service] = at.Add(ReturnEach)
	return at
}
