package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// short is a limit that passes in a test; long is one that does not.
const (
	short = 100 * time.Millisecond
	long  = time.Minute
)

func TestLimits(t *testing.T) {
	const whole = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name   string
		limits Limits
		// send is what the caller sends, with a pause after each part.
		send  []string
		pause time.Duration
		why   string
	}{
		{"a caller that keeps to them", Limits{Header: long, Idle: long}, []string{whole, whole}, 0, ""},
		{"none are set", Limits{}, []string{whole, whole}, 2 * short, ""},
		{"nothing is sent", Limits{Header: short, Idle: long}, nil, 0, "headers took too long"},
		{"no second request", Limits{Header: long, Idle: short}, []string{whole}, 0, "idle for too long"},
		{"slow headers", Limits{Header: short, Idle: long}, []string{whole[:20]}, 0, "headers took too long"},
		{"a slow answer is not slow headers", Limits{Header: short, Idle: long}, []string{strings.Replace(whole, "/", "/slow", 1)}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			why := make(chan string, 1)
			l := New(func() Limits { return tt.limits }, func(_ net.Conn, reason string) { why <- reason }, func(*Conn, string, error) {})
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(3 * short)
				}
				_, _ = io.WriteString(w, "ok")
			}))
			s.Listener = l.Install(s.Config, s.Listener)
			s.Start()
			defer s.Close()
			c, err := net.Dial("tcp", s.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			answers := bufio.NewReader(c)
			for _, part := range tt.send {
				if _, err := io.WriteString(c, part); err != nil {
					t.Fatal(err)
				}
				if strings.HasSuffix(part, "\r\n\r\n") {
					resp, err := http.ReadResponse(answers, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				time.Sleep(tt.pause)
			}
			if tt.why == "" {
				select {
				case got := <-why:
					t.Errorf("the connection was ended: %s", got)
				default:
				}
				return
			}
			if got := <-why; got != tt.why {
				t.Errorf("ended because %q, want %q", got, tt.why)
			}
			if _, err := answers.ReadByte(); err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}
