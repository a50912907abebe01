package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/protocol"
)

// TestPlainCall covers how calls on each kind of route end if all upstreams answer alike.
func TestPlainCall(t *testing.T) {
	for _, tc := range []struct {
		name      string
		path      string
		serve     http.HandlerFunc
		status    int
		runs      int
		retryTime bool
	}{
		{"an answer is passed on", pathSafe, serveOK, 200, 1, false},
		{"an error is retried at a second upstream and then passed on", pathSafe, serveError, 500, 2, false},
		{"an error is not retried where the route forbids it", pathOnce, serveError, 500, 1, false},
		{"a broken answer is retried at a second upstream", pathSafe, serveBreak, 502, 2, false},
		{"a broken answer is not retried where the route forbids it", pathOnce, serveBreak, 502, 1, false},
		{"a call that no upstream ran is refused with a retry time", pathSafe, serveNotRun, 503, 3, true},
		{"a call that no upstream ran is refused with a retry time, also where the route forbids repeats", pathOnce, serveNotRun, 503, 3, true},
		{"a success without the proof header is not passed on", pathOnce, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 502, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var upstreams []*upstream
			for i := range 4 {
				upstreams = append(upstreams, f.add("app", "a"+strconv.Itoa(i), tc.serve))
			}
			got := f.ask(tc.path)
			runs := 0
			for _, u := range upstreams {
				runs += u.runs()
			}
			if got.err != nil || got.status != tc.status || runs != tc.runs {
				t.Errorf("status %d, %v, %d sends; want %d and %d", got.status, got.err, runs, tc.status, tc.runs)
			}
			if retryTime := got.header.Get(testRetryMs) != ""; retryTime != tc.retryTime {
				t.Errorf("retry time sent: %v, want %v", retryTime, tc.retryTime)
			}
		})
	}
}

func TestCallThatWasNotRunIsSentToAnotherUpstream(t *testing.T) {
	f := newFixture(t)
	f.add("app", "full", serveNotRun)
	good := f.add("app", "good", serveOK)
	for range 8 {
		if got := f.ask(pathOnce); got.status != http.StatusOK {
			t.Fatalf("status %d, want 200", got.status)
		}
	}
	if good.runs() != 8 {
		t.Errorf("%d runs, want 8", good.runs())
	}
}

func TestSlowCallIsHedged(t *testing.T) {
	f := newFixture(t)
	release := make(chan struct{})
	defer close(release)
	first := make(chan struct{}, 2)
	serve := func(w http.ResponseWriter, r *http.Request) {
		select {
		case first <- struct{}{}:
			select {
			case <-release:
			case <-r.Context().Done():
			}
		default:
		}
		serveOK(w, r)
	}
	// Only the first request to reach either upstream is slow.
	first <- struct{}{}
	f.add("app", "a", serve)
	f.add("app", "b", serve)
	if got := f.ask(pathSafe); got.status != http.StatusOK {
		t.Fatalf("status %d, want 200", got.status)
	}
	if !f.recorded(events.HedgeSent) {
		t.Error("no hedge was sent")
	}
}

