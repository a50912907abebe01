package sidecar

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/callid"
	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/lease"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/platform"
)

// testLimitHeader is the header by which the upstreams of these tests announce their rate limit.
const testLimitHeader = "Takes"

// limitedService is a plain service with a rate limit behind a sidecar.
type limitedService struct {
	server *Server
	runs   atomic.Int64
	// rate is the announced limit in requests a second; empty for no limit.
	rate atomic.Value
}

func newLimitedService(t *testing.T) *limitedService {
	t.Helper()
	l := &limitedService{}
	l.rate.Store("")
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		l.runs.Add(1)
		if rate := l.rate.Load().(string); rate != "" {
			w.Header().Set(testLimitHeader, rate)
		}
		_, _ = w.Write([]byte("ok"))
	}))
	t.Cleanup(service.Close)
	cfg, err := config.Parse("t", []byte(oneServiceConfig))
	if err != nil {
		t.Fatal(err)
	}
	active := config.NewActive(cfg, 1, true, time.UnixMilli(1))
	ls := lease.New(oneRowTable(&platform.Row{}), "u", "i", lease.Settings{Term: time.Hour}, time.Now)
	l.server = New(Settings{
		Upstream: "u", URL: service.URL, CallWindow: time.Hour, AnswerBytes: 1 << 20, CallTimeout: time.Minute, LimitHeader: testLimitHeader,
	}, membership.NewIdentity("s", membership.RoleSidecar, "a", "u", "i", time.Now()), ls, events.Nop(),
		NewMetrics(prometheus.NewRegistry()), func() *config.Active { return active }, time.Now)
	return l
}

// repeatable runs a call that may be repeated.
func (l *limitedService) repeatable(t *testing.T) invokeResult {
	return l.server.runRepeatable(t.Context(), invokeParams{ID: "a/1", Pool: "p", Version: 1, Method: http.MethodGet, Path: "/", Repeatable: true})
}

// nonRepeatable runs a call that may not be repeated.
func (l *limitedService) nonRepeatable(t *testing.T) invokeResult {
	id := callid.NewTicket("u", "i")
	return l.server.runOnce(t.Context(), invokeParams{ID: "a/" + id.String(), Pool: "p", Version: 1, Method: http.MethodPost, Path: "/"})
}

// A service that announces a rate limit to its sidecar must not get all calls that arrive: 396 in a
// second were seen with a limit of 4. Calls over the limit are refused without being run, entries
// are told when to retry, and calls run as before once the limit is lifted.
func TestServiceGetsNoMoreCallsThanItsRateLimit(t *testing.T) {
	l := newLimitedService(t)
	l.rate.Store("4")
	l.repeatable(t)
	begun := time.Now()
	refused := 0
	for time.Since(begun) < time.Second {
		if r := l.repeatable(t); r.Outcome == NotRun {
			refused++
			if r.RetryAt == 0 || r.Load == nil || r.Load.ClosedUntilMS == 0 || r.Reason != reasonRateLimited {
				t.Fatalf("refused with %+v, want a reason and a retry time", r)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	if runs := l.runs.Load(); runs < 3 || runs > 8 || refused == 0 {
		t.Errorf("%d runs and %d refused in a second with a limit of 4", runs, refused)
	}
	l.rate.Store("")
	time.Sleep(300 * time.Millisecond)
	if r := l.repeatable(t); r.Outcome != Done {
		t.Fatalf("a call is %s: %s", r.Outcome, r.Reason)
	}
	for range 20 {
		if r := l.repeatable(t); r.Outcome != Done {
			t.Fatalf("a call is %s after the limit was lifted: %s", r.Outcome, r.Reason)
		}
	}
	if l.server.Load().ClosedUntilMS != 0 {
		t.Error("entries are told of a limit that was lifted")
	}
}

// A call that may not be repeated waits a short time for a permit, since no other upstream may run
// it.
func TestCallWaitsForAPermit(t *testing.T) {
	l := newLimitedService(t)
	l.rate.Store("10")
	l.repeatable(t)
	for range 5 {
		if r := l.nonRepeatable(t); r.Outcome != Done {
			t.Fatalf("a call is %s: %s", r.Outcome, r.Reason)
		}
	}
	l.rate.Store("0.1")
	l.nonRepeatable(t)
	r := l.nonRepeatable(t)
	if r.Outcome != NotRun || r.RetryAt == 0 {
		t.Errorf("a call is %s with retry time %d; want it refused without a run", r.Outcome, r.RetryAt)
	}
}

// The rate limit of an incarnation of the upstream must not hold for a later one.
func TestRateLimitEndsWithItsIncarnation(t *testing.T) {
	l := newLimitedService(t)
	limiter := l.server.limiter
	limiter.observeAnswer(http.Header{testLimitHeader: {"0"}}, time.Now(), true)
	for limiter.set.Take(t.Context(), limiter.incarnations.current()) == nil {
	}
	limiter.incarnations.mu.Lock()
	limiter.incarnations.down = true
	limiter.incarnations.mu.Unlock()
	limiter.incarnations.markUp()
	if _, ok := limiter.takePermit(t.Context()); !ok {
		t.Error("the limit of an earlier incarnation holds for a later one")
	}
}

func TestLimitHeaderSetsARateLimit(t *testing.T) {
	for _, tc := range []struct {
		name   string
		header string
		values []string
		ok     bool
		holds  bool
	}{
		{"named", testLimitHeader, []string{"3"}, true, true},
		{"limit in a failed answer", testLimitHeader, []string{"3"}, false, true},
		{"no header configured", "", []string{"3"}, true, false},
		{"malformed limit", testLimitHeader, []string{"many"}, true, false},
		{"none", testLimitHeader, nil, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limiter := newUpstreamLimiter(tc.header, newUpstreamIncarnations("http://127.0.0.1:1", "i"), events.Nop(), time.Now)
			limiter.observeAnswer(http.Header{testLimitHeader: tc.values}, time.Now(), tc.ok)
			if limiter.set.Any() != tc.holds {
				t.Errorf("a limit is in force: %v, want %v", limiter.set.Any(), tc.holds)
			}
		})
	}
}

// A generation over the engine's rate limit is refused, so that the entry sends it to another
// engine.
func TestGenerationOverTheRateLimitIsRefused(t *testing.T) {
	b := newEngineFixture(t, 2, false)
	limiter := b.server.limiter
	limiter.set.NoteLimit(limiter.incarnations.current(), 0.5)
	for limiter.set.Take(t.Context(), limiter.incarnations.current()) == nil {
	}
	for sub := range int64(3) {
		var r generateResult
		if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Sub: sub, Path: "/" + strconv.Itoa(int(sub)), Prompt: 10}, &r); err != nil {
			t.Fatal(err)
		}
		if r.Refused == nil || !r.Refused.Elsewhere || r.Refused.RetryAt == 0 || r.Load.ClosedUntilMS == 0 {
			t.Errorf("answered %+v, want it refused for another engine", r.Refused)
		}
	}
}

// A generation that was queued before the engine reached its rate limit is refused when its turn
// comes.
func TestQueuedGenerationNeedsAPermit(t *testing.T) {
	b := newEngineFixture(t, 2, false)
	limiter := b.server.limiter
	limiter.set.NoteLimit(limiter.incarnations.current(), 0.5)
	var r generateResult
	if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Path: "/", Prompt: 10}, &r); err != nil || r.Refused == nil {
		t.Errorf("answered %+v, %v; want it refused without a permit", r, err)
	}
}
