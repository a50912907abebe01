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

// add adds a request. remove is to be called when its answer begins or it ends.
func (u *unansweredRequests) add() (remove func()) {
	u.mu.Lock()
	defer u.mu.Unlock()
	e := u.list.PushBack(nil)
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.list.Remove(e)
	}
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
