package connlimit

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"
)

// startServer starts a server with limits that may change during the test. Reasons for closed
// connections are sent to reasons.
func startServer(t *testing.T, limits func() Limits, reasons chan<- string, serve http.HandlerFunc) (*Limiter, *httptest.Server) {
	t.Helper()
	l := New(limits, func(_ net.Conn, reason string) { reasons <- reason }, func(*Conn, string, error) {})
	s := httptest.NewUnstartedServer(serve)
	s.Listener = l.Install(s.Config, s.Listener)
	s.Start()
	t.Cleanup(s.Close)
	return l, s
}

func serveOK(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }

// In a process that was not scheduled for a while, the idle limit expires and the next request
// arrives at the same time. Here the limit has expired when the first response is written, and the
// second request arrived before that. It must be served.
func TestReceivedRequestIsServedAfterIdleTimeout(t *testing.T) {
	for range 100 {
		started, secondSent := make(chan struct{}, 2), make(chan struct{})
		_, s := startServer(t, func() Limits { return Limits{Idle: time.Nanosecond} }, make(chan string, 2), func(w http.ResponseWriter, r *http.Request) {
			started <- struct{}{}
			<-secondSent
			serveOK(w, r)
		})
		c := dial(t, s)
		responses := bufio.NewReader(c)
		if _, err := io.WriteString(c, completeRequest); err != nil {
			t.Fatal(err)
		}
		<-started
		if _, err := io.WriteString(c, completeRequest); err != nil {
			t.Fatal(err)
		}
		close(secondSent)
		for _, name := range []string{"first", "second"} {
			if err := readResponse(responses); err != nil {
				t.Fatalf("the %s request failed: %v", name, err)
			}
		}
	}
}

// TestRaisedLimit covers an idle limit that is raised while a connection is idle: the raised limit
// applies to it.
func TestRaisedLimit(t *testing.T) {
	var raised atomic.Bool
	reasons := make(chan string, 1)
	_, s := startServer(t, func() Limits {
		if raised.Load() {
			return Limits{Idle: longTimeout}
		}
		return Limits{Idle: shortTimeout}
	}, reasons, serveOK)
	c := dial(t, s)
	responses := bufio.NewReader(c)
	if err := sendRequest(c, responses); err != nil {
		t.Fatal(err)
	}
	raised.Store(true)
	time.Sleep(2 * shortTimeout)
	if err := sendRequest(c, responses); err != nil {
		t.Errorf("request on a connection within the raised limit: %v", err)
	}
}

// TestDrain covers open connections in each phase when a planned stop begins.
func TestDrain(t *testing.T) {
	for _, tc := range []struct {
		name string
		// kept is set if a request was answered on the connection before.
		kept bool
		// before is what the caller sends before the stop. The handler answers a request for /late
		// only once the stop has begun.
		before string
		// after is what the caller sends once the stop has begun.
		after         string
		wantResponses int
		wantReason    string
	}{
		{"idle connection is closed", true, "", "", 0, reasonStopping},
		{"request in flight is answered and the connection closed", false, delayedRequest, "", 1, ""},
		{"new connection finishes sending its headers", false, completeRequest[:20], completeRequest[20:], 1, ""},
		{"reused connection finishes sending its headers", true, completeRequest[:20], completeRequest[20:], 1, ""},
		{"incomplete headers are not awaited", false, completeRequest[:20], "", 0, reasonStopping},
		{"new connection sends a request and is closed after its response", false, "", completeRequest, 1, ""},
		{"new connection without a request is closed", false, "", "", 0, reasonStopping},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			reasons, stopping := make(chan string, 1), make(chan struct{})
			l, s := startServer(t, func() Limits { return Limits{} }, reasons, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/late" {
					<-stopping
				}
				serveOK(w, r)
			})
			c := dial(t, s)
			responses := bufio.NewReader(c)
			wantPhase := phaseNew
			if tc.kept {
				if err := sendRequest(c, responses); err != nil {
					t.Fatal(err)
				}
				wantPhase = phaseIdle
			}
			if _, err := io.WriteString(c, tc.before); err != nil {
				t.Fatal(err)
			}
			switch tc.before {
			case "":
			case delayedRequest:
				wantPhase = phaseServing
			default:
				wantPhase = phaseHeaders
			}
			awaitPhase(t, l, wantPhase)
			drained := make(chan error, 1)
			go func() { drained <- l.Drain(t.Context()) }()
			<-l.draining
			close(stopping)
			if _, err := io.WriteString(c, tc.after); err != nil {
				t.Fatal(err)
			}
			for range tc.wantResponses {
				if err := readResponse(responses); err != nil {
					t.Fatal(err)
				}
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if got := receivedReason(reasons); got != tc.wantReason {
				t.Errorf("connection closed with reason %q, want %q", got, tc.wantReason)
			}
			if _, err := net.Dial("tcp", s.Listener.Addr().String()); err == nil {
				t.Error("a stopped server accepts connections")
			}
		})
	}
}

