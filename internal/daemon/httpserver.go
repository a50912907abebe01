package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/connlimit"
)

const (
	// headerWithin bounds the time in which the headers of a request have to arrive.
	headerWithin = time.Minute
	// callerSendBuffer bounds what a socket to a caller can hold, in bytes, so that a lost
	// entry takes no more with it than sidecars keep for a resume.
	callerSendBuffer = 32 << 10
)

// httpServer serves HTTP on one listener until it is stopped.
type httpServer struct {
	server      *http.Server
	connections *connlimit.Limiter
	listener    net.Listener
}

// unlimited are connections that only the server's own times and a stop end.
func unlimited() *connlimit.Limiter {
	return connlimit.New(func() connlimit.Limits { return connlimit.Limits{} }, func(net.Conn, string) {}, func(*connlimit.Conn, string, error) {})
}

// start serves in the background.
func (s *httpServer) start(l net.Listener) {
	s.listener = s.connections.Install(s.server, l)
	go func() { _ = s.server.Serve(s.listener) }()
}

// stop takes no new connections, ends idle ones and waits for the requests in flight
// until ctx ends. It returns why some were cut.
func (s *httpServer) stop(ctx context.Context) error {
	cut := s.connections.Drain(ctx)
	if err := s.server.Close(); err != nil {
		return err
	}
	return cut
}

// smallBuffers accepts connections that hold little that is not sent.
type smallBuffers struct{ net.Listener }

// Accept waits for the next connection.
func (l smallBuffers) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
	return c, nil
}
