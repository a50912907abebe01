package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// headerWithin bounds the time in which the headers of a request have to arrive.
const headerWithin = time.Minute

// callerSendBuffer bounds what a socket to a caller can hold, so that a lost
// entry takes no more with it than sidecars keep for a resume.
const callerSendBuffer = 32 << 10

// httpServer serves HTTP at one address until it is stopped.
type httpServer struct {
	server   *http.Server
	listener net.Listener
}

func newHTTPServer(h http.Handler) *httpServer {
	return &httpServer{server: &http.Server{Handler: h, ReadHeaderTimeout: headerWithin, ConnState: limitSendBuffer}}
}

// start listens at an address and serves in the background.
func (s *httpServer) start(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.listener = l
	go func() { _ = s.server.Serve(l) }()
	return nil
}

// stop takes no new connections and waits for the requests in flight until ctx ends.
func (s *httpServer) stop(ctx context.Context) error {
	if err := s.server.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return s.server.Close()
}

func limitSendBuffer(c net.Conn, s http.ConnState) {
	if tcp, ok := c.(*net.TCPConn); ok && s == http.StateNew {
		_ = tcp.SetWriteBuffer(callerSendBuffer)
	}
}
