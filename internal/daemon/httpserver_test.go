package daemon

import (
	"io"
	"net"
	"net/http"
	"testing"
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
