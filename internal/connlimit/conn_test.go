package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

// TestUndeliveredAnswerIsReported covers a caller that resets its connection before the response is
// written.
func TestUndeliveredAnswerIsReported(t *testing.T) {
	received, disconnected := make(chan struct{}), make(chan struct{})
	reported := make(chan string, 1)
	l := New(func() Limits { return Limits{} }, func(net.Conn, string) {}, func(c *Conn, request string, err error) {
		if err == nil || c.Caller() == "" || c.EndReason() != "" {
			t.Errorf("onUndelivered called with error %v, caller %q, end reason %q", err, c.Caller(), c.EndReason())
		}
		reported <- request
	})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		From(r.Context()).SetRequest("request-1")
		close(received)
		<-disconnected
		<-r.Context().Done()
		_, _ = io.WriteString(w, "too late")
	}))
	s.Listener = l.Install(s.Config, s.Listener)
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-received
	// A reset makes the first write fail.
	if err := c.(*net.TCPConn).SetLinger(0); err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	close(disconnected)
	if got := <-reported; got != "request-1" {
		t.Errorf("onUndelivered called for request %q", got)
	}
}

// TestFromWithoutLimiter covers servers without a Limiter: From returns nil, and the methods of a
// nil Conn work.
func TestFromWithoutLimiter(t *testing.T) {
	got := make(chan *Conn, 1)
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got <- From(r.Context()) }))
	defer s.Close()
	resp, err := http.Get(s.URL)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = bufio.NewReader(resp.Body).ReadByte()
	_ = resp.Body.Close()
	c := <-got
	c.SetRequest("request")
	if c != nil || c.Caller() != "" || c.EndReason() != "" {
		t.Errorf("From returned a connection: %v", c)
	}
}
