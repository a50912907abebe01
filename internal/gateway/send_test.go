package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// pipeBody replaces the body of a request by one that ends when the writer is closed.
func pipeBody(r *http.Request) *io.PipeWriter {
	body, w := io.Pipe()
	r.Body, r.ContentLength = body, -1
	return w
}

// askWithLateBody sends the headers of a request, calls between, and sends the body.
func (f *fixture) askWithLateBody(path string, between func(), change ...func(r *http.Request)) answer {
	f.t.Helper()
	var body *io.PipeWriter
	answered := make(chan answer, 1)
	go func() {
		answered <- f.ask(path, append(change, func(r *http.Request) { body = pipeBody(r); go f.sendBody(body, between) })...)
	}()
	return <-answered
}

// sendBody calls between once the gateway serves a request, and sends its body.
func (f *fixture) sendBody(body *io.PipeWriter, between func()) {
	_, _ = io.WriteString(body, "bo")
	for f.gateway.inFlight.Load() == 0 && f.t.Context().Err() == nil {
		time.Sleep(time.Millisecond)
	}
	// The gateway has decided by the headers when it waits for the rest of the body.
	time.Sleep(20 * time.Millisecond)
	between()
	_, _ = io.WriteString(body, "dy")
	_ = body.Close()
}

// TestStopDuringBody guards against a request that was accepted before a planned stop and is sent when its body has arrived,
// though it would be cut.
func TestStopDuringBody(t *testing.T) {
	for _, path := range []string{pathOnce, pathStream} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			app, llm := f.add("app", "a", serveOK), f.add("llm", "e", serveOK)
			got := f.askWithLateBody(path, func() { f.gateway.Drain(time.Now().Add(plainCallTime / 2)) })
			if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, errStopsFirst.Error()) || app.runs()+llm.runs() != 0 {
				t.Errorf("status %d, %q, %d sends; want it refused without a send", got.status, got.body, app.runs()+llm.runs())
			}
			if got.header.Get(testRetryMs) == "" {
				t.Error("the caller is not told when to return")
			}
		})
	}
}

// TestStopDuringBodyEndsConnection guards against a stopping gateway that gets the next request of a caller whose request
// it had got before the stop.
func TestStopDuringBodyEndsConnection(t *testing.T) {
	for _, tc := range []struct {
		path   string
		left   time.Duration
		status int
	}{{pathOnce, time.Minute, http.StatusOK}, {pathStream, 2 * time.Minute, http.StatusOK}, {pathOnce, plainCallTime / 2, http.StatusServiceUnavailable}} {
		t.Run(fmt.Sprintf("%s %s", tc.path, tc.left), func(t *testing.T) {
			f := newFixture(t)
			f.add("app", "a", serveOK)
			f.addEngine("e")
			got := f.askWithLateBody(tc.path, func() { f.gateway.Drain(time.Now().Add(tc.left)) })
			if got.status != tc.status || !got.closes {
				t.Errorf("status %d, closes: %t; want %d and the end of the connection", got.status, got.closes, tc.status)
			}
		})
	}
}

// TestStopBeforeSecondAttempt guards against a second attempt that a planned stop would cut.
func TestStopBeforeSecondAttempt(t *testing.T) {
	for _, path := range []string{pathSafe, pathStream} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			refuse := func(w http.ResponseWriter, r *http.Request) {
				f.gateway.Drain(time.Now().Add(plainCallTime / 2))
				serveNotRun(w, r)
			}
			sends := 0
			for _, id := range []string{"1", "2"} {
				f.add("app", "a-"+id, refuse)
				f.add("llm", "e-"+id, refuse)
			}
			got := f.ask(path)
			for _, e := range f.rec.Select("") {
				if e.Name == "request-routed" {
					sends++
				}
			}
			if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, errStopsFirst.Error()) || sends != 1 {
				t.Errorf("status %d, %q after %d sends, want a refusal after one", got.status, got.body, sends)
			}
		})
	}
}

// answerToPart sends the headers of a call and a part of its body, and reads its connection to the end, for 2 s at most.
func (f *fixture) answerToPart(deadline time.Duration, part string) (string, error) {
	f.t.Helper()
	conn, err := net.Dial("tcp4", f.server.Listener.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: host\r\n%s: r\r\n%s: key\r\n%s: %d\r\n%s", pathOnce, testID, testKey, testDeadline, deadline.Milliseconds(), part)
	_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
	got, err := io.ReadAll(conn)
	return string(got), err
}

// TestDeadlinePassesDuringBody guards against waiting for a body when nobody waits for the answer any more.
func TestDeadlinePassesDuringBody(t *testing.T) {
	for _, part := range []string{"Content-Length: 4\r\n\r\nbo", "Transfer-Encoding: chunked\r\n\r\n4\r\nbo"} {
		f := newFixture(t)
		app := f.add("app", "a", serveOK)
		if got, err := f.answerToPart(50*time.Millisecond, part); err != nil || !strings.HasPrefix(got, "HTTP/1.1 408 ") || app.runs() > 0 {
			t.Errorf("%q, %v; want 408 at the deadline and the end of the connection", got, err)
		}
	}
}

// TestUnconfirmedKeyIsRefusedBeforeBody guards against reading the body of a request that cannot be served.
func TestUnconfirmedKeyIsRefusedBeforeBody(t *testing.T) {
	f := newFixture(t, func(s *Settings) { s.HardKeyBound, s.MaxRoutesAge = true, 0 })
	if got, _ := f.answerToPart(time.Minute, "Content-Length: 4\r\n\r\nbo"); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
		t.Errorf("%q, want 503 before the body has arrived", got)
	}
}