func TestExceededDeadlineReturns504InTime(t *testing.T) {
	f := newFixture(t)
	cancelled := make(chan struct{})
	f.add("app", "a", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	start := time.Now()
	got := f.ask(pathOnce, func(r *http.Request) { r.Header.Set(testDeadline, "150") })
	if got.status != http.StatusGatewayTimeout || time.Since(start) > time.Second {
		t.Errorf("status %d after %s, want 504 at the deadline", got.status, time.Since(start))
	}
	f.waitSignal("the request is cancelled at the upstream", cancelled)
}

func TestRemainingTimeIsForwarded(t *testing.T) {
	f := newFixture(t)
	u := f.add("app", "a", serveOK)
	f.ask(pathSafe, func(r *http.Request) { r.Header.Set(testDeadline, "700") })
	f.ask(pathSafe, func(r *http.Request) { r.Header.Set(testDeadline, "60000") })
	for i, most := range []int{700, int(testTimeout.Milliseconds())} {
		ms, err := strconv.Atoi(u.header(i).Get(testDeadline))
		if err != nil || ms > most || ms < most-300 {
			t.Errorf("request %d may take %d ms, %v; want about %d", i, ms, err, most)
		}
	}
}

func TestCallerDisconnectCancelsUpstreamRequest(t *testing.T) {
	f := newFixture(t)
	began, ended := make(chan struct{}), make(chan struct{})
	f.add("app", "a", func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.server.URL+pathOnce, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(testID, "r")
	r.Header.Set(testKey, "key")
	go func() {
		resp, err := f.server.Client().Do(r)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	f.waitSignal("the request has reached the upstream", began)
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the upstream still works on a request whose caller disconnected")
	}
}

func TestKeyCheckByAgeOfRouteTable(t *testing.T) {
	const hard, soft = true, false
	for _, tc := range []struct {
		name   string
		path   string
		key    string
		age    time.Duration
		bound  bool
		status int
	}{
		{"a known key", pathSafe, "key", 0, hard, 200},
		{"an unknown key", pathSafe, "other", 0, hard, 401},
		{"no key", pathSafe, "", 0, hard, 401},
		{"a public route without a key", pathOpen, "", 0, hard, 200},
		{"no route", "/nowhere/", "key", 0, hard, 404},
		{"a known key that may have been revoked", pathSafe, "key", 2 * time.Minute, hard, 503},
		{"an unknown key that may be new", pathSafe, "other", 2 * time.Minute, hard, 503},
		{"a public route with an old table", pathOpen, "", 2 * time.Minute, hard, 200},
		{"a route that may be new", "/nowhere/", "key", 2 * time.Minute, hard, 503},

		{"an unknown key, soft bound", pathSafe, "other", 0, soft, 401},
		{"a known key that may have been revoked, soft bound", pathSafe, "key", 2 * time.Minute, soft, 200},
		{"a known key after an hour without the store, soft bound", pathSafe, "key", time.Hour, soft, 200},
		{"an unknown key that may be new, soft bound", pathSafe, "other", 2 * time.Minute, soft, 503},
		{"no key, soft bound", pathSafe, "", 2 * time.Minute, soft, 503},
		{"a route that may be new, soft bound", "/nowhere/", "key", 2 * time.Minute, soft, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.settings.HardKeyBound = tc.bound
			f.add("app", "a", serveOK)
			f.gateway.now = func() time.Time { return time.Now().Add(tc.age) }
			got := f.ask(tc.path, func(r *http.Request) { r.Header.Set(testKey, tc.key) })
			if got.status != tc.status {
				t.Errorf("status %d, want %d", got.status, tc.status)
			}
			if tc.status == 503 && got.header.Get(testRetryMs) == "" {
				t.Error("no retry time sent")
			}
		})
	}
}

// TestReadyWithoutConfirmedRoutes covers the readiness of an entry that has not been able to
// confirm its route table for a while.
func TestReadyWithoutConfirmedRoutes(t *testing.T) {
	for _, tc := range []struct {
		name   string
		age    time.Duration
		hard   bool
		status int
	}{
		{"confirmed", 0, true, 200},
		{"unconfirmed, hard bound", 2 * time.Minute, true, 503},
		{"unconfirmed, soft bound", 2 * time.Minute, false, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.settings.HardKeyBound = tc.hard
			f.gateway.now = func() time.Time { return time.Now().Add(tc.age) }
			w := httptest.NewRecorder()
			f.gateway.Ready(w, nil)
			if w.Code != tc.status {
				t.Errorf("status %d, want %d", w.Code, tc.status)
			}
		})
	}
}

