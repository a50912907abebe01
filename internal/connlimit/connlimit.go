// Package connlimit ends callers' connections that take too long over the headers
// of a request or stay idle too long. net/http fixes such times when a server
// starts; here they follow the operator's configuration.
package connlimit

import (
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
	limits func() Limits
	ended  func(c net.Conn, why string)

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

// New returns a Limiter; limits gives the times in force, and ended is told of
// each connection that is ended, and why.
func New(limits func() Limits, ended func(c net.Conn, why string)) *Limiter {
	return &Limiter{limits: limits, ended: ended, timers: map[net.Conn]*time.Timer{}}
}

// Install makes a server obey the limits. A server calls a connection active once
// it has read the headers of a request.
func (l *Limiter) Install(s *http.Server) { s.ConnState = l.state }

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
