package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/connlimit"
)

const (
	// headerTimeout bounds the time in which the headers of a request have to arrive.
	headerTimeout = time.Minute
	// callerSendBuffer bounds the unsent bytes in the socket of a caller. An entry that crashes
	// must not lose more than the sidecars retain for a resume.
	callerSendBuffer = 32 << 10
)

// httpServer serves HTTP on one listener until it is stopped.
type httpServer struct {
	server      *http.Server
	connections *connlimit.Limiter
	listener    net.Listener
}

// newUnlimitedLimiter returns a Limiter without limits: only the timeouts of the server and a
// planned stop close connections.
func newUnlimitedLimiter() *connlimit.Limiter {
	return connlimit.New(func() connlimit.Limits { return connlimit.Limits{} }, func(net.Conn, string) {}, func(*connlimit.Conn, string, error) {})
}

// start serves a listener in the background.
func (s *httpServer) start(l net.Listener) {
	s.listener = s.connections.Install(s.server, l)
	go func() { _ = s.server.Serve(s.listener) }()
}

// stop accepts no new connections, closes idle ones and waits for the requests in flight until ctx
// ends. It returns an error if it closed connections with requests in flight.
func (s *httpServer) stop(ctx context.Context) error {
	drainErr := s.connections.Drain(ctx)
	if err := s.server.Close(); err != nil {
		return err
	}
	return drainErr
}

// smallBufferListener accepts connections with a small send buffer.
type smallBufferListener struct{ net.Listener }

// Accept waits for the next connection and sets its send buffer.
func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
	return c, nil
}
