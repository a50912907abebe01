package gateway

import (
	"sync/atomic"
	"time"
)

// atomicTime is a time that can be read and set concurrently. It keeps the monotonic clock reading,
// which a count of nanoseconds would lose: the wall clock may jump.
type atomicTime struct{ at atomic.Pointer[time.Time] }

func (a *atomicTime) Store(at time.Time) { a.at.Store(&at) }

// Load returns the time, or the zero time if it was never set.
func (a *atomicTime) Load() time.Time {
	if at := a.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
