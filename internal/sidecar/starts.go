package sidecar

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// reachWithin bounds a look at whether the upstream listens: it is on the same VM.
const reachWithin = time.Second

// starts tells the starts of the upstream beside a sidecar apart. The sidecar lives on when
// its upstream ends, and nothing else says that the upstream began anew.
type starts struct {
	incarnation string
	dial        func(ctx context.Context) (net.Conn, error)

	mu sync.Mutex
	// n counts the starts that were seen; down is set from the end of one until the
	// upstream is there again.
	n      int
	down   bool
	downAt time.Time
}

// newStarts returns a starts for the upstream at a URL.
func newStarts(base, incarnation string) *starts {
	address := base
	if u, err := url.Parse(base); err == nil {
		address = u.Host
		if u.Port() == "" {
			address = net.JoinHostPort(u.Hostname(), "http")
		}
	}
	d := &net.Dialer{Timeout: reachWithin}
	return &starts{incarnation: incarnation, dial: func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }}
}

// endedUnder is ended for a request that was sent to the upstream at a time. One that was sent when
// it was down ran nowhere, however its connection ended: it would stand beside those that had
// run at the start that ended, and what ended that one be judged by it.
func (s *starts) endedUnder(ctx context.Context, sentAt time.Time) string {
	s.mu.Lock()
	crossed := !s.down || !s.downAt.Before(sentAt)
	s.mu.Unlock()
	if !crossed {
		return ""
	}
	return s.ended(ctx)
}

// ended returns the name of the start that ended, after an answer of the upstream broke off:
// the address of one that ended refuses connections. It is empty if the upstream listens, or
// if that is not known.
func (s *starts) ended(ctx context.Context) string {
	c, err := s.dial(ctx)
	if err == nil {
		_ = c.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err == nil:
		s.up()
		return ""
	case !refusedConnection(err):
		return ""
	}
	if !s.down {
		s.down, s.downAt = true, time.Now()
	}
	return s.name()
}

// current returns the name of the latest start that was seen.
func (s *starts) current() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.name()
}

// name returns the name of the latest start that was seen. It needs the lock.
func (s *starts) name() string { return s.incarnation + "#" + strconv.Itoa(s.n) }

// answered notes that the upstream is there.
func (s *starts) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up()
}

// up notes that another start is there if one has ended. It needs the lock.
func (s *starts) up() {
	if s.down {
		s.n, s.down = s.n+1, false
	}
}
