package peer

import (
	"context"
	"net"
	"sync"
)

// Server accepts connections from peers.
type Server struct {
	listener net.Listener
	methods  Methods
	onOpen   func(*Conn)

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// accepting is done once the accept loop has ended, done once all accepted connections have
	// ended.
	accepting, done sync.WaitGroup
}

// NewServer returns a Server on l. onOpen may be nil. It is called for each new connection before
// any message on it is handled.
func NewServer(l net.Listener, methods Methods, onOpen func(*Conn)) *Server {
	return &Server{listener: l, methods: methods, onOpen: onOpen, conns: map[*Conn]struct{}{}}
}

// Addr returns the address the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Start accepts connections until Close.
func (s *Server) Start() { s.accepting.Go(s.acceptLoop) }

func (s *Server) acceptLoop() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		c := prepareConn(nc, s.methods)
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		if s.onOpen != nil {
			s.onOpen(c)
		}
		close(c.ready)
		s.done.Go(func() { s.removeWhenDone(c) })
	}
}

func (s *Server) removeWhenDone(c *Conn) {
	<-c.Done()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Broadcast notifies every connected peer. It closes connections on which the write fails.
func (s *Server) Broadcast(ctx context.Context, method string, params any) {
	for _, c := range s.Conns() {
		if err := c.Notify(ctx, method, params); err != nil {
			c.Close()
		}
	}
}

// Conns returns the open connections.
func (s *Server) Conns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*Conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}

// Close ends the listener and all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	// A connection that is just being accepted is not in s.conns yet, so wait for the accept loop
	// before closing the connections.
	s.accepting.Wait()
	for _, c := range s.Conns() {
		c.Close()
	}
	s.done.Wait()
}
