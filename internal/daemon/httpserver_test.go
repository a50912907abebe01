package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A process stops when the headers of a request on a kept connection have just been read
// and its handler has not begun. The server dropped the request and closed the connection
// without an answer. The server is held there until the stop has closed the listener.
func TestRequestReadAsTheServerStopsIsAnswered(t *testing.T) {
	s := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) }))
	states := s.server.ConnState
	requests, read := 0, make(chan struct{})
	s.server.ConnState = func(c net.Conn, state http.ConnState) {
		states(c, state)
		if state != http.StateActive {
			return
		}
		if requests++; requests == 2 {
			close(read)
			awaitNoListener(s.listener.Addr().String())
		}
	}
	if err := s.start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
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

// A process stops when half of the headers of a request has been read on a kept
// connection, or on a new one. Such a connection counted as idle, and was closed.
func TestRequestHalfReadAsTheServerStopsIsAnswered(t *testing.T) {
	const first, half, rest = "GET /first HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTT", "P/1.1\r\nHost: h\r\nContent-Length: 7\r\n\r\n"
	for _, tc := range []struct {
		name   string
		before []string
	}{
		{name: "new connection"},
		{name: "kept connection", before: []string{first}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			served := make(chan struct{})
			s := newHTTPServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method == http.MethodPost {
					close(served)
					_, _ = io.Copy(w, r.Body)
					return
				}
				_, _ = io.WriteString(w, r.URL.Path)
			}))
			if err := s.start("127.0.0.1:0"); err != nil {
				t.Fatal(err)
			}
			c, err := net.Dial("tcp", s.listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			answers := bufio.NewReader(c)
			for _, request := range tc.before {
				_, _ = io.WriteString(c, request)
				if got, err := body(http.ReadResponse(answers, nil)); err != nil || got != "/first" {
					t.Fatalf("first answer %q, %v", got, err)
				}
				awaitBegun(s, false)
			}
			_, _ = io.WriteString(c, half)
			awaitBegun(s, true)
			stopped := make(chan error)
			go func() { stopped <- s.stop(t.Context()) }()
			<-s.accepted
			if n := s.endIdle(); n != 1 || readUntil(s).IsZero() {
				t.Fatalf("%d connections, of which reads end at %s; want one with a time", n, readUntil(s))
			}
			_, _ = io.WriteString(c, rest)
			<-served
			if n := s.endIdle(); n != 1 || !readUntil(s).IsZero() {
				t.Fatalf("%d connections, of which reads end at %s; want one without a time", n, readUntil(s))
			}
			_, _ = io.WriteString(c, "/second")
			if got, err := body(http.ReadResponse(answers, nil)); err != nil || got != "/second" {
				t.Errorf("the request that was half read got %q, %v", got, err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

// A stop waits for no caller that keeps a connection without a request, and no longer
// for a request than it may.
func TestStopEndsWithoutRequestsAndAtItsDeadline(t *testing.T) {
	running, end := make(chan struct{}), make(chan struct{})
	s := newHTTPServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/long" {
			close(running)
			<-end
		}
	}))
	defer close(end)
	if err := s.start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	client := &http.Client{Transport: &http.Transport{}}
	url := "http://" + s.listener.Addr().String()
	asked := make(chan error)
	go func() {
		_, err := body(client.Get(url + "/long"))
		asked <- err
	}()
	<-running
	if _, err := body(client.Get(url + "/short")); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error)
	go func() { stopped <- s.stop(ctx) }()
	<-s.accepted
	for s.endIdle() > 1 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
	if err := <-asked; err == nil {
		t.Error("a request that lasted beyond the stop's deadline got an answer")
	}
}

// readUntil returns the time that a stop set for reads of a server's one connection.
func readUntil(s *httpServer) (until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		until = c.until
		c.mu.Unlock()
	}
	return until
}

// awaitBegun returns when the one connection of a server has a request begun, or none.
func awaitBegun(s *httpServer, want bool) {
	for {
		s.mu.Lock()
		for c := range s.conns {
			c.mu.Lock()
			begun := c.begun
			c.mu.Unlock()
			if begun == want {
				s.mu.Unlock()
				return
			}
		}
		s.mu.Unlock()
	}
}
