// Package connlimit ends callers' connections that take too long over the headers of a
// request or stay idle too long, and all that wait for a request in a planned stop.
// net/http fixes such times when a server starts; here they follow the operator's
// configuration.
//
// Only the goroutine that reads a connection ends it, when its read comes back with
// nothing: a timer beside it, or a server's Shutdown, ends connections whose request has
// just been read.
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

// Limits are the times that a connection may take; 0 stands for no limit.
type Limits struct {
	// Header is for a new connection until the headers of its first request are read,
	// and for the headers of later requests from their first byte on.
	Header time.Duration
	// Idle is for the time between two requests.
	Idle time.Duration
}

// Limiter watches the connections of one server.
type Limiter struct {
	limits      func() Limits
	ended       func(c net.Conn, why string)
	undelivered func(c *Conn, request string, err error)

	mu       sync.Mutex
	listener *conns
	conns    map[*Conn]bool
	// accepted is set once no more connections come.
	accepted bool
	// draining is closed when a planned stop ends connections, and none once no
	// connection is left then.
	draining  chan struct{}
	none      chan struct{}
	drainOnce sync.Once
}

// New returns a Limiter; limits gives the times in force, ended is told of each
// connection that is ended, and why, and undelivered of the first part of an answer
// that cannot be written.
func New(limits func() Limits, ended func(c net.Conn, why string), undelivered func(c *Conn, request string, err error)) *Limiter {
	return &Limiter{limits: limits, ended: ended, undelivered: undelivered, conns: map[*Conn]bool{}, draining: make(chan struct{}), none: make(chan struct{})}
}

// Install makes a server obey the limits and returns the listener that it is to serve.
// A server calls a connection active once it has read the headers of a request. In a
// stop each answer is the last one on its connection, and says so.
func (l *Limiter) Install(s *http.Server, listener net.Listener) net.Listener {
	handler := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler.ServeHTTP(&answerWriter{ResponseWriter: w, limiter: l}, r)
	})
	s.ConnState = l.state
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listener = &conns{Listener: listener, limiter: l, ended: make(chan struct{})}
	return l.listener
}

// Drain takes no new connections, ends those that wait for a request, and the others as
// soon as they do. It returns when none is left or ctx ends, and may be called again then.
func (l *Limiter) Drain(ctx context.Context) error {
	l.drainOnce.Do(l.beginDrain)
	select {
	case <-l.none:
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
	for _, c := range l.open() {
		c.wake()
	}
	if listener != nil {
		_ = listener.Close()
	}
	go func() {
		// A connection that is being accepted is not among those that are open yet.
		if listener != nil {
			<-listener.ended
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		l.accepted = true
		l.checkNone()
	}()
}

// open returns the connections there are.
func (l *Limiter) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// Open returns the number of connections there are.
func (l *Limiter) Open() int { return len(l.open()) }

// stops reports whether a planned stop ends connections.
func (l *Limiter) stops() bool {
	select {
	case <-l.draining:
		return true
	default:
		return false
	}
}

func (l *Limiter) state(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateNew:
	case http.StateActive:
		c.enter(serving)
	case http.StateIdle:
		c.enter(idle)
	case http.StateClosed, http.StateHijacked:
		l.forget(c)
	}
}

// add watches a new connection.
func (l *Limiter) add(c *net.TCPConn) *Conn {
	out := &Conn{TCPConn: c, limiter: l}
	out.enter(opening)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[out] = true
	return out
}

func (l *Limiter) forget(c *Conn) {
	if why := c.EndedHere(); why != "" {
		l.ended(c, why)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
	l.checkNone()
}

// checkNone notes that no connection is left in a stop. It needs the lock.
func (l *Limiter) checkNone() {
	if l.accepted && len(l.conns) == 0 {
		select {
		case <-l.none:
		default:
			close(l.none)
		}
	}
}

// conns accepts callers' connections.
type conns struct {
	net.Listener
	limiter *Limiter
	// ended is closed once Accept returns no more connections.
	ended chan struct{}
	once  sync.Once
}

// Accept waits for the next connection.
func (l *conns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.once.Do(func() { close(l.ended) })
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return l.limiter.add(tcp), nil
}

// Close ends the listener. A stop and the server's end both close it.
func (l *conns) Close() error {
	if err := l.Listener.Close(); !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}
