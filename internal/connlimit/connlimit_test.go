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

// shortTimeout expires during a test. longTimeout does not.
const (
	shortTimeout = 100 * time.Millisecond
	longTimeout  = time.Minute
)

func TestLimits(t *testing.T) {
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	tests := []struct {
		name   string
		limits Limits
		// send lists the parts that the caller sends, with a pause after each.
		send       []string
		pause      time.Duration
		wantReason string
	}{
		{"caller stays within the limits", Limits{Header: longTimeout, Idle: longTimeout}, []string{request, request}, 0, ""},
		{"no limits are set", Limits{}, []string{request, request}, 2 * shortTimeout, ""},
		{"caller sends nothing", Limits{Header: shortTimeout, Idle: longTimeout}, nil, 0, "headers took too long"},
		{"caller sends no second request", Limits{Header: longTimeout, Idle: shortTimeout}, []string{request}, 0, "idle for too long"},
		{"caller sends headers slowly", Limits{Header: shortTimeout, Idle: longTimeout}, []string{request[:20]}, 0, "headers took too long"},
		{"slow response is not limited", Limits{Header: shortTimeout, Idle: longTimeout}, []string{strings.Replace(request, "/", "/slow", 1)}, 0, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			reasons := make(chan string, 1)
			l := New(func() Limits { return tt.limits }, func(_ net.Conn, reason string) { reasons <- reason }, func(*Conn, string, error) {})
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/slow" {
					time.Sleep(3 * shortTimeout)
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
			responses := bufio.NewReader(c)
			for _, part := range tt.send {
				if _, err := io.WriteString(c, part); err != nil {
					t.Fatal(err)
				}
				if strings.HasSuffix(part, "\r\n\r\n") {
					resp, err := http.ReadResponse(responses, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				time.Sleep(tt.pause)
			}
			if tt.wantReason == "" {
				select {
				case got := <-reasons:
					t.Errorf("the connection was closed: %s", got)
				default:
				}
				return
			}
			if got := <-reasons; got != tt.wantReason {
				t.Errorf("connection closed with reason %q, want %q", got, tt.wantReason)
			}
			if _, err := responses.ReadByte(); err == nil {
				t.Error("the connection is still open")
			}
		})
	}
}