// TestDeadlinePassesBeforeSend guards against a request that is sent when nobody waits for its answer any more.
func TestDeadlinePassesBeforeSend(t *testing.T) {
	const deadline = 50 * time.Millisecond
	for _, path := range []string{pathOnce, pathStream} {
		t.Run(path, func(t *testing.T) {
			f := newFixture(t)
			app, llm := f.add("app", "a", serveOK), f.addEngine("e")
			// The connection that this opens takes the next request without a wait.
			f.ask(path)
			before := app.runs() + llm.runs()
			// An upstream is being chosen.
			f.gateway.peers.Delay = func(string, bool) time.Duration {
				time.Sleep(2 * deadline)
				return 0
			}
			got := f.ask(path, withDeadline(deadline))
			if after := app.runs() + llm.runs(); got.status != http.StatusServiceUnavailable || after != before {
				t.Errorf("status %d, %q, %d sends; want it refused without a send", got.status, got.body, after-before)
			}
		})
	}
}

// withDeadline sets the deadline of a request.
func withDeadline(d time.Duration) func(r *http.Request) {
	return func(r *http.Request) { r.Header.Set(testDeadline, strconv.FormatInt(d.Milliseconds(), 10)) }
}

// changeRoutes puts a route table in force that testTable describes.
func (f *fixture) changeRoutes(text string) {
	f.routes.Apply(testSnapshot(text), true)
	f.routes.ConfirmCurrent(time.Now(), belief.Evidence{})
}

// TestRoutesChangeDuringBody guards against a request that is run as the routes allowed when its headers arrived.
func TestRoutesChangeDuringBody(t *testing.T) {
	const maxAge = 500 * time.Millisecond
	for _, tc := range []struct {
		name   string
		change func(f *fixture)
		status int
		// old and moved are the runs at the services of the first routes and at those of later ones.
		old, moved int
	}{
		{"key revoked", func(f *fixture) { f.changeRoutes("2 revoked") }, http.StatusUnauthorized, 0, 0},
		{"keys unconfirmed", func(*fixture) { time.Sleep(maxAge) }, http.StatusServiceUnavailable, 0, 0},
		{"routes moved", func(f *fixture) { f.changeRoutes("2 moved") }, http.StatusOK, 0, 1},
		{"same routes", func(f *fixture) { f.changeRoutes("2") }, http.StatusOK, 1, 0},
	} {
		for _, path := range []string{pathOnce, pathStream} {
			t.Run(tc.name+path, func(t *testing.T) {
				f := newFixture(t, func(s *Settings) { s.HardKeyBound, s.MaxRoutesAge = true, maxAge })
				old := []*upstream{f.add("app", "a", serveOK), f.addEngine("e").upstream}
				moved := []*upstream{f.add("app-2", "a-2", serveOK), f.addEngineTo("llm-2", "e-2").upstream}
				f.changeRoutes("1")
				got := f.askWithLateBody(path, func() { tc.change(f) })
				if got.status != tc.status || old[0].runs()+old[1].runs() != tc.old || moved[0].runs()+moved[1].runs() != tc.moved {
					t.Errorf("status %d, %q, %d and %d runs; want %d, %d and %d", got.status, got.body, old[0].runs()+old[1].runs(), moved[0].runs()+moved[1].runs(), tc.status, tc.old, tc.moved)
				}
			})
		}
	}
}

