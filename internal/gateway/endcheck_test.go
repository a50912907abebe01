package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/routetable"
)

// serveCut answers with a status, headers and a part of a body that testProof and testID mark as the upstream's own,
// and closes the connection after beforeClose.
func serveCut(w http.ResponseWriter, r *http.Request, before, headers, body string, beforeClose func()) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\n%s\r\n%s", before, testID, r.Header.Get(testID), testProof, headers, body)
	beforeClose()
}

// TestCutAnswerIsTakenForAWholeOne guards against a success with a part of the body, or none of it, that looks whole
// because an upstream's crash ends its connection as the end of an answer does.
func TestCutAnswerIsTakenForAWholeOne(t *testing.T) {
	names := func(name string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(testOwnID, name) }
	}
	refuses := func(name string, times int64) http.HandlerFunc {
		var n atomic.Int64
		return func(w http.ResponseWriter, _ *http.Request) {
			if n.Add(1) > times {
				w.Header().Set(testOwnID, name)
			}
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}
	breaks := func(name string, times int64) http.HandlerFunc {
		var n atomic.Int64
		return func(w http.ResponseWriter, _ *http.Request) {
			if n.Add(1) <= times {
				panic(http.ErrAbortHandler)
			}
			w.Header().Set(testOwnID, name)
		}
	}
	born := func(at int64) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(testOwnID, "a")
			_, _ = fmt.Fprintf(w, "born %d", at)
		}
	}
	const earlyHints = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, tc := range []struct {
		name            string
		path            string
		before, headers string
		body            string
		// crash makes the address of the upstream refuse connections before the answer ends.
		crash  bool
		health http.HandlerFunc
		born   int64
		// deadlineMS is the caller's deadline, empty for none.
		deadlineMS string
		// checks is the number of health checks, and the least one with a deadline.
		checks int
		status int
	}{
		{name: "alive", path: pathOnce, body: "whole", checks: 1, status: 200},
		{name: "alive, without a body", path: pathOnce, checks: 1, status: 200},
		{name: "crash", path: pathOnce, body: "who", crash: true, status: 502},
		{name: "crash before the first byte of the body", path: pathOnce, crash: true, status: 502},
		{name: "crash after an informational answer", path: pathOnce, before: earlyHints, crash: true, status: 502},
		{name: "crash, the request may be repeated", path: pathSafe, body: "who", crash: true, status: 200},
		{name: "crash within the length", path: pathOnce, headers: "Content-Length: 5\r\n", body: "who", status: 502},
		{name: "crash before the last chunk", path: pathOnce, headers: "Transfer-Encoding: chunked\r\n", body: "3\r\nwho\r\n", status: 502},
		{name: "another upstream answers", path: pathOnce, body: "who", health: names("b"), checks: 1, status: 502},
		{name: "another upstream refuses", path: pathOnce, body: "who", health: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }, checks: 1, status: 502},
		{name: "refused with the name", path: pathOnce, body: "whole", health: refuses("a", 0), checks: 1, status: 200},
		{name: "refused without the name, until the deadline", path: pathOnce, body: "who", health: refuses("a", 100), deadlineMS: "400", checks: 2, status: 504},
		{name: "refused without the name at first", path: pathOnce, body: "whole", health: refuses("a", 4), checks: 5, status: 200},
		{name: "the connection is closed at first", path: pathOnce, body: "whole", health: breaks("a", 4), checks: 5, status: 200},
		{name: "the same incarnation of the name", path: pathOnce, body: "whole", born: 2, health: born(2), checks: 1, status: 200},
		{name: "another incarnation of the name", path: pathOnce, body: "who", born: 2, health: born(3), checks: 1, status: 502},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var server *httptest.Server
			added := make(chan struct{})
			a := f.add("app", "a", func(w http.ResponseWriter, r *http.Request) {
				f.holdUntil(added)
				serveCut(w, r, tc.before, tc.headers, tc.body, func() {
					if tc.crash {
						_ = server.Listener.Close()
					}
				})
			})
			a.health, server = tc.health, f.lastServer
			f.records[0].Born = tc.born
			f.fleet.Update(f.records, nil, true, time.Time{})
			result := make(chan answer, 1)
			go func() { result <- f.ask(tc.path, func(r *http.Request) { r.Header.Set(testDeadline, tc.deadlineMS) }) }()
			f.waitUntil("the upstream runs the request", func() bool { return a.runs() > 0 })
			b := f.add("app", "b", serveOK)
			close(added)
			got := <-result
			if got.err != nil || got.status != tc.status || got.status == http.StatusOK && got.body != tc.body && b.runs() == 0 {
				t.Errorf("status %d, %q, %v; want status %d", got.status, got.body, got.err, tc.status)
			}
			if n := len(a.healthChecks()); n < tc.checks || n > tc.checks && tc.deadlineMS == "" {
				t.Errorf("%d health checks, want %d", n, tc.checks)
			}
		})
	}
}

