package gateway

import (
	"sync/atomic"
	"time"
)

// instant is a time that can be read and set concurrently. It keeps the monotonic clock reading,
// which a count of nanoseconds would lose: the wall clock may jump.
type instant struct{ at atomic.Pointer[time.Time] }

func (i *instant) Set(at time.Time) { i.at.Store(&at) }

// Get returns the time, or the zero time if it was never set.
func (i *instant) Get() time.Time {
	if at := i.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
