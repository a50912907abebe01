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
	return &httpServer{server: &http.Server{Handler: h}, connections: newUnlimitedLimiter()}
}

// listen starts a server on a free port.
func listen(t *testing.T, s *httpServer) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.start(smallBufferListener{l})
}

// TestRequestReadDuringStopIsAnswered guards against a stop that drops a request. The headers of a
// request on a reused connection have just been read and its handler has not started. http.Server
// drops such a request during Shutdown and closes the connection without a response. The server is
// blocked at this point until the stop has closed the listener.
func TestRequestReadDuringStopIsAnswered(t *testing.T) {
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
	if got, err := readBody(client.Get(url + "/first")); err != nil || got != "/first" {
		t.Fatalf("first response %q, %v", got, err)
	}
	stopped := make(chan error)
	go func() {
		<-read
		stopped <- s.stop(t.Context())
	}()
	if got, err := readBody(client.Post(url+"/second", "text/plain", nil)); err != nil || got != "/second" {
		t.Errorf("response to the request that was read: %q, %v", got, err)
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// awaitNoListener returns once connections to an address are refused.
func awaitNoListener(address string) {
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		_ = c.Close()
	}
}

func readBody(resp *http.Response, err error) (string, error) {
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// TestStopIgnoresIdleConnectionsAndEndsAtDeadline checks that a stop does not wait for idle
// connections, and not for a request beyond its context.
func TestStopIgnoresIdleConnectionsAndEndsAtDeadline(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	s := newTestServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(running)
			<-end
		}
	}))
	defer close(end)
	listen(t, s)
	client, idle := &http.Client{Transport: &http.Transport{}}, &http.Client{Transport: &http.Transport{}}
	url := "http://" + s.listener.Addr().String()
	answered := make(chan error)
	go func() {
		_, err := readBody(client.Get(url + "/long"))
		answered <- err
	}()
	<-running
	if _, err := readBody(idle.Get(url + "/short")); err != nil {
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
		t.Errorf("stop returned %v", err)
	}
	if err := <-answered; err == nil {
		t.Error("a request that lasted beyond the deadline of the stop got a response")
	}
}
