package sidecar

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

// noticingService is a plain service that answers by serve behind a sidecar.
type noticingService struct {
	*limitedService
	runs atomic.Int64
}

func newNoticingService(t *testing.T, serve http.HandlerFunc) *noticingService {
	t.Helper()
	n := &noticingService{limitedService: newLimitedService(t)}
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.runs.Add(1)
		serve(w, r)
	}))
	t.Cleanup(service.Close)
	n.server.service.base = service.URL
	return n
}

// turnAway asks for a time of rest, in seconds.
func turnAway(w http.ResponseWriter, seconds float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A service behind a sidecar that asked for a time of rest got all calls as before.
func TestServiceThatAskedForRestGetsNoCalls(t *testing.T) {
	var turned atomic.Bool
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) {
		if !turned.Swap(true) {
			turnAway(w, 2)
			return
		}
		_, _ = w.Write([]byte("ok"))
	})
	n.repeatable(t)
	asked := time.Now()
	for time.Since(asked) < 2*time.Second-permitWithin-200*time.Millisecond {
		for _, call := range []func(*testing.T) invokeResult{n.repeatable, n.once} {
			r := call(t)
			if r.Outcome != NotRun || r.RetryAt == 0 || r.Load == nil || r.Load.OpensMS == 0 {
				t.Fatalf("a call is %+v, want it refused unrun with the end of the rest", r)
			}
			if back := time.UnixMilli(r.RetryAt).Sub(asked); back < 1900*time.Millisecond || back > 2100*time.Millisecond {
				t.Fatalf("come back after %s, want at the end of the rest", back)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if runs := n.runs.Load(); runs != 1 {
		t.Errorf("it got %d calls while it rested, want none", runs-1)
	}
	time.Sleep(time.Until(asked.Add(2100 * time.Millisecond)))
	if r := n.repeatable(t); r.Outcome != Done || n.server.Load().OpensMS != 0 {
		t.Errorf("a call is %s after the rest: %s", r.Outcome, r.Reason)
	}
}

func TestLatestRestOfAServiceHolds(t *testing.T) {
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) { turnAway(w, 3) })
	n.repeatable(t)
	notices := n.server.takes.notices
	long := notices.opensAt()
	notices.heard(http.StatusServiceUnavailable, http.Header{"Retry-After": {"1"}})
	notices.heard(http.StatusOK, http.Header{"Retry-After": {"9"}})
	notices.heard(http.StatusOK, http.Header{})
	if got := notices.opensAt(); !got.Equal(long) {
		t.Errorf("the rest ends %s later than asked for first", got.Sub(long))
	}
}

// A later start of the upstream did not ask for the rest.
func TestRestOfAServiceEndsWithItsStart(t *testing.T) {
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) { turnAway(w, 30) })
	n.repeatable(t)
	s := n.server.starts
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	s.answered()
	if at := n.server.takes.opensAt(); at.After(time.Now()) {
		t.Errorf("a later start gets no calls for %s", time.Until(at))
	}
}

// testLeavingHeader is how the upstreams of these tests say that they leave.
const testLeavingHeader = "Leaves"

// A service behind a sidecar that said in an answer that it leaves got all calls as before, and was
// lost with them.
func TestServiceThatSaidItLeavesGetsNoCalls(t *testing.T) {
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testLeavingHeader, "1")
		_, _ = w.Write([]byte("ok"))
	})
	n.server.takes.notices.leavingHeader = testLeavingHeader
	if r := n.repeatable(t); r.Outcome != Done {
		t.Fatalf("the answer that says so is %s: %s", r.Outcome, r.Reason)
	}
	for _, call := range []func(*testing.T) invokeResult{n.repeatable, n.once, n.repeatable} {
		if r := call(t); r.Outcome != NotRun || r.RetryAt == 0 {
			t.Errorf("a call is %+v, want it refused unrun with a time to come back", r)
		}
	}
	if runs := n.runs.Load(); runs != 1 {
		t.Errorf("it got %d calls after its answer, want none", runs-1)
	}
	if n.server.Load().OpensMS == 0 {
		t.Error("entries are not told to send calls elsewhere")
	}
}

// Once the start that leaves has ended, and the next one is there, that one gets calls, although no
// answer broke off.
func TestLeaveOfAServiceEndsWithItsStart(t *testing.T) {
	n := newNoticingService(t, func(http.ResponseWriter, *http.Request) {})
	notices := n.server.takes.notices
	notices.leavingHeader = testLeavingHeader
	address, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.server.starts.dial = func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address.Addr().String())
	}
	notices.heard(http.StatusOK, http.Header{testLeavingHeader: {"1"}})
	if _, ok := n.server.takes.take(t.Context()); ok {
		t.Fatal("it gets calls")
	}
	_ = address.Close()
	time.Sleep(3 * leavesLook)
	if _, ok := n.server.takes.take(t.Context()); ok {
		t.Error("it gets calls while it is down")
	}
	later, err := net.Listen("tcp", address.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = later.Close() }()
	for begun := time.Now(); ; time.Sleep(leavesLook) {
		if _, ok := n.server.takes.take(t.Context()); ok {
			return
		}
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the next start gets no calls")
		}
	}
}
