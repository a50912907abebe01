package connlimit

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// completeRequest is a request without a body.
const completeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// TestLimitDoesNotCloseConnectionOfReadRequest guards against limits that a timer next to the
// connection enforces. If the process is not scheduled for a while, as during the update of a route
// table with thousands of routes, the timer and the next request of the caller are due at the same
// time. Stopping the timer when the connection becomes active does not stop a callback that has
// begun: the request is read and forwarded, the upstream executes it, and its connection is closed
// without a response.
//
//	request-routed  upstream=i-cb4b8df608 why=first
//	caller-gone     while=waiting ended-here="idle for too long" sent=true after=4.9ms
func TestLimitDoesNotCloseConnectionOfReadRequest(t *testing.T) {
	var served atomic.Int32
	var caller net.Conn
	started := make(chan struct{}, 1)
	// The next request arrives at the moment at which the limit expires.
	onEnd := func(net.Conn, string) {
		if _, err := io.WriteString(caller, completeRequest); err != nil {
			t.Error(err)
		}
		select {
		case <-started:
		case <-time.After(shortTimeout):
		}
	}
	l := New(func() Limits { return Limits{Idle: shortTimeout} }, onEnd, func(*Conn, string, error) {})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) > 1 {
			started <- struct{}{}
			select {
			case <-r.Context().Done():
			case <-time.After(shortTimeout):
			}
		}
		_, _ = io.WriteString(w, "ok")
	}))
	s.Listener = l.Install(s.Config, s.Listener)
	s.Start()
	defer s.Close()
	caller = dial(t, s)
	responses := bufio.NewReader(caller)
	if err := sendRequest(caller, responses); err != nil {
		t.Fatal(err)
	}
	_, err := http.ReadResponse(responses, nil)
	if err != nil && served.Load() > 1 {
		t.Errorf("a request was read and handled, but its caller got %v", err)
	}
}

func dial(t *testing.T, s *httptest.Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// errUnexpectedBody is returned for a response whose body is not the one that the handler writes.
var errUnexpectedBody = errors.New("the response body is not the one of the handler")

// sendRequest sends a request and reads its response.
func sendRequest(c net.Conn, responses *bufio.Reader) error {
	if _, err := io.WriteString(c, completeRequest); err != nil {
		return err
	}
	return readResponse(responses)
}

func readResponse(responses *bufio.Reader) error {
	resp, err := http.ReadResponse(responses, nil)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil && string(b) != "ok" {
		return errUnexpectedBody
	}
	return err
}