// TestKeyRevokedDuringAnOutage: a key in the last known table is accepted while the store is
// unavailable, and refused once a newer table without it is loaded.
func TestKeyRevokedDuringAnOutage(t *testing.T) {
	f := newFixture(t)
	f.gateway.settings.HardKeyBound = false
	f.add("app", "a", serveOK)
	outage := 2 * time.Minute
	f.gateway.now = func() time.Time { return time.Now().Add(outage) }
	if got := f.ask(pathSafe); got.status != http.StatusOK {
		t.Fatalf("status %d while the store is unavailable, want 200", got.status)
	}
	f.routes.Apply(platform.Snapshot{Records: []platform.Record{{Name: "routes", Value: []byte("2 revoked")}}}, false)
	f.routes.ConfirmCurrent(f.gateway.now(), belief.Evidence{})
	if got := f.ask(pathSafe); got.status != http.StatusUnauthorized {
		t.Errorf("status %d with the table that lacks the key, want 401", got.status)
	}
}

func TestRouteTableVersionNeverDecreases(t *testing.T) {
	f := newFixture(t)
	apply := func(v string) {
		f.routes.Apply(platform.Snapshot{Records: []platform.Record{{Name: "routes", Value: []byte(v)}}}, false)
	}
	apply("7")
	apply("5")
	table, _ := f.routes.Current()
	if table.Version() != 7 {
		t.Errorf("version %d in force, want 7", table.Version())
	}
	before := time.Now()
	f.routes.Confirm(5, before.Add(time.Hour), "e2")
	if _, confirmed := f.routes.Current(); confirmed.After(before) {
		t.Error("a confirmation of another version was accepted")
	}
}

func TestBodyAboveLimitIsRefused(t *testing.T) {
	f := newFixture(t)
	u := f.add("app", "a", serveOK)
	got := f.ask(pathSafe, func(r *http.Request) {
		r.Body = io.NopCloser(&zeros{n: 2000})
		r.ContentLength = 2000
	})
	if got.status != http.StatusRequestEntityTooLarge || u.runs() != 0 {
		t.Errorf("status %d, %d sends; want 413 and none", got.status, u.runs())
	}
}

type zeros struct{ n int }

func (z *zeros) Read(b []byte) (int, error) {
	if z.n == 0 {
		return 0, io.EOF
	}
	n := min(len(b), z.n)
	clear(b[:n])
	z.n -= n
	return n, nil
}

func TestHeadersAboveConfiguredLimitAreRefused(t *testing.T) {
	f := newFixture(t)
	u := f.add("app", "u", serveOK)
	long := func(r *http.Request) { r.Header.Set("X-Long", strings.Repeat("x", testHeaderBytes)) }
	if a := f.ask(pathSafe, long); a.status != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d, want 431", a.status)
	}
	if u.runs() != 0 {
		t.Error("the request reached an upstream")
	}
	if a := f.ask(pathSafe); a.status != http.StatusOK {
		t.Errorf("status %d for usual headers", a.status)
	}
}

// TestFailureIsAttributedToUpstream: a failed call counts against its upstream if another
// upstream served the call or no other one was tried, but not if others failed it too.
func TestFailureIsAttributedToUpstream(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		others http.HandlerFunc
		want   int
	}{
		{"another upstream served it", pathSafe, serveOK, 1},
		{"another upstream failed it too", pathSafe, serveError, 0},
		{"the call may be sent only once", pathOnce, serveOK, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.add("app", "bad", serveError)
			other := f.add("app", "other", tc.others)
			// The other upstream has a high load, so the bad one is tried first.
			claim := f.gateway.loads.add("other", gossip.Load{Running: 100})
			defer claim.release()
			f.ask(tc.path)
			if tc.path == pathSafe && other.runs() != 1 {
				t.Fatalf("%d sends to the other upstream, want 1", other.runs())
			}
			if got := f.fleet.Failures()["bad"]; got != tc.want {
				t.Errorf("%d failures noted, want %d", got, tc.want)
			}
		})
	}
}

// TestFailingUpstreamGetsNoCalls: failures that other entries report count as well.
func TestFailingUpstreamGetsNoCalls(t *testing.T) {
	f := newFixture(t)
	bad := f.add("app", "bad", serveError)
	f.add("app", "good", serveOK)
	f.fleet.PeerFailures("b", map[string]int{"bad": 10})
	for range 8 {
		if got := f.ask(pathOnce); got.status != http.StatusOK {
			t.Fatalf("status %d, want 200", got.status)
		}
	}
	if bad.runs() != 0 {
		t.Errorf("%d calls to an upstream that fails others' requests", bad.runs())
	}
}

