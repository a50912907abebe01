// Package connlimit closes connections of callers that take too long to send the headers of a
// request or stay idle for too long. In a planned stop it also closes all connections that wait for
// a request. The HTTP servers of package daemon install a Limiter; net/http fixes such timeouts
// when a server starts, whereas a Limiter follows the configuration of the operator.
//
// Only the goroutine that reads a connection closes it, when a read returns no data. A separate
// timer, or Shutdown of http.Server, could close a connection whose next request has just been
// read.
package connlimit

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Limits are the timeouts of a connection. 0 means no limit.
type Limits struct {
	// Header applies to a new connection until the headers of its first request are read, and to
	// the headers of later requests from their first byte on.
	Header time.Duration
	// Idle applies to the time between two requests.
	Idle time.Duration
}

// Limiter applies limits to the connections of one server.
type Limiter struct {
	limits        func() Limits
	onEnd         func(c net.Conn, why string)
	onUndelivered func(c *Conn, request string, err error)

	mu       sync.Mutex
	listener *limitedListener
	conns    map[*Conn]bool
	// acceptDone is set once the listener accepts no more connections.
	acceptDone bool
	// draining is closed when a planned stop begins to close connections. drained is closed when
	// the last connection has closed after that.
	draining  chan struct{}
	drained   chan struct{}
	drainOnce sync.Once
}

// New returns a Limiter. limits returns the limits in force. onEnd is called for each connection
// that the Limiter closed, with the reason. onUndelivered is called for the first write of a
// response that fails.
func New(limits func() Limits, onEnd func(c net.Conn, why string), onUndelivered func(c *Conn, request string, err error)) *Limiter {
	return &Limiter{limits: limits, onEnd: onEnd, onUndelivered: onUndelivered, conns: map[*Conn]bool{}, draining: make(chan struct{}), drained: make(chan struct{})}
}

// Install applies the limits to a server and returns the listener that the server must serve. The
// server reports a connection as active once it has read the headers of a request. In a planned
// stop, each response is the last one on its connection and carries "Connection: close".
func (l *Limiter) Install(s *http.Server, listener net.Listener) net.Listener {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&responseWriter{ResponseWriter: w, limiter: l}, r)
	})
	s.ConnState = l.connStateChanged
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connContextKey{}, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = &limitedListener{Listener: listener, limiter: l, done: make(chan struct{})}
	return l.listener
}

// Drain closes the listener and the connections that wait for a request. Connections with a request
// in flight are closed after their response. Drain returns when no connection is left or ctx ends;
// it may be called again to continue waiting.
func (l *Limiter) Drain(ctx context.Context) error {
	l.drainOnce.Do(l.beginDrain)
	select {
	case <-l.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("connections with requests in flight: %w", ctx.Err())
	}
}

func (l *Limiter) beginDrain() {
	l.mu.Lock()
	listener := l.listener
	l.mu.Unlock()
	close(l.draining)
	for _, c := range l.openConns() {
		c.recheckDeadline()
	}
	if listener != nil {
		_ = listener.Close()
	}
	go func() {
		// A connection that is being accepted is not in l.conns yet.
		if listener != nil {
			<-listener.done
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.acceptDone = true
		l.checkDrained()
	}()
}

// openConns returns the open connections.
func (l *Limiter) openConns() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// Open returns the number of open connections.
func (l *Limiter) Open() int { return len(l.openConns()) }

// isDraining reports whether a planned stop closes connections.
func (l *Limiter) isDraining() bool {
	select {
	case <-l.draining:
		return true
	default:
		return false
	}
}

func (l *Limiter) connStateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive:
		c.enter(phaseServing)
	case http.StateIdle:
		c.enter(phaseIdle)
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
}

// track adds a new connection.
func (l *Limiter) track(c *net.TCPConn) *Conn {
	conn := &Conn{TCPConn: c, limiter: l}
	conn.enter(phaseNew)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[conn] = true
	return conn
}

func (l *Limiter) forget(c *Conn) {
	if reason := c.EndReason(); reason != "" {
		l.onEnd(c, reason)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.checkDrained()
}

// checkDrained closes l.drained once no connection is left in a planned stop. The caller must hold
// l.mu.
func (l *Limiter) checkDrained() {
	if l.acceptDone && len(l.conns) == 0 {
		select {
		case <-l.drained:
		default:
			close(l.drained)
		}
	}
}

// limitedListener accepts connections of callers and adds them to a Limiter.
type limitedListener struct {
	net.Listener
	limiter *Limiter
	// done is closed once Accept returns no more connections.
	done      chan struct{}
	closeOnce sync.Once
}

// Accept waits for the next connection and adds it to the Limiter.
func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.closeOnce.Do(func() { close(l.done) })
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return l.limiter.track(tcp), nil
}

// Close closes the listener. It returns no error if the listener is closed already, because both
// Drain and the server close it.
func (l *limitedListener) Close() error {
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