// Answers that end at the same time must share a check, which must be sent after the ends of all of them.
func TestEndChecksAreShared(t *testing.T) {
	f := newFixture(t)
	sent, release := make(chan struct{}, 2), make(chan struct{})
	a := f.add("app", "a", serveOK)
	a.health = func(w http.ResponseWriter, _ *http.Request) {
		sent <- struct{}{}
		f.holdUntil(release)
		w.Header().Set(testOwnID, "a")
	}
	u, _ := f.fleet.Get("a")
	service := &routetable.Service{Name: "app", HealthPath: testHealthPath}
	first := f.gateway.joinEndCheck(service, u)
	f.waitSignal("the first check is sent", sent)
	f.gateway.mu.Lock()
	f.gateway.endChecks["a"].notBefore = time.Now().Add(200 * time.Millisecond)
	f.gateway.mu.Unlock()
	second, third := f.gateway.joinEndCheck(service, u), f.gateway.joinEndCheck(service, u)
	if first == second || second != third {
		t.Errorf("checks %p, %p, %p; want the latter two shared", first, second, third)
	}
	close(release)
	f.waitSignal("the second check is done", second.done)
	if n := len(a.healthChecks()); n != 2 || second.answers != 2 {
		t.Errorf("%d health checks, the second for %d answers; want 2 for 2", n, second.answers)
	}
	time.Sleep(2 * endCheckInterval)
	f.gateway.sweepEndChecks()
	if n := len(f.gateway.endChecks); n != 0 {
		t.Errorf("checks of %d upstreams are kept, want none", n)
	}
}

// An upstream in backoff must get no health check until its backoff ends.
func TestEndCheckInBackOff(t *testing.T) {
	for _, tc := range []struct {
		name   string
		lasts  time.Duration
		status int
	}{
		{"short", 200 * time.Millisecond, http.StatusOK},
		{"long", time.Minute, http.StatusBadGateway},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var until time.Time
			a := f.add("app", "a", func(w http.ResponseWriter, r *http.Request) {
				serveCut(w, r, "", "", "whole", func() {
					until = time.Now().Add(tc.lasts)
					f.fleet.BackOff("a", until)
				})
			})
			if got := f.ask(pathOnce); got.status != tc.status {
				t.Errorf("status %d, %v; want %d", got.status, got.err, tc.status)
			}
			for _, at := range a.healthChecks() {
				if at.Before(until) {
					t.Errorf("a health check %s before the end of the backoff", until.Sub(at))
				}
			}
			if u, _ := f.fleet.Get("a"); u.State() != fleet.Serving {
				t.Errorf("state %v", u.State())
			}
		})
	}
}

// While an upstream that is full refuses queries, all answers that end must share the repeated ones.
func TestRepeatedEndChecksAreShared(t *testing.T) {
	f := newFixture(t)
	a := f.add("app", "a", serveOK)
	refusesUntil := time.Now().Add(300 * time.Millisecond)
	a.health = func(w http.ResponseWriter, _ *http.Request) {
		if time.Now().Before(refusesUntil) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Header().Set(testOwnID, "a")
	}
	u, _ := f.fleet.Get("a")
	service := &routetable.Service{Name: "app", HealthPath: testHealthPath}
	var checks []*endCheck
	for range 40 {
		checks = append(checks, f.gateway.joinEndCheck(service, u))
		time.Sleep(5 * time.Millisecond)
	}
	for _, c := range checks {
		f.waitSignal("the check is done", c.done)
		if c.proof != provenByHealth {
			t.Errorf("proof %q, want the health check", c.proof)
		}
	}
	// Six within the pauses from 20 ms on, and as many before the first one is answered. Each check alone would make 40.
	if n := len(a.healthChecks()); n > 12 {
		t.Errorf("%d health checks, want at most 12", n)
	}
}

// A late surplus report on an open connection proved that an engine had survived the end of an answer.
func TestLateReportProvesNoEnd(t *testing.T) {
	f := newFixture(t)
	var first atomic.Value
	a := f.add("llm", "a", func(w http.ResponseWriter, r *http.Request) {
		first.CompareAndSwap(nil, r.RemoteAddr)
		born := 2
		if r.RemoteAddr != first.Load() {
			born = 3
		}
		_, _ = fmt.Fprintf(w, "born %d", born)
	})
	a.health = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusMisdirectedRequest) }
	u := f.restart("a", 2)
	if _, err := f.gateway.query(t.Context(), u, "test"); err != nil {
		t.Fatal(err)
	}
	proof, err := f.gateway.checkIncarnation(t.Context(), &routetable.Service{Name: "llm", HealthPath: testHealthPath, Engine: &routetable.Engine{}}, u)
	if proof != unproven {
		t.Errorf("proof %q, %v; want none", proof, err)
	}
}
