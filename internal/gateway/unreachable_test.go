package gateway

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/fleet"
)

// avoided reports whether requests avoid an upstream now.
func (f *fixture) avoided(id string) bool {
	u, _ := f.fleet.Get(id)
	return time.Now().Before(u.AvoidUntil())
}

// waitAvoided waits until an upstream is avoided, or no longer avoided.
func (f *fixture) waitAvoided(id string, want bool) {
	f.t.Helper()
	for end := time.Now().Add(signalTimeout); f.avoided(id) != want; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s avoided: %t, want %t", id, !want, want)
		}
	}
}

// addUnreachable adds an engine at an address where nothing listens, and returns the address.
func (f *fixture) addUnreachable(id string) string {
	f.t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	f.records = append(f.records, fleet.Record{Name: id, Service: "llm", Address: address, Slots: 6})
	f.fleet.Update(f.records, nil, true, time.Time{})
	f.t.Cleanup(func() { f.fleet.Update(nil, nil, true, time.Time{}) })
	return address
}

// Guards against each entry spending the time to connect on its own requests to an engine that another entry
// already found unreachable.
func TestUnreachableEngineOfAnotherEntry(t *testing.T) {
	f := newFixture(t)
	address := f.addUnreachable("dark")
	f.addEngine("good")
	f.gateway.SetPeerUnreachable(map[string]time.Time{"dark": time.Now(), "good": time.Now()})
	f.waitAvoided("good", false)
	if !f.avoided("dark") {
		t.Fatal("the engine is not avoided once another entry reports it")
	}
	for end := time.Now().Add(signalTimeout); len(f.fleet.UnreachableSince()) == 0; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the check does not find the engine unreachable")
		}
	}
	if _, ok := f.fleet.UnreachableSince()["good"]; ok {
		t.Error("an engine that can be reached is reported as unreachable")
	}
	// It stays avoided beyond the time for which one failed check excludes it.
	for end := time.Now().Add(3 * fleet.UnreachableInterval); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if !f.avoided("dark") {
			t.Fatal("requests get to the engine although it cannot be reached")
		}
	}
	// The engine listens again.
	l, err := net.Listen("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	f.waitAvoided("dark", false)
}

// Guards against a failed attempt to connect that the other entries do not learn of, and against routes without a
// bound on pauses that are served in another way than before.
func TestOwnAttemptFindsEngineUnreachable(t *testing.T) {
	for _, tc := range []struct {
		name     string
		maxPause time.Duration
		reported bool
	}{
		{"the route bounds pauses", maxTestPause, true},
		{"the route bounds no pauses", 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.addUnreachable("dark")
			s := f.boundedStream("dark")
			s.rq.route.MaxPause = tc.maxPause
			u, _ := f.fleet.Get("dark")
			_, err := f.gateway.link.Do(t.Context(), u.Address, f.gateway.proto.StateQuery())
			if got := s.handleNoAnswer(t.Context(), step{at: u}, err); got != streamNotRun {
				t.Errorf("outcome %v, want streamNotRun", got)
			}
			if _, reported := f.fleet.UnreachableSince()["dark"]; reported != tc.reported {
				t.Errorf("reported to the other entries: %t, want %t", reported, tc.reported)
			}
		})
	}
}

// Guards against streams that wait for seconds for an engine which is known to be unreachable, and against ones
// that are taken from an engine which may still work on them or which sends events.
func TestStreamsOfUnreachableEngine(t *testing.T) {
	for _, tc := range []struct {
		name     string
		path     string
		maxPause time.Duration
		// events is the number of events that the engine sends before it is silent, all of them if it is not.
		events    int
		elsewhere bool
		// unreported is set if no other entry reports the engine.
		unreported bool
	}{
		{"silent after some events", pathResume, maxTestPause, 7, true, false},
		{"silent after some events, found by this entry", pathResume, maxTestPause, 7, true, true},
		{"silent before the first event", pathResume, maxTestPause, 0, true, false},
		{"sends events", pathResume, maxTestPause, lastTestEvent, false, false},
		{"a route that may not be repeated", pathStream, maxTestPause, 7, false, false},
		{"a route without a bound on pauses", pathResume, 0, 7, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			if tc.maxPause > 0 {
				f.routes.Apply(testSnapshot("2 pauses"), true)
				f.routes.ConfirmCurrent(time.Now(), belief.Evidence{})
			}
			release := make(chan struct{})
			defer close(release)
			var server *httptest.Server
			first := f.add("llm", "a", func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testProof, "p")
				for i := 1; i <= tc.events; i++ {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
					_ = http.NewResponseController(w).Flush()
					if tc.events == lastTestEvent {
						time.Sleep(silentFor / 10)
					}
				}
				if tc.events < lastTestEvent {
					f.holdUntil(release)
				}
			})
			server = f.lastServer
			ctx, cancel := context.WithTimeout(t.Context(), 10*silentFor)
			defer cancel()
			result := make(chan answer, 1)
			go func() {
				resp, err := f.open(ctx, tc.path)
				if err != nil {
					result <- answer{err: err}
					return
				}
				result <- readAnswer(resp)
			}()
			for first.runs() == 0 {
				time.Sleep(time.Millisecond)
			}
			second := f.add("llm", "b", serveRest)
			_ = server.Listener.Close()
			if !tc.unreported {
				f.gateway.SetPeerUnreachable(map[string]time.Time{"a": time.Now()})
			}
			got := <-result
			if whole := got.err == nil && got.body == wholeStream(); whole != (tc.elsewhere || tc.events == lastTestEvent) {
				t.Errorf("%v, %q; whole: %t", got.err, got.body, whole)
			}
			if waited := errors.Is(got.err, context.DeadlineExceeded); waited != (!tc.elsewhere && tc.events < lastTestEvent) {
				t.Errorf("%v; the stream was waited for until its caller gave up: %t", got.err, waited)
			}
			if (second.runs() == 1) != tc.elsewhere {
				t.Errorf("%d runs elsewhere, want one: %t", second.runs(), tc.elsewhere)
			}
		})
	}
}
