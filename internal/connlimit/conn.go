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

// phase is the state of a connection, which selects the limit that applies to it.
type phase int

const (
	// phaseNew: waiting for the first request of a new connection.
	phaseNew phase = iota
	// phaseIdle: waiting for the first byte of a later request.
	phaseIdle
	// phaseHeaders: reading the rest of the headers of a request.
	phaseHeaders
	// phaseServing: the request is served. No limit of this package applies.
	phaseServing
)

// The reasons for which a Limiter closes connections, as written to the log.
const (
	reasonHeaderTimeout = "headers took too long"
	reasonIdleTimeout   = "idle for too long"
	reasonStopping      = "this entry stops"
)

const (
	// firstRequestTimeoutInStop is how long a new connection may take to send its first request
	// during a planned stop. Callers give up a connection that does not serve them within a second.
	firstRequestTimeoutInStop = time.Second
	// headerTimeoutInStop is how long the headers of a request may take during a planned stop once
	// their first byte has arrived. It leaves time for a few retransmissions. It is short because
	// the services that stop after the connections need part of the stop time.
	headerTimeoutInStop = 2 * time.Second
)

// Conn is the connection of a caller. It records what net/http does not expose: whether and why
// this process closed the connection, and which request a response that could not be written
// belongs to.
type Conn struct {
	*net.TCPConn
	limiter *Limiter

	mu    sync.Mutex
	phase phase
	// phaseSince is when the phase began. serverDeadline is the read deadline that the HTTP server
	// set itself.
	phaseSince     time.Time
	serverDeadline time.Time
	request        string
	endReason      string
	writeFailed    bool
}

// connContextKey is the key of the connection in the contexts of its requests.
type connContextKey struct{}

// From returns the connection that a request arrived on, or nil if its server has no Limiter.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connContextKey{}).(*Conn)
	return c
}

// SetRequest sets the identifier of the request that is served from now on.
func (c *Conn) SetRequest(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.writeFailed = request, false
}

// Caller returns the address of the caller, or an empty string if it is unknown.
func (c *Conn) Caller() string {
	if c == nil {
		return ""
	}
	return c.RemoteAddr().String()
}

// EndReason returns the reason for which this process closed the connection, or an empty string if
// it did not close it.
func (c *Conn) EndReason() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endReason
}

// enter moves the connection to a phase and sets the read deadline for it.
func (c *Conn) enter(p phase) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase, c.phaseSince, c.serverDeadline = p, time.Now(), time.Time{}
	if p == phaseIdle {
		c.request = ""
	}
	// The HTTP server set the current deadline for the headers. It is cleared while the request is
	// served.
	deadline, _ := c.deadline()
	_ = c.TCPConn.SetReadDeadline(deadline)
}

// SetReadDeadline sets the read deadline that the HTTP server asks for. While the connection waits
// for a request, the limit in force applies instead if it expires earlier.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseServing {
		return c.TCPConn.SetReadDeadline(t)
	}
	c.serverDeadline = t
	deadline, _ := c.deadline()
	return c.TCPConn.SetReadDeadline(deadline)
}

// deadline returns the time at which the connection is closed if it is still in this phase, and the
// reason. The zero time means that there is no limit. The caller must hold c.mu.
func (c *Conn) deadline() (at time.Time, reason string) {
	if c.phase == phaseServing {
		return time.Time{}, ""
	}
	limits := c.limiter.limits()
	at, reason = earlier(deadlineAfter(c.phaseSince, limits.Header), c.serverDeadline), reasonHeaderTimeout
	if c.phase == phaseIdle {
		at, reason = earlier(deadlineAfter(c.phaseSince, limits.Idle), c.serverDeadline), reasonIdleTimeout
	}
	if !c.limiter.isDraining() {
		return at, reason
	}
	stopDeadline := c.phaseSince
	switch c.phase {
	case phaseNew:
		stopDeadline = c.phaseSince.Add(firstRequestTimeoutInStop)
	case phaseHeaders:
		stopDeadline = c.phaseSince.Add(headerTimeoutInStop)
	case phaseIdle, phaseServing:
	}
	if at.IsZero() || stopDeadline.Before(at) {
		return stopDeadline, reasonStopping
	}
	return at, reason
}

// deadlineAfter returns the time at which a timeout expires, or the zero time if no timeout is set.
func deadlineAfter(start time.Time, timeout time.Duration) time.Time {
	if timeout <= 0 {
		return time.Time{}
	}
	return start.Add(timeout)
}

// earlier returns the earlier of two times. The zero time means that there is no limit.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}

// recheckDeadline makes a blocked read return and compute its deadline again.
func (c *Conn) recheckDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase != phaseServing {
		_ = c.TCPConn.SetReadDeadline(time.Now())
	}
}

// Read reads what the caller sent. If the limit has expired, it closes the connection only if no
// data has arrived by then: in a process that was not scheduled for a while, the limit expires and
// the next request arrives at the same time.
func (c *Conn) Read(b []byte) (int, error) {
	for {
		n, err := c.TCPConn.Read(b)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.awaitsRequest() {
			if c.extendDeadline() {
				continue
			}
			n, err = c.finalRead(b, err)
		}
		if n > 0 {
			c.noteReceived()
		}
		return n, err
	}
}

// awaitsRequest reports whether the connection waits for a request or its headers.
func (c *Conn) awaitsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase != phaseServing
}

// extendDeadline sets the current deadline and returns true if that deadline is in the future,
// because the limit was raised or the phase has changed.
func (c *Conn) extendDeadline() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	deadline, _ := c.deadline()
	if !deadline.IsZero() && !deadline.After(time.Now()) {
		return false
	}
	return c.TCPConn.SetReadDeadline(deadline) == nil
}

// finalRead reads without blocking after the limit has expired. If there is no data, it closes the
// connection and returns timeoutErr. The connection must be closed here because the HTTP server
// would otherwise send an error response to incomplete headers.
func (c *Conn) finalRead(b []byte, timeoutErr error) (int, error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var n int
	readErr := error(syscall.EINTR)
	for err == nil && errors.Is(readErr, syscall.EINTR) {
		// Unlike RawConn.Read, Control ignores the read deadline.
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
	_, c.endReason = c.deadline()
	_ = c.Close()
	return 0, timeoutErr
}

// noteReceived moves the connection to phaseHeaders when the first bytes of a request arrive. For
// the first request, the limit for the headers runs from the start of the connection.
func (c *Conn) noteReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch c.phase {
	case phaseIdle:
		c.phase, c.phaseSince = phaseHeaders, time.Now()
		deadline, _ := c.deadline()
		_ = c.TCPConn.SetReadDeadline(deadline)
	case phaseNew:
		c.phase = phaseHeaders
	case phaseHeaders, phaseServing:
	}
}

// Write writes a part of a response. The first failed write of a request is reported to the
// Limiter.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.noteWriteError(err)
	}
	return n, err
}

func (c *Conn) noteWriteError(err error) {
	c.mu.Lock()
	request, reported := c.request, c.writeFailed
	c.writeFailed = true
	c.mu.Unlock()
	if request != "" && !reported {
		c.limiter.onUndelivered(c, request, err)
	}
}
