package connlimit

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// phase tells what a connection waits for.
type phase int

const (
	// opening: the first request of a new connection.
	opening phase = iota
	// idle: the first byte of another request.
	idle
	// headers: the rest of the headers of that one.
	headers
	// serving: the answer; no limit of this package holds.
	serving
)

// The reasons for which connections are ended.
const (
	whyHeaders = "headers took too long"
	whyIdle    = "idle for too long"
	whyStop    = "this entry stops"
)

const (
	// openInStop is how long a new connection has for its first request in a planned
	// stop: callers give a connection up that does not serve them within a second.
	openInStop = time.Second
	// headersInStop is how long headers that have begun may take then: some retransmits.
	// What stops after the connections needs time as well.
	headersInStop = 2 * time.Second
)

// Conn is a caller's connection. It keeps what net/http tells nobody: whether this
// process ended the connection, and why, and which request an answer that could not be
// written belongs to.
type Conn struct {
	*net.TCPConn
	limiter *Limiter

	mu    sync.Mutex
	phase phase
	// since is when the phase began, and bound the server's own limit for its reads.
	since   time.Time
	bound   time.Time
	request string
	why     string
	failed  bool
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// From returns the connection that a request came on, nil if it is not known.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Begin names the request that is served from now on.
func (c *Conn) Begin(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.failed = request, false
}

// Caller returns the caller's address, empty if it is not known.
func (c *Conn) Caller() string {
	if c == nil {
		return ""
	}
	return c.RemoteAddr().String()
}

// EndedHere returns why this process ended the connection; empty if it did not.
func (c *Conn) EndedHere() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.why
}

// enter notes what the connection waits for from now on.
func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.since, c.bound = p, time.Now(), time.Time{}
	if p == idle {
		c.request = ""
	}
	// While a request is served there is no limit: the one set was for its headers.
	limit, _ := c.limit()
	_ = c.TCPConn.SetReadDeadline(limit)
}

// SetReadDeadline sets when a read gives up: at the time that the server wants or, while
// a request is awaited, at the limit in force if that is earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		return c.TCPConn.SetReadDeadline(t)
	}
	c.bound = t
	limit, _ := c.limit()
	return c.TCPConn.SetReadDeadline(limit)
}

// limit returns when a connection is ended that still waits for the same, and why; the
// zero time for no limit. It needs the lock.
func (c *Conn) limit() (at time.Time, why string) {
	if c.phase == serving {
		return time.Time{}, ""
	}
	limits := c.limiter.limits()
	at, why = earlier(after(c.since, limits.Header), c.bound), whyHeaders
	if c.phase == idle {
		at, why = earlier(after(c.since, limits.Idle), c.bound), whyIdle
	}
	if !c.limiter.stops() {
		return at, why
	}
	most := c.since
	switch c.phase {
	case opening:
		most = c.since.Add(openInStop)
	case headers:
		most = c.since.Add(headersInStop)
	case idle, serving:
	}
	if at.IsZero() || most.Before(at) {
		return most, whyStop
	}
	return at, why
}

// after returns the end of a limit; the zero time for none.
func after(since time.Time, within time.Duration) time.Time {
	if within <= 0 {
		return time.Time{}
	}
	return since.Add(within)
}

// earlier returns the earlier of two times; the zero time stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// wake makes a waiting read look at the limits anew.
func (c *Conn) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != serving {
		_ = c.TCPConn.SetReadDeadline(time.Now())
	}
}

// Read reads what the caller sent. A limit that is over ends the connection only if
// nothing has come by then: a process that did not get to run for a while finds the limit
// and the next request due at once.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.waits() {
			if c.extend() {
				continue
			}
			n, err = c.lastLook(b, err)
		}
		if n > 0 {
			c.received()
		}
		return n, err
	}
}

// waits reports whether a request is awaited.
func (c *Conn) waits() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != serving
}

// extend goes on waiting if the limit was raised meanwhile or is another one now.
func (c *Conn) extend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit, _ := c.limit()
	if !limit.IsZero() && !limit.After(time.Now()) {
		return false
	}
	return c.TCPConn.SetReadDeadline(limit) == nil
}

// lastLook reads what has come although the time is over. If there is nothing it ends the
// connection, before the server answers headers that are not whole, and returns late.
func (c *Conn) lastLook(b []byte, late error) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	readErr := error(syscall.EINTR)
	for err == nil && errors.Is(readErr, syscall.EINTR) {
		// Control does not mind the deadline, as Read of a RawConn does.
		err = raw.Control(func(fd uintptr) { n, _, readErr = syscall.Recvfrom(int(fd), b, syscall.MSG_DONTWAIT) })
	}
	switch {
	case err != nil:
		return 0, err
	case readErr == nil && n == 0:
		return 0, io.EOF
	case readErr == nil:
		return n, nil
	case !errors.Is(readErr, syscall.EAGAIN):
		return 0, readErr
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, c.why = c.limit()
	_ = c.Close()
	return 0, late
}

// received notes that bytes of a request have come. The limit for the headers of the
// first one runs from the connection's start.
func (c *Conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case idle:
		c.phase, c.since = headers, time.Now()
		limit, _ := c.limit()
		_ = c.TCPConn.SetReadDeadline(limit)
	case opening:
		c.phase = headers
	case headers, serving:
	}
}

// Write writes a part of an answer and reports the first one that cannot be written.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.fail(err)
	}
	return n, err
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	request, again := c.request, c.failed
	c.failed = true
	c.mu.Unlock()
	if request != "" && !again {
		c.limiter.undelivered(c, request, err)
	}
}
