// Package connlimit ends callers' connections that take too long over the headers
// of a request or stay idle too long. net/http fixes such times when a server
// starts; here they follow the operator's configuration.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Limits are the times that a connection may take; 0 stands for no limit.
type Limits struct {
	// Header is for a new connection until the headers of its first request are read.
	Header time.Duration
	// Idle is for the time between two requests, with the headers of the second.
	Idle time.Duration
}

// Limiter watches the connections of one server.
type Limiter struct {
	limits      func() Limits
	ended       func(c net.Conn, why string)
	undelivered func(c *Conn, request string, err error)

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// New returns a Limiter; limits gives the times in force, ended is told of each
// connection that is ended, and why, and undelivered of the first part of an answer
// that cannot be written.
func New(limits func() Limits, ended func(c net.Conn, why string), undelivered func(c *Conn, request string, err error)) *Limiter {
	return &Limiter{limits: limits, ended: ended, undelivered: undelivered, timers: map[net.Conn]*time.Timer{}}
}

// Install makes a server obey the limits and returns the listener that it is to serve.
// A server calls a connection active once it has read the headers of a request.
func (l *Limiter) Install(s *http.Server, listener net.Listener) net.Listener {
	s.ConnState = l.state
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, c)
	}
	return &conns{Listener: listener, undelivered: l.undelivered}
}

// conns accepts callers' connections.
type conns struct {
	net.Listener
	undelivered func(c *Conn, request string, err error)
}

// Accept waits for the next connection.
func (l *conns) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &Conn{TCPConn: tcp, undelivered: l.undelivered}, nil
}

func (l *Limiter) state(c net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		l.limit(c, l.limits().Header, "headers took too long")
	case http.StateIdle:
		l.limit(c, l.limits().Idle, "idle for too long")
	case http.StateActive, http.StateClosed, http.StateHijacked:
		l.stop(c)
	}
}

// limit ends a connection after a time, instead of what was set before.
func (l *Limiter) limit(c net.Conn, d time.Duration, why string) {
	l.stop(c)
	if d <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timers[c] = time.AfterFunc(d, func() {
		l.ended(c, why)
		if caller, ok := c.(*Conn); ok {
			_ = caller.end(why)
			return
		}
		_ = c.Close()
	})
}

func (l *Limiter) stop(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.timers[c]; ok {
		t.Stop()
		delete(l.timers, c)
	}
}
