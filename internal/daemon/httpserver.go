package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// headerWithin bounds the time in which the headers of a request have to arrive.
	headerWithin = time.Minute
	// callerSendBuffer bounds what a socket to a caller can hold, in bytes, so that a lost
	// entry takes no more with it than sidecars keep for a resume.
	callerSendBuffer = 32 << 10
	// stopPoll is the time between two looks of a stop for connections that are idle; a
	// planned stop is in no hurry.
	stopPoll = 20 * time.Millisecond
	// headerAtStop bounds the time in which headers that were begun have to arrive once the
	// server stops; less than stopSlack, so that what stops later has time.
	headerAtStop = 2 * time.Second
)

// httpServer serves HTTP at one address until it is stopped. It stops by itself:
// http.Server.Shutdown drops requests that were read and have no handler yet, and closes
// connections as idle while a request on them is being read.
type httpServer struct {
	server   *http.Server
	listener net.Listener
	// accepted is closed once no more connections are accepted.
	accepted chan struct{}
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*httpConn]struct{}
}

func newHTTPServer(h http.Handler) *httpServer {
	s := &httpServer{accepted: make(chan struct{}), conns: map[*httpConn]struct{}{}}
	s.server = &http.Server{Handler: s.closing(h), ReadHeaderTimeout: headerWithin, ConnState: s.state}
	return s
}

// start listens at an address and serves in the background.
func (s *httpServer) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = l
	go func() {
		defer close(s.accepted)
		_ = s.server.Serve(httpListener{l})
	}()
	return nil
}

// closing makes an answer the last one on its connection while the server stops.
func (s *httpServer) closing(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		h.ServeHTTP(w, r)
	})
}

// state follows the server's connections.
func (s *httpServer) state(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*httpConn)
	if !ok {
		return
	}
	c.serve(state == http.StateActive)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(s.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// stop takes no new connections, ends idle ones and waits for the requests in flight
// until ctx ends.
func (s *httpServer) stop(ctx context.Context) error {
	s.stopping.Store(true)
	_ = s.listener.Close()
	<-s.accepted
	for s.endIdle() > 0 && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(stopPoll):
		}
	}
	return s.server.Close()
}

// endIdle ends the idle connections and returns how many there are of all.
func (s *httpServer) endIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.endUnlessServed(time.Now())
	}
	return len(s.conns)
}

// httpListener accepts connections as httpConn.
type httpListener struct{ net.Listener }

// Accept waits for the next connection.
func (l httpListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	_ = tcp.SetWriteBuffer(callerSendBuffer)
	return &httpConn{TCPConn: tcp}, nil
}

// httpConn is a connection that can be ended as long as nothing of a request was read.
type httpConn struct {
	*net.TCPConn

	mu sync.Mutex
	// begun tells that something of a request was read, active that it is served.
	begun, active bool
	// until is the time that a stop set for reads; zero for none.
	until time.Time
}

// Read reads from the connection. What a read returns is served: reads are ended by a
// time, and a read that brings something all the same puts that off.
func (c *httpConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun && !c.until.IsZero() {
		c.readUntil(time.Now().Add(headerAtStop))
	}
	c.begun = true
	return n, err
}

// serve notes that a request is served from now on, or that none is. A request that is
// served has no time set for its reads, as the server sets none.
func (c *httpConn) serve(active bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun, c.active = active, active
	if active && !c.until.IsZero() {
		c.readUntil(time.Time{})
	}
}

// endUnlessServed ends the connection unless something of a request was read or waits to
// be read. Headers that were begun get a time. It is called again and again while the
// server stops, since the server sets times of its own between requests.
func (c *httpConn) endUnlessServed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.active:
	case c.begun && c.until.IsZero():
		c.readUntil(now.Add(headerAtStop))
	case c.begun:
		c.readUntil(c.until)
	case !c.unread():
		c.readUntil(now)
	}
}

func (c *httpConn) readUntil(t time.Time) {
	c.until = t
	_ = c.SetReadDeadline(t)
}

// unread reports whether the kernel holds bytes that were not read yet.
func (c *httpConn) unread() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && n > 0
}