// TestAnswerReadyAtDeadlineIsDelivered guards against a 504 for a call whose answer and deadline
// become due together, as in a process that got no CPU time for a while. A select takes any ready
// case, so the answer was lost at random.
func TestAnswerReadyAtDeadlineIsDelivered(t *testing.T) {
	f := newFixture(t)
	unblock := make(chan struct{})
	defer close(unblock)
	f.add("app", "app-1", func(http.ResponseWriter, *http.Request) { f.holdUntil(unblock) })
	table, _ := f.routes.Current()
	route, ok := table.Match("host", pathOnce)
	if !ok {
		t.Fatal("no route")
	}
	service, _ := table.Service("app")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		rq := &request{run: newQuarantineRun(), call: protocol.Call{ID: "r", Header: http.Header{}}, table: table, route: route, service: service, start: time.Now(), deadline: time.Now(), caller: t.Context()}
		c := &callRun{g: f.gateway, rq: rq, tried: map[string]bool{}, results: make(chan result, maxSends+1)}
		c.results <- result{status: http.StatusOK, verdict: protocol.Ran}
		if best, ok := c.run(ctx); !ok || !best.final() {
			t.Fatalf("got %d, %v", best.status, best.err)
		}
	}
}

// maxHeldAfterTimeout is how long after its deadline a call must have been answered.
const maxHeldAfterTimeout = 500 * time.Millisecond

// TestCallWaitsAtDeadlineForReadAnswers guards against a 504 for a call whose answer the link still
// reads: the link gives a reader that gets no CPU time 100 ms before it closes the connection, and
// the call gave up earlier.
func TestCallWaitsAtDeadlineForReadAnswers(t *testing.T) {
	for _, tc := range []struct {
		delay time.Duration
		final bool
	}{{100 * time.Millisecond, true}, {time.Second, false}} {
		t.Run(tc.delay.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				cancel()
				c := &callRun{rq: &request{}, running: 1, results: make(chan result, 1)}
				time.AfterFunc(tc.delay, func() { c.results <- result{status: http.StatusOK, verdict: protocol.Ran} })
				start := time.Now()
				got := c.answerAtDeadline(ctx, result{})
				if got.final() != tc.final {
					t.Errorf("status %d, %v; want an answer: %v", got.status, got.err, tc.final)
				}
				if took := time.Since(start); took >= maxHeldAfterTimeout {
					t.Errorf("took %s, want less than %s", took, maxHeldAfterTimeout)
				}
			})
		})
	}
}

// TestUpstreamErrorIsPreferredToTimeout guards against a 504 that replaces an upstream's error:
// the call is retried after the error, and the second upstream hangs until the deadline.
func TestUpstreamErrorIsPreferredToTimeout(t *testing.T) {
	f := newFixture(t)
	unblock := make(chan struct{})
	defer close(unblock)
	failed := make(chan struct{}, 1)
	serve := func(w http.ResponseWriter, r *http.Request) {
		select {
		case failed <- struct{}{}:
			serveError(w, r)
		default:
			f.holdUntil(unblock)
		}
	}
	f.add("app", "app-1", serve)
	f.add("app", "app-2", serve)
	if got := f.ask(pathSafe, func(r *http.Request) { r.Header.Set(testDeadline, "300") }); got.status != http.StatusInternalServerError {
		t.Errorf("got %d, %v", got.status, got.err)
	}
}

// A request was sent again after a failure that left no line in the log.
func TestFailedAttemptLeavesALine(t *testing.T) {
	for _, tc := range []struct {
		name string
		fail http.HandlerFunc
		want events.ID
	}{
		{"the connection is closed", serveBreak, events.AnswerRejected},
		{"refused", serveNotRun, events.AttemptRefused},
		{"refused by another upstream", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, events.AttemptRefused},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.add("app", "a", tc.fail)
			f.ask(pathSafe)
			if !f.recorded(tc.want) {
				t.Errorf("event %d is not recorded", tc.want)
			}
		})
	}
}
