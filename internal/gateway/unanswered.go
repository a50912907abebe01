package gateway

import (
	"container/list"
	"sync"
	"time"
)

// unansweredRequests holds the requests in flight whose answer has not begun, in the order of their arrival.
type unansweredRequests struct {
	mu   sync.Mutex
	list list.List
	// givenUp is the number of requests that a planned stop has given up, and firstAt when it gave up the
	// first.
	givenUp int
	firstAt time.Time
}

// add adds a request that giveUp gives up. remove is to be called when its answer begins or it ends.
func (u *unansweredRequests) add(giveUp func()) (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.list.PushBack(giveUp)
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.list.Remove(e)
	}
}

// len returns the number of requests.
func (u *unansweredRequests) len() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.list.Len()
}

// keepOldest gives up all requests but the n that arrived first. Of the requests at an upstream these are
// the next to be answered, and the callers of the others have more of their time left to ask elsewhere.
func (u *unansweredRequests) keepOldest(n int) {
	for _, giveUp := range u.removeNewest(n) {
		giveUp()
	}
}

// removeNewest removes all requests but the n that arrived first, and returns their giveUp functions.
func (u *unansweredRequests) removeNewest(n int) (removed []func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for u.list.Len() > max(n, 0) {
		if giveUp, ok := u.list.Remove(u.list.Back()).(func()); ok {
			removed = append(removed, giveUp)
		}
	}
	return removed
}

// noteGivenUp counts a request that a planned stop has given up.
func (u *unansweredRequests) noteGivenUp(now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.givenUp++; u.firstAt.IsZero() {
		u.firstAt = now
	}
}

// counts returns the number of requests that a planned stop has given up and when it gave up the first.
func (u *unansweredRequests) counts() (givenUp int, firstAt time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.givenUp, u.firstAt
}
