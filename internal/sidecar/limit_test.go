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

// testLimitHeader is how the upstreams of these tests say what they take.
const testLimitHeader = "Takes"

// limitedService is a limited plain service behind a sidecar.
type limitedService struct {
	server *Server
	runs   atomic.Int64
	// rate is what it takes, in requests a second; empty for any number.
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
	cfg, err := config.Parse("t", []byte(oneService))
	if err != nil {
		t.Fatal(err)
	}
	active := config.NewActive(cfg, 1, true, time.UnixMilli(1))
	ls := lease.New(tableOf(&platform.Row{}), "u", "i", lease.Settings{Term: time.Hour}, time.Now)
	l.server = New(Settings{
		Upstream: "u", URL: service.URL, CallWindow: time.Hour, AnswerBytes: 1 << 20, CallTimeout: time.Minute, LimitHeader: testLimitHeader,
	}, membership.NewIdentity("s", membership.RoleSidecar, "a", "u", "i", time.Now()), ls, events.Nop(),
		NewMetrics(prometheus.NewRegistry()), func() *config.Active { return active }, time.Now)
	return l
}

// repeatable runs a call that may be repeated, and once one that may not.
func (l *limitedService) repeatable(t *testing.T) invokeResult {
	return l.server.runRepeatable(t.Context(), invokeParams{ID: "a/1", Pool: "p", Version: 1, Method: http.MethodGet, Path: "/", Repeatable: true})
}

func (l *limitedService) once(t *testing.T) invokeResult {
	id := callid.NewTicket("u", "i")
	return l.server.runOnce(t.Context(), invokeParams{ID: "a/" + id.String(), Pool: "p", Version: 1, Method: http.MethodPost, Path: "/"})
}

// A service said behind its sidecar how many requests a second it takes, and went on getting as
// many as came: 396 in a second, of 4 that it takes. What is beyond is refused unrun, entries
// are told until when, and all is as before once the limit is over.
func TestServiceGetsWhatItTakes(t *testing.T) {
	l := newLimitedService(t)
	l.rate.Store("4")
	l.repeatable(t)
	begun := time.Now()
	refused := 0
	for time.Since(begun) < time.Second {
		if r := l.repeatable(t); r.Outcome == NotRun {
			refused++
			if r.RetryAt == 0 || r.Load == nil || r.Load.OpensMS == 0 || r.Reason != takesNoMore {
				t.Fatalf("refused with %+v, want when it takes the next", r)
			}
		}
		time.Sleep(2 * time.Millisecond)
	}
	if runs := l.runs.Load(); runs < 3 || runs > 8 || refused == 0 {
		t.Errorf("%d runs and %d refused in a second, of 4 that it takes", runs, refused)
	}
	l.rate.Store("")
	time.Sleep(300 * time.Millisecond)
	if r := l.repeatable(t); r.Outcome != Done {
		t.Fatalf("a call is %s: %s", r.Outcome, r.Reason)
	}
	for range 20 {
		if r := l.repeatable(t); r.Outcome != Done {
			t.Fatalf("a call is %s after the limit was over: %s", r.Outcome, r.Reason)
		}
	}
	if l.server.Load().OpensMS != 0 {
		t.Error("entries are told of a limit that is over")
	}
}

// A call that may not be repeated waits a little for a permit: no other upstream may run it.
func TestCallWaitsForAPermit(t *testing.T) {
	l := newLimitedService(t)
	l.rate.Store("10")
	l.repeatable(t)
	for range 5 {
		if r := l.once(t); r.Outcome != Done {
			t.Fatalf("a call is %s: %s", r.Outcome, r.Reason)
		}
	}
	l.rate.Store("0.1")
	l.once(t)
	r := l.once(t)
	if r.Outcome != NotRun || r.RetryAt == 0 {
		t.Errorf("a call is %s, come back at %d; want it refused unrun", r.Outcome, r.RetryAt)
	}
}

// A later start of the upstream has no limit.
func TestLimitEndsWithItsStart(t *testing.T) {
	l := newLimitedService(t)
	s := l.server.takes
	s.heard(http.Header{testLimitHeader: {"0"}}, time.Now(), true)
	for s.set.Take(t.Context(), s.starts.current()) == nil {
	}
	s.starts.mu.Lock()
	s.starts.down = true
	s.starts.mu.Unlock()
	s.starts.answered()
	if _, ok := s.take(t.Context()); !ok {
		t.Error("the limit of an earlier start holds for a later one")
	}
}

func TestLimitHeaderOfASidecar(t *testing.T) {
	for _, tc := range []struct {
		name   string
		header string
		values []string
		whole  bool
		holds  bool
	}{
		{"named", testLimitHeader, []string{"3"}, true, true},
		{"named in a failure", testLimitHeader, []string{"3"}, false, true},
		{"not read", "", []string{"3"}, true, false},
		{"unreadable", testLimitHeader, []string{"many"}, true, false},
		{"none", testLimitHeader, nil, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTakes(tc.header, newStarts("http://127.0.0.1:1", "i"), events.Nop(), time.Now)
			s.heard(http.Header{testLimitHeader: tc.values}, time.Now(), tc.whole)
			if s.set.Any() != tc.holds {
				t.Errorf("a limit is in force: %v, want %v", s.set.Any(), tc.holds)
			}
		})
	}
}

// A generation beyond what the engine takes goes to another one.
func TestEngineGetsWhatItTakes(t *testing.T) {
	b := newEngineBench(t, 2, false)
	s := b.server.takes
	s.set.Named(s.starts.current(), 0.5)
	for s.set.Take(t.Context(), s.starts.current()) == nil {
	}
	for sub := range int64(3) {
		var r generateResult
		if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Sub: sub, Path: "/" + strconv.Itoa(int(sub)), Prompt: 10}, &r); err != nil {
			t.Fatal(err)
		}
		if r.Refused == nil || !r.Refused.Elsewhere || r.Refused.RetryAt == 0 || r.Load.OpensMS == 0 {
			t.Errorf("answered %+v, want it refused for another engine", r.Refused)
		}
	}
}

// What was queued while the engine took more is refused when its turn comes.
func TestQueuedGenerationNeedsAPermit(t *testing.T) {
	b := newEngineBench(t, 2, false)
	s := b.server.takes
	s.set.Named(s.starts.current(), 0.5)
	var r generateResult
	if err := b.conn.Call(t.Context(), methodGenerate, generateParams{Path: "/", Prompt: 10}, &r); err != nil || r.Refused == nil {
		t.Errorf("answered %+v, %v; want it refused without a permit", r, err)
	}
}
