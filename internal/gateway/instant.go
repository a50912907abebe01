package gateway

import (
	"sync/atomic"
	"time"
)

// instant is a moment that may be read and set at any time. It keeps the steady
// clock's reading, which a count of nanoseconds would lose: the time of day may jump.
type instant struct{ at atomic.Pointer[time.Time] }

// Set sets the moment.
func (i *instant) Set(at time.Time) { i.at.Store(&at) }

// Get returns the moment; the zero time if it was never set.
func (i *instant) Get() time.Time {
	if at := i.at.Load(); at != nil {
		return *at
	}
	return time.Time{}
}
