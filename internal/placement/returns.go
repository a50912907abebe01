package placement

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// RetryInterval is the time between the retries of two callers once upstreams take requests
	// again.
	RetryInterval = 10 * time.Millisecond
	// RetryWindow is the time, from then on, within which callers retry.
	RetryWindow = time.Second
)

// RetrySchedule schedules the retries of callers that were refused while no upstream of their service
// took requests, so that they do not all retry at the same moment. The zero value is ready to
// use.
type RetrySchedule struct {
	mu sync.Mutex
	// next is the time, by service, at which the next caller should retry.
	next map[string]time.Time
}

// At returns when a refused caller of a service should retry. opensAt is the time from which on
// the upstreams take requests again. Callers retry one after another, in the order in which
// they were refused. Those that would retry later than RetryWindow get a random time within
// it.
func (r *RetrySchedule) At(service string, opensAt time.Time) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := r.next[service]
	if at.Before(opensAt) {
		at = opensAt
	}
	if at.Sub(opensAt) > RetryWindow {
		return opensAt.Add(time.Duration(rand.Int64N(int64(RetryWindow))))
	}
	if r.next == nil {
		r.next = map[string]time.Time{}
	}
	r.next[service] = at.Add(RetryInterval)
	return at
}
