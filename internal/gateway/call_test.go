package gateway

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/protocol"
)

// TestPlainCall covers how each kind of route ends when its upstreams answer in
// different ways. All upstreams of a case answer alike.
func TestPlainCall(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		serve  http.HandlerFunc
		status int
		runs   int
		back   bool
	}{
		{"an answer is passed on", pathSafe, serveOK, 200, 1, false},
		{"a failure is tried at a second upstream and then passed on", pathSafe, serveError, 500, 2, false},
		{"a failure is not repeated where that is not allowed", pathOnce, serveError, 500, 1, false},
		{"a broken answer is tried at a second upstream", pathSafe, serveBreak, 502, 2, false},
		{"a broken answer is never repeated where that is not allowed", pathOnce, serveBreak, 502, 1, false},
		{"what nobody ran may come back", pathSafe, serveNotRun, 503, 3, true},
		{"what nobody ran may come back, also where it may not be repeated", pathOnce, serveNotRun, 503, 3, true},
		{"a success without proof is not passed on", pathOnce, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") }, 502, 1, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var ups []*upstream
			for i := range 4 {
				ups = append(ups, f.add("app", "a"+strconv.Itoa(i), tc.serve))
			}
			got := f.ask(tc.path)
			runs := 0
			for _, u := range ups {
				runs += u.runs()
			}
			if got.err != nil || got.status != tc.status || runs != tc.runs {
				t.Errorf("status %d, %v, %d sends; want %d and %d", got.status, got.err, runs, tc.status, tc.runs)
			}
			if back := got.header.Get(testBack) != ""; back != tc.back {
				t.Errorf("told when to come back: %v, want %v", back, tc.back)
			}
		})
	}
}

func TestUnrunCallGoesToAnotherUpstream(t *testing.T) {
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
	// Only the first request that arrives anywhere is slow.
	first <- struct{}{}
	f.add("app", "a", serve)
	f.add("app", "b", serve)
	if got := f.ask(pathSafe); got.status != http.StatusOK {
		t.Fatalf("status %d, want 200", got.status)
	}
	if !f.noted(events.HedgeSent) {
		t.Error("no second upstream was asked")
	}
}

func TestTimeLimitIsAnsweredInTime(t *testing.T) {
	f := newFixture(t)
	cancelled := make(chan struct{})
	f.add("app", "a", func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(cancelled)
	})
	start := time.Now()
	got := f.ask(pathOnce, func(r *http.Request) { r.Header.Set(testDeadline, "150") })
	if got.status != http.StatusGatewayTimeout || time.Since(start) > time.Second {
		t.Errorf("status %d after %s, want 504 at the time limit", got.status, time.Since(start))
	}
	<-cancelled
}

func TestRemainingTimeIsPassedOn(t *testing.T) {
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

func TestCallerThatLeavesEndsTheWork(t *testing.T) {
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
	<-began
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Error("the upstream still works on a request whose caller left")
	}
}

func TestWhoMayAsk(t *testing.T) {
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
		{"a public route needs none", pathOpen, "", 0, hard, 200},
		{"no route", "/nowhere/", "key", 0, hard, 404},
		{"a known key that may have been revoked", pathSafe, "key", 2 * time.Minute, hard, 503},
		{"an unknown key that may be new", pathSafe, "other", 2 * time.Minute, hard, 503},
		{"a public route needs no fresh table", pathOpen, "", 2 * time.Minute, hard, 200},
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
			if tc.status == 503 && got.header.Get(testBack) == "" {
				t.Error("not told when to come back")
			}
		})
	}
}

// TestReadyWithoutConfirmedRoutes covers whether the balancer is told to send
// callers to an entry that did not hear of the store for a while.
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

