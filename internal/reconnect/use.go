package reconnect

import (
	"fmt"
	"net/http/httptrace"
	"sync"
	"time"
)

// connectionUse records which connection a request was sent on.
type connectionUse struct {
	mu   sync.Mutex
	info httptrace.GotConnInfo
}

func (u *connectionUse) record(info httptrace.GotConnInfo) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.info = info
}

// reused reports whether the connection had carried other requests before.
func (u *connectionUse) reused() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.info.Reused
}

// idleTime returns how long the connection was idle before the request.
func (u *connectionUse) idleTime() time.Duration {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.info.IdleTime
}

// describe adds to an error which connection it occurred on.
func (u *connectionUse) describe(err error) error {
	return fmt.Errorf("%w (connection used before: %t, idle for %s)", err, u.reused(), u.idleTime())
}
