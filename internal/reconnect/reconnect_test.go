package reconnect

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/standin"
)

// server answers requests after the time that the path /hold asks for, and counts them.
type server struct {
	url   string
	proxy *standin.TCPProxy
	calls atomic.Int64
	// delay is added to every answer.
	delay atomic.Int64
}

func newServer(t *testing.T) *server {
	t.Helper()
	s := &server{}
	h := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.calls.Add(1)
		hold, _ := time.ParseDuration(r.URL.Query().Get("hold"))
		select {
		case <-time.After(hold + time.Duration(s.delay.Load())):
		case <-r.Context().Done():
		}
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(h.CloseClientConnections)
	proxy, err := standin.NewTCPProxy("127.0.0.1:0", strings.TrimPrefix(h.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	s.proxy, s.url = proxy, "http://"+proxy.Addr()
	return s
}

func (s *server) client() *Client {
	return New(Settings{OverdueMin: overdue, OverdueMax: 4 * overdue, MaxBody: 1 << 20}, func() *http.Transport { return &http.Transport{MaxIdleConnsPerHost: 3} }, events.Nop(), time.Now)
}

func (s *server) held(hold time.Duration) Request {
	return Request{Method: http.MethodGet, URL: s.url + "/?hold=" + hold.String(), Held: hold, Repeatable: true}
}

const (
	overdue = 100 * time.Millisecond
	// limit is the time limit of calls in tests; calls that wait for it have failed.
	limit = 20 * time.Second
)

// call sends a request and returns the time that the answer took.
func call(t *testing.T, c *Client, req Request) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	began := time.Now()
	a, err := c.Do(ctx, req)
	if err != nil || string(a.Body) != "answer" {
		t.Errorf("%q, %v; want the answer", a.Body, err)
	}
	return time.Since(began)
}

// TestCallWaitsOnSilentConnection guards against calls that wait for their time limit on connections that have
// fallen silent, in the middle of a call or while idle, one after the other.
func TestCallWaitsOnSilentConnection(t *testing.T) {
	s := newServer(t)
	c := s.client()
	for range 3 {
		// Three calls at once leave three idle connections.
		var calls sync.WaitGroup
		for range 3 {
			calls.Go(func() { call(t, c, s.held(50*time.Millisecond)) })
		}
		calls.Wait()
		time.AfterFunc(20*time.Millisecond, s.proxy.Silence)
		if took := call(t, c, s.held(50*time.Millisecond)); took > limit/4 {
			t.Errorf("a call whose connection fell silent took %s", took)
		}
		if took := call(t, c, s.held(0)); took > limit/4 {
			t.Errorf("the call after it took %s", took)
		}
	}
}

// TestOtherCallsWaitForTheirOwnTime guards against calls that wait on, though another one has shown that the
// connections of their age are silent.
func TestOtherCallsWaitForTheirOwnTime(t *testing.T) {
	s := newServer(t)
	c := s.client()
	var calls sync.WaitGroup
	// Two calls at once leave a connection for each of the calls below.
	for range 2 {
		calls.Go(func() { call(t, c, s.held(50*time.Millisecond)) })
	}
	calls.Wait()
	took := make(chan time.Duration, 1)
	calls.Go(func() {
		req := s.held(limit / 2)
		// The repeated request is answered at once.
		req.URL = s.url
		took <- call(t, c, req)
	})
	s.delay.Store(int64(time.Hour))
	for s.calls.Load() < 3 {
		time.Sleep(time.Millisecond)
	}
	s.proxy.Silence()
	s.delay.Store(0)
	call(t, c, s.held(50*time.Millisecond))
	calls.Wait()
	if d := <-took; d > limit/4 {
		t.Errorf("a call on a silent connection took %s", d)
	}
}

// TestSlowServerGetsMoreCalls guards against calls that are repeated again and again because the server is
// slow.
func TestSlowServerGetsMoreCalls(t *testing.T) {
	s := newServer(t)
	c := s.client()
	call(t, c, s.held(0))
	s.delay.Store(int64(overdue + overdue/2))
	call(t, c, s.held(10*time.Millisecond))
	before := s.calls.Load()
	const calls = 5
	for range calls {
		call(t, c, s.held(10*time.Millisecond))
	}
	if n := s.calls.Load() - before; n > calls+1 {
		t.Errorf("%d requests for %d calls to a slow server", n, calls)
	}
}

// TestWriteIsRepeated guards against a write that is sent twice. The next one uses a new connection.
func TestWriteIsRepeated(t *testing.T) {
	s := newServer(t)
	c := s.client()
	call(t, c, s.held(0))
	s.proxy.Silence()
	write := Request{Method: http.MethodPost, URL: s.url, Body: []byte("row")}
	ctx, cancel := context.WithTimeout(t.Context(), 3*overdue)
	defer cancel()
	if _, err := c.Do(ctx, write); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("error %v, want that of a spent deadline", err)
	}
	if n := s.calls.Load(); n != 1 {
		t.Errorf("%d requests, want the write sent once, on the silent connection", n)
	}
	if took := call(t, c, write); took > limit/4 {
		t.Errorf("the next write took %s", took)
	}
}

// TestSilentServerGetsMoreCalls guards against requests that are repeated on connections that were just opened.
func TestSilentServerGetsMoreCalls(t *testing.T) {
	s := newServer(t)
	s.delay.Store(int64(time.Hour))
	c := s.client()
	ctx, cancel := context.WithTimeout(t.Context(), 3*overdue)
	defer cancel()
	if _, err := c.Do(ctx, s.held(0)); err == nil {
		t.Error("an answer of a silent server")
	}
	if n := s.calls.Load(); n != 1 {
		t.Errorf("%d requests, want 1", n)
	}
}

// TestReplacedConnectionsStayOpen guards against connections that nobody uses any more, because their answer
// came after they were replaced.
func TestReplacedConnectionsStayOpen(t *testing.T) {
	s := newServer(t)
	var open atomic.Int64
	c := New(Settings{OverdueMin: overdue, OverdueMax: overdue, MaxBody: 1 << 20}, func() *http.Transport {
		d := &net.Dialer{}
		return &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			open.Add(1)
			return &countedConn{Conn: conn, open: &open}, nil
		}}
	}, events.Nop(), time.Now)
	for range 4 {
		s.delay.Store(0)
		call(t, c, s.held(0))
		s.delay.Store(int64(overdue + overdue/2))
		call(t, c, s.held(0))
	}
	for end := time.Now().Add(limit / 2); open.Load() > 2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d connections are open, want the one in use and one being replaced at most", open.Load())
		}
	}
}

// countedConn counts down open once it is closed.
type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
