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

// noticingService is a plain service behind a sidecar that answers with a given handler.
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

// replyUnavailable asks for a backoff of the given number of seconds.
func replyUnavailable(w http.ResponseWriter, seconds float64) {
	w.Header().Set("Retry-After", strconv.FormatFloat(seconds, 'f', 3, 64))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// A service behind a sidecar that asked for a backoff must get no calls until the backoff is over.
func TestServiceInBackoffGetsNoCalls(t *testing.T) {
	var refusedOnce atomic.Bool
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) {
		if !refusedOnce.Swap(true) {
			replyUnavailable(w, 2)
			return
		}
		_, _ = w.Write([]byte("ok"))
	})
	n.repeatable(t)
	askedAt := time.Now()
	for time.Since(askedAt) < 2*time.Second-maxPermitWait-200*time.Millisecond {
		for _, call := range []func(*testing.T) invokeResult{n.repeatable, n.nonRepeatable} {
			r := call(t)
			if r.Outcome != NotRun || r.RetryAt == 0 || r.Load == nil || r.Load.ClosedUntilMS == 0 {
				t.Fatalf("a call is %+v, want it refused without a run and with a retry time", r)
			}
			if back := time.UnixMilli(r.RetryAt).Sub(askedAt); back < 1900*time.Millisecond || back > 2100*time.Millisecond {
				t.Fatalf("retry after %s, want at the end of the backoff", back)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	if runs := n.runs.Load(); runs != 1 {
		t.Errorf("the service got %d calls during its backoff, want none", runs-1)
	}
	time.Sleep(time.Until(askedAt.Add(2100 * time.Millisecond)))
	if r := n.repeatable(t); r.Outcome != Done || n.server.Load().ClosedUntilMS != 0 {
		t.Errorf("a call is %s after the backoff: %s", r.Outcome, r.Reason)
	}
}

// A shorter backoff that is asked for later, or a Retry-After without status 503, must not change
// the end of a longer one.
func TestLatestBackoffOfAServiceHolds(t *testing.T) {
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) { replyUnavailable(w, 3) })
	n.repeatable(t)
	notices := n.server.limiter.notices
	long := notices.opensAt()
	notices.observeHeader(http.StatusServiceUnavailable, http.Header{"Retry-After": {"1"}})
	notices.observeHeader(http.StatusOK, http.Header{"Retry-After": {"9"}})
	notices.observeHeader(http.StatusOK, http.Header{})
	if got := notices.opensAt(); !got.Equal(long) {
		t.Errorf("the backoff ends %s later than asked for first", got.Sub(long))
	}
}

// The backoff that an incarnation of the upstream asked for must not hold for a later one.
func TestBackoffEndsWithItsIncarnation(t *testing.T) {
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) { replyUnavailable(w, 30) })
	n.repeatable(t)
	incarnations := n.server.incarnations
	incarnations.mu.Lock()
	incarnations.down = true
	incarnations.mu.Unlock()
	incarnations.markUp()
	if at := n.server.limiter.opensAt(); at.After(time.Now()) {
		t.Errorf("a later incarnation gets no calls for %s", time.Until(at))
	}
}

// testLeavingHeader is the header by which the upstreams of these tests announce that they are
// leaving.
const testLeavingHeader = "Leaves"

// A service behind a sidecar announces in an answer that it is leaving. It must get no more calls,
// since they would be lost when it ends.
func TestLeavingServiceGetsNoCalls(t *testing.T) {
	n := newNoticingService(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testLeavingHeader, "1")
		_, _ = w.Write([]byte("ok"))
	})
	n.server.limiter.notices.leavingHeader = testLeavingHeader
	if r := n.repeatable(t); r.Outcome != Done {
		t.Fatalf("the call with the leaving answer is %s: %s", r.Outcome, r.Reason)
	}
	for _, call := range []func(*testing.T) invokeResult{n.repeatable, n.nonRepeatable, n.repeatable} {
		if r := call(t); r.Outcome != NotRun || r.RetryAt == 0 {
			t.Errorf("a call is %+v, want it refused without a run and with a retry time", r)
		}
	}
	if runs := n.runs.Load(); runs != 1 {
		t.Errorf("the service got %d calls after its answer, want none", runs-1)
	}
	if n.server.Load().ClosedUntilMS == 0 {
		t.Error("entries are not told to send calls elsewhere")
	}
}

// When a leaving incarnation has ended and the next one is reachable, the next one must get calls,
// although no broken answer revealed the restart.
func TestLeavingStateEndsWithItsIncarnation(t *testing.T) {
	n := newNoticingService(t, func(http.ResponseWriter, *http.Request) {})
	notices := n.server.limiter.notices
	notices.leavingHeader = testLeavingHeader
	address, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	n.server.incarnations.dial = func(ctx context.Context) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp", address.Addr().String())
	}
	notices.observeHeader(http.StatusOK, http.Header{testLeavingHeader: {"1"}})
	if _, ok := n.server.limiter.takePermit(t.Context()); ok {
		t.Fatal("the leaving upstream gets calls")
	}
	_ = address.Close()
	time.Sleep(3 * leavingProbePeriod)
	if _, ok := n.server.limiter.takePermit(t.Context()); ok {
		t.Error("the upstream gets calls while it is down")
	}
	later, err := net.Listen("tcp", address.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = later.Close() }()
	for begun := time.Now(); ; time.Sleep(leavingProbePeriod) {
		if _, ok := n.server.limiter.takePermit(t.Context()); ok {
			return
		}
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the next incarnation gets no calls")
		}
	}
}