// TestDrainReturnsWhenContextEnds covers a request that is still in flight when the time for the
// stop is over.
func TestDrainReturnsWhenContextEnds(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	defer close(release)
	l, s := startServer(t, func() Limits { return Limits{} }, make(chan string, 1), func(http.ResponseWriter, *http.Request) {
		close(started)
		<-release
	})
	if _, err := io.WriteString(dial(t, s), completeRequest); err != nil {
		t.Fatal(err)
	}
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), shortTimeout)
	defer cancel()
	if err := l.Drain(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// delayedRequest is answered only once the stop has begun.
const delayedRequest = "GET /late HTTP/1.1\r\nHost: h\r\n\r\n"

// awaitPhase waits until the only connection of the server is in the phase want.
func awaitPhase(t *testing.T, l *Limiter, want phase) {
	t.Helper()
	for range 1000 {
		for _, c := range l.openConns() {
			c.mu.Lock()
			got := c.phase
			c.mu.Unlock()
			if got == want {
				return
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("the connection did not reach the phase in time")
}

// receivedReason returns the reason for which the connection was closed, or an empty string if it
// was not closed.
func receivedReason(reasons <-chan string) string {
	select {
	case got := <-reasons:
		return got
	default:
		return ""
	}
}

// TestServerTimeoutsApplyWithoutLimits covers the timeouts of http.Server itself, which apply while
// the operator has set no limits.
func TestServerTimeoutsApplyWithoutLimits(t *testing.T) {
	reasons := make(chan string, 1)
	l := New(func() Limits { return Limits{} }, func(_ net.Conn, reason string) { reasons <- reason }, func(*Conn, string, error) {})
	s := httptest.NewUnstartedServer(http.HandlerFunc(serveOK))
	s.Config.ReadHeaderTimeout, s.Config.IdleTimeout = longTimeout, shortTimeout
	s.Listener = l.Install(s.Config, s.Listener)
	s.Start()
	defer s.Close()
	c := dial(t, s)
	if err := sendRequest(c, bufio.NewReader(c)); err != nil {
		t.Fatal(err)
	}
	if got := <-reasons; got != reasonIdleTimeout {
		t.Errorf("connection closed with reason %q", got)
	}
}

// blockingListener returns a connection from Accept only after release is closed.
type blockingListener struct {
	net.Listener
	accepted, release chan struct{}
}

func (l blockingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		close(l.accepted)
		<-l.release
	}
	return c, err
}

// TestDrainWaitsForConnectionBeingAccepted covers a planned stop that begins while a connection is
// being accepted and is not among the open connections yet. If Drain does not wait for it, the stop
// ends at once and the request of the caller is reset.
func TestDrainWaitsForConnectionBeingAccepted(t *testing.T) {
	l := New(func() Limits { return Limits{} }, func(net.Conn, string) {}, func(*Conn, string, error) {})
	s := httptest.NewUnstartedServer(http.HandlerFunc(serveOK))
	listener := blockingListener{Listener: s.Listener, accepted: make(chan struct{}), release: make(chan struct{})}
	s.Listener = l.Install(s.Config, listener)
	s.Start()
	defer s.Close()
	c := dial(t, s)
	if _, err := io.WriteString(c, completeRequest); err != nil {
		t.Fatal(err)
	}
	<-listener.accepted
	drained := make(chan error, 1)
	go func() {
		err := l.Drain(t.Context())
		drained <- errors.Join(err, s.Config.Close())
	}()
	<-l.draining
	// A Drain that does not wait has returned by then.
	time.Sleep(shortTimeout)
	close(listener.release)
	if err := readResponse(bufio.NewReader(c)); err != nil {
		t.Errorf("the request failed: %v", err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
}

// TestDrainCanBeRepeated covers a second call of Drain after the context of the first call ended.
func TestDrainCanBeRepeated(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	l, s := startServer(t, func() Limits { return Limits{} }, make(chan string, 1), func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-release
		serveOK(w, r)
	})
	c := dial(t, s)
	if _, err := io.WriteString(c, completeRequest); err != nil {
		t.Fatal(err)
	}
	<-started
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := l.Drain(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
	close(release)
	if err := l.Drain(t.Context()); err != nil {
		t.Error(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	if !resp.Close {
		t.Error("the last response does not announce that the connection is closed")
	}
}

// TestLimitsOfLaterRequests covers the headers and the body of a second request on the same
// connection.
func TestLimitsOfLaterRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		// parts are sent with pauses between them that are longer than the limit for headers.
		parts      []string
		wantReason string
	}{
		{"slow after two bytes of headers", []string{completeRequest[:2], completeRequest[2:]}, reasonHeaderTimeout},
		{"slow after one line of headers", []string{completeRequest[:16], completeRequest[16:]}, reasonHeaderTimeout},
		{"slow body is not limited", []string{"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n", "bo", "dy"}, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			reasons := make(chan string, 1)
			_, s := startServer(t, func() Limits { return Limits{Header: shortTimeout, Idle: longTimeout} }, reasons, func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.Copy(io.Discard, r.Body); err != nil {
					t.Error(err)
				}
				serveOK(w, r)
			})
			c := dial(t, s)
			responses := bufio.NewReader(c)
			if err := sendRequest(c, responses); err != nil {
				t.Fatal(err)
			}
			for _, part := range tc.parts {
				_, _ = io.WriteString(c, part)
				time.Sleep(2 * shortTimeout)
			}
			err := readResponse(responses)
			if (err == nil) != (tc.wantReason == "") || receivedReason(reasons) != tc.wantReason {
				t.Errorf("got error %v, want the connection closed with reason %q", err, tc.wantReason)
			}
		})
	}
}