// TestRoutesChangeBeforeSecondAttempt guards against a request that waited and is sent though the keys in force do not
// allow it any more, and against refusing one because its route moved meanwhile.
func TestRoutesChangeBeforeSecondAttempt(t *testing.T) {
	const maxAge = 500 * time.Millisecond
	for _, tc := range []struct {
		name   string
		change func(f *fixture)
		status int
		reason string
		sends  int
	}{
		{"key revoked", func(f *fixture) { f.changeRoutes("2 revoked") }, http.StatusUnauthorized, errKeyRevoked.Error(), 1},
		{"keys unconfirmed", func(*fixture) { time.Sleep(maxAge) }, http.StatusServiceUnavailable, errKeysUnconfirmed.Error(), 1},
		{"routes moved", func(f *fixture) { f.changeRoutes("2 moved") }, http.StatusServiceUnavailable, "", 2},
		{"same routes", func(f *fixture) { f.changeRoutes("2") }, http.StatusServiceUnavailable, "", 2},
	} {
		for _, path := range []string{pathOnce, pathStream} {
			t.Run(tc.name+path, func(t *testing.T) {
				f := newFixture(t, func(s *Settings) { s.HardKeyBound, s.MaxRoutesAge = true, maxAge })
				refuse := func(w http.ResponseWriter, r *http.Request) {
					tc.change(f)
					serveNotRun(w, r)
				}
				var upstreams []*upstream
				for _, id := range []string{"1", "2"} {
					upstreams = append(upstreams, f.add("app", "a-"+id, refuse), f.add("llm", "e-"+id, refuse))
				}
				f.changeRoutes("1")
				got, sends := f.ask(path), 0
				for _, u := range upstreams {
					sends += u.runs()
				}
				if got.status != tc.status || !strings.Contains(got.body, tc.reason) || sends != tc.sends {
					t.Errorf("status %d, %q after %d sends, want %d, %q after %d", got.status, got.body, sends, tc.status, tc.reason, tc.sends)
				}
			})
		}
	}
}

// TestBegunAnswerOutlastsItsKey guards against cutting an answer whose key is revoked when it has to go on elsewhere.
func TestBegunAnswerOutlastsItsKey(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"1", "2"} {
		e := f.addEngine("e-" + id)
		e.breakAfter, e.copies = lastTestEvent/2, []protocol.CopyResult{{}}
	}
	f.confirm = func(origin.Origin) bool {
		f.changeRoutes("2 revoked")
		return true
	}
	if got := f.ask(pathResume); got.err != nil || !strings.Contains(got.body, fmt.Sprintf("id: %d\n", lastTestEvent)) {
		t.Errorf("status %d, %q, %v; want a whole stream", got.status, got.body, got.err)
	}
}

// usualRequest returns the request for a path and the usual body, as the quarantine knows it.
func usualRequest(path string) quarantine.Request {
	return quarantine.Request{Fingerprint: quarantine.FingerprintOf(http.MethodPost, "host", path, "acme", []byte("body"))}
}

// suspect makes the request for a path and the usual body one under which upstreams crashed.
func (f *fixture) suspect(path string, crashes int) {
	r := quarantine.Report{Request: usualRequest(path), Crashes: map[string]time.Time{}}
	for i := range crashes {
		r.Crashes[fmt.Sprintf("gone %d", i)] = time.Now()
	}
	f.gateway.quarantine.Restore([]quarantine.Report{r})
}

// TestCrashesWhileRequestWaits guards against a request that waited for an upstream and is sent, or sent again, though
// others crashed under it meanwhile.
func TestCrashesWhileRequestWaits(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		// armed is set if the crashes become known before the first attempt.
		armed   bool
		crashes int
		status  int
		reason  string
		runs    int
	}{
		{"new stream quarantined", pathResume, true, 3, http.StatusServiceUnavailable, quarantine.ErrQuarantined.Error(), 0},
		{"begun stream quarantined", pathResume, false, 3, http.StatusOK, "", 1},
		{"begun stream repeated", pathResume, false, 2, http.StatusOK, "", 1},
		{"call repeated", pathSafe, false, 2, http.StatusBadGateway, "", 1},
		{"nothing crashed", pathResume, false, 0, http.StatusOK, fmt.Sprintf("id: %d\n", lastTestEvent), 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			var waits atomic.Bool
			waits.Store(tc.armed)
			f.confirm = func(origin.Origin) bool { waits.Store(true); return true }
			var upstreams []*upstream
			for _, id := range []string{"1", "2"} {
				e := f.addEngine("e-" + id)
				e.breakAfter, e.copies = lastTestEvent/2, []protocol.CopyResult{{}}
				upstreams = append(upstreams, e.upstream, f.add("app", "a-"+id, func(w http.ResponseWriter, r *http.Request) {
					waits.Store(true)
					serveBreak(w, r)
				}))
			}
			// An upstream is being chosen.
			f.gateway.peers.Delay = func(string, bool) time.Duration {
				if waits.CompareAndSwap(true, false) && tc.crashes > 0 {
					f.suspect(tc.path, tc.crashes)
				}
				return 0
			}
			got, runs := f.ask(tc.path), 0
			for _, u := range upstreams {
				runs += u.runs()
			}
			if got.status != tc.status || !strings.Contains(got.body, tc.reason) || runs != tc.runs {
				t.Errorf("status %d, %v, %q, %d runs; want %d, %q and %d", got.status, got.err, got.body, runs, tc.status, tc.reason, tc.runs)
			}
		})
	}
}