// TestKeyRevokedDuringAnOutage: a key that the last table held is served while
// the store is away, and refused by the table that comes after it.
func TestKeyRevokedDuringAnOutage(t *testing.T) {
	f := newFixture(t)
	f.gateway.settings.HardKeyBound = false
	f.add("app", "a", serveOK)
	away := 2 * time.Minute
	f.gateway.now = func() time.Time { return time.Now().Add(away) }
	if got := f.ask(pathSafe); got.status != http.StatusOK {
		t.Fatalf("status %d while the store is away, want 200", got.status)
	}
	f.routes.Apply(platform.Snapshot{Records: []platform.Record{{Name: "routes", Value: []byte("2 revoked")}}}, false)
	f.routes.ConfirmCurrent(f.gateway.now())
	if got := f.ask(pathSafe); got.status != http.StatusUnauthorized {
		t.Errorf("status %d by the table that took the key away, want 401", got.status)
	}
}

func TestRoutesOnlyGoUp(t *testing.T) {
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
	f.routes.Confirm(5, before.Add(time.Hour))
	if _, confirmed := f.routes.Current(); confirmed.After(before) {
		t.Error("a confirmation of another version counted")
	}
}

func TestBodyBeyondTheLimit(t *testing.T) {
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

func TestHeadersBeyondTheOperatorsLimit(t *testing.T) {
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

// TestWhoIsBlamedForAFailure: an upstream that failed a call is blamed if another
// one served it, or if nobody else was asked; not if others failed it as well.
func TestWhoIsBlamedForAFailure(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		others http.HandlerFunc
		want   int
	}{
		{"another upstream served it", pathSafe, serveOK, 1},
		{"another upstream failed it too", pathSafe, serveError, 0},
		{"it may be sent once only", pathOnce, serveOK, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.add("app", "bad", serveError)
			other := f.add("app", "other", tc.others)
			// The other one looks busy, so the bad one is asked first.
			claim := f.gateway.ledger.take("other", gossip.Load{Running: 100})
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

// TestFailingUpstreamGetsNoCalls: what other entries met counts.
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

// A call whose answer and time limit were due at once, as in a process that did not get to
// run for a while, got the answer or a 504 by chance: a select takes any case that is
// ready.
func TestAnswerThatIsThereAtTheTimeLimit(t *testing.T) {
	f := newFixture(t)
	over := make(chan struct{})
	defer close(over)
	f.add("app", "app-1", func(http.ResponseWriter, *http.Request) { <-over })
	table, _ := f.routes.Current()
	route, ok := table.Match("host", pathOnce)
	if !ok {
		t.Fatal("no route")
	}
	service, _ := table.Service("app")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	for range 100 {
		rq := &request{run: newRun(), call: protocol.Call{ID: "r", Header: http.Header{}}, table: table, route: route, service: service, start: time.Now(), deadline: time.Now(), caller: t.Context()}
		c := &callRun{g: f.gateway, rq: rq, tried: map[string]bool{}, results: make(chan result, maxSends+1)}
		c.results <- result{status: http.StatusOK, verdict: protocol.Ran}
		if best, ok := c.run(ctx); !ok || !best.good() {
			t.Fatalf("got %d, %v", best.status, best.err)
		}
	}
}

// A call whose upstream failed of its own was tried again; the second upstream hung, and
// at the time limit the first one's answer was thrown away for a 504.
func TestUpstreamsFailureGoesBeforeTheTimeLimit(t *testing.T) {
	f := newFixture(t)
	over := make(chan struct{})
	defer close(over)
	failed := make(chan struct{}, 1)
	serve := func(w http.ResponseWriter, r *http.Request) {
		select {
		case failed <- struct{}{}:
			serveError(w, r)
		default:
			<-over
		}
	}
	f.add("app", "app-1", serve)
	f.add("app", "app-2", serve)
	if got := f.ask(pathSafe, func(r *http.Request) { r.Header.Set(testDeadline, "300") }); got.status != http.StatusInternalServerError {
		t.Errorf("got %d, %v", got.status, got.err)
	}
}
