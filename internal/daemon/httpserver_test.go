package daemon

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

func newTestServer(h http.Handler) *httpServer {
	return &httpServer{server: &http.Server{Handler: h}, connections: unlimited()}
}

// listen starts a server on a free port.
func listen(t *testing.T, s *httpServer) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.start(smallBuffers{l})
}

// A process stops when the headers of a request on a kept connection have just been read
// and its handler has not begun. The server dropped the request and closed the connection
// without an answer. The server is held there until the stop has closed the listener.
func TestRequestReadAsTheServerStopsIsAnswered(t *testing.T) {
	s := newTestServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	requests, read := 0, make(chan struct{})
	s.server.BaseContext = func(l net.Listener) context.Context {
		states := s.server.ConnState
		s.server.ConnState = func(c net.Conn, state http.ConnState) {
			states(c, state)
			if state != http.StateActive {
				return
			}
			if requests++; requests == 2 {
				close(read)
				awaitNoListener(l.Addr().String())
			}
		}
		return context.Background()
	}
	listen(t, s)
	client := &http.Client{Transport: &http.Transport{}}
	url := "http://" + s.listener.Addr().String()
	if got, err := body(client.Get(url + "/first")); err != nil || got != "/first" {
		t.Fatalf("first answer %q, %v", got, err)
	}
	stopped := make(chan error)
	go func() {
		<-read
		stopped <- s.stop(t.Context())
	}()
	if got, err := body(client.Post(url+"/second", "text/plain", nil)); err != nil || got != "/second" {
		t.Errorf("the request that was read got %q, %v", got, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// awaitNoListener returns when nobody listens at an address any more.
func awaitNoListener(address string) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

func body(resp *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// A stop waits for no caller that keeps a connection without a request, and no longer
// for a request than it may.
func TestStopEndsWithoutRequestsAndAtItsDeadline(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	s := newTestServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(running)
			<-end
		}
	}))
	defer close(end)
	listen(t, s)
	client, other := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	url := "http://" + s.listener.Addr().String()
	asked := make(chan error)
	go func() {
		_, err := body(client.Get(url + "/long"))
		asked <- err
	}()
	<-running
	if _, err := body(other.Get(url + "/short")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error)
	go func() { stopped <- s.stop(ctx) }()
	for s.connections.Open() > 1 {
		select {
		case err := <-stopped:
			t.Fatalf("the stop ended with a request in flight: %v", err)
		default:
		}
	}
	cancel()
	if err := <-stopped; !errors.Is(err, context.Canceled) {
		t.Errorf("the stop says %v", err)
	}
	if err := <-asked; err == nil {
		t.Error("a request that lasted beyond the stop's deadline got an answer")
	}
}
