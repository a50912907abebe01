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

// wholeRequest is a request that needs no body.
const wholeRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// A timer beside the connection ended it when the limit on idle connections was over. An
// entry that was busy with a table of some thousand routes did not get to run for 0.3 s,
// and then the timer and the caller's next request were both due. Calling the connection
// active stopped the timer, but not its callback, which had begun: the request was read
// and passed on, and the connection was closed under it. The upstream ran the call; the
// caller got nothing. The lines that settled it, 5 ms apart:
//
//	request-routed  upstream=i-cb4b8df608 why=first
//	caller-gone     while=waiting ended-here="idle for too long" sent=true after=4.9ms
func TestLimitDoesNotEndARequestThatWasRead(t *testing.T) {
	var served atomic.Int32
	var caller net.Conn
	begun := make(chan struct{}, 1)
	// The next request comes at the moment at which the limit is over.
	ended := func(net.Conn, string) {
		if _, err := io.WriteString(caller, wholeRequest); err != nil {
			t.Error(err)
		}
		select {
		case <-begun:
		case <-time.After(short):
		}
	}
	l := New(func() Limits { return Limits{Idle: short} }, ended, func(*Conn, string, error) {})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if served.Add(1) > 1 {
			begun <- struct{}{}
			select {
			case <-r.Context().Done():
			case <-time.After(short):
			}
		}
		_, _ = io.WriteString(w, "ok")
	}))
	s.Listener = l.Install(s.Config, s.Listener)
	s.Start()
	defer s.Close()
	caller = dial(t, s)
	answers := bufio.NewReader(caller)
	if err := ask(caller, answers); err != nil {
		t.Fatal(err)
	}
	_, err := http.ReadResponse(answers, nil)
	if err != nil && served.Load() > 1 {
		t.Errorf("a request was read and passed on, and its caller got %v", err)
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

// errNotAnswered is returned for an answer that is not the handler's.
var errNotAnswered = errors.New("not the handler's answer")

// ask sends a request and reads its answer.
func ask(c net.Conn, answers *bufio.Reader) error {
	if _, err := io.WriteString(c, wholeRequest); err != nil {
		return err
	}
	return answer(answers)
}

// answer reads an answer.
func answer(answers *bufio.Reader) error {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return err
	}
	b, err := io.ReadAll(resp.Body)
	if err == nil && string(b) != "ok" {
		return errNotAnswered
	}
	return err
}
