package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
)

// withHeaders returns a handler that sets headers, given as name and value pairs, and then calls
// serve.
func withHeaders(serve http.HandlerFunc, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		serve(w, r)
	}
}

// serveUnavailable answers with 503 and does not state whether the request ran.
func serveUnavailable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// An upstream that announces in an answer that it leaves must get no further requests. The store
// and the reports of the upstream announce the same, but later.
func TestUpstreamThatAnnouncesLeavingGetsNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		answer http.HandlerFunc
	}{
		{"in a successful answer", pathOnce, serveOK},
		{"in a failure", pathOnce, serveError},
		{"in a refusal", pathOnce, serveNotRun},
		{"in an answer without proof of completeness", pathOnce, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }},
		{"in an answer that breaks off", pathSafe, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("ok"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			leaving := f.add("app", "leaving", withHeaders(tc.answer, testLeaving, "1"))
			f.add("app", "staying", serveOK)
			for leaving.runs() == 0 {
				f.ask(tc.path)
			}
			for range 60 {
				f.ask(tc.path)
			}
			if n := leaving.runs(); n != 1 {
				t.Errorf("the leaving upstream got %d requests, want 1", n)
			}
			if known := f.fleet.KnownLeaving(); len(known) != 1 || known[0] != "leaving" {
				t.Errorf("other entries are informed that %v leave, want only the leaving upstream", known)
			}
		})
	}
}

// An engine that announces in the head of a streamed answer that it leaves must get no further
// generations, although that answer ends seconds later.
func TestEngineThatAnnouncesLeavingGetsNoGenerations(t *testing.T) {
	f := newFixture(t)
	leaving := &engine{f: f, stopped: make(chan struct{}), eventInterval: 20 * time.Millisecond, copies: []protocol.CopyResult{{Outcome: protocol.NoRoom}}}
	leaving.upstream = f.add("llm", "leaving", withHeaders(leaving.serve, testLeaving, "1"))
	f.addEngine("staying")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for leaving.runs() == 0 {
			f.ask(pathStream)
		}
	}()
	for leaving.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	before := leaving.runs()
	var asks sync.WaitGroup
	for range 8 {
		asks.Go(func() { f.ask(pathStream) })
	}
	asks.Wait()
	if n := leaving.runs() - before; n != 0 {
		t.Errorf("the leaving engine got %d generations after the head of its answer, want none", n)
	}
	<-done
}

// An upstream in backoff must get no requests until the backoff ends. The backoff here is longer
// than the 2 s for which an upstream that refuses requests is otherwise avoided at most; after
// those, one successful answer would bring all requests back to it.
func TestUpstreamInBackOffGetsNoRequests(t *testing.T) {
	const backOff = 2600 * time.Millisecond
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"in a refusal", serveNotRun},
		{"in a 503 that does not state whether the request ran", serveUnavailable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var requests atomic.Int64
			backedOff := f.add("app", "backed-off", func(w http.ResponseWriter, r *http.Request) {
				if requests.Add(1) == 1 {
					withHeaders(tc.answer, testRetryMs, "2600")(w, r)
					return
				}
				serveOK(w, r)
			})
			f.add("app", "working", serveOK)
			for backedOff.runs() == 0 {
				f.ask(pathOnce)
			}
			asked := time.Now()
			for time.Since(asked) < backOff-100*time.Millisecond {
				if got := f.ask(pathOnce); got.status != http.StatusOK {
					t.Fatalf("status %d, want 200 from the other upstream", got.status)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if n := backedOff.runs() - 1; n != 0 {
				t.Errorf("the upstream got %d requests during its backoff, want none", n)
			}
			for time.Since(asked) < backOff+time.Second {
				f.ask(pathOnce)
				time.Sleep(5 * time.Millisecond)
			}
			if backedOff.runs() == 1 {
				t.Error("the upstream got no request within a second after its backoff")
			}
		})
	}
}

// While all upstreams of a service are in backoff, none of them may get requests. Callers are
// refused at once and asked to retry after the first backoff has ended, spread over time.
func TestAllUpstreamsInBackOff(t *testing.T) {
	f := newFixture(t)
	var upstreams []*upstream
	for _, u := range []struct{ id, back string }{{"a", "1500"}, {"b", "2500"}} {
		upstreams = append(upstreams, f.add("app", u.id, withHeaders(serveNotRun, testRetryMs, u.back)))
	}
	first := time.Now()
	for upstreams[0].runs() == 0 || upstreams[1].runs() == 0 {
		f.ask(pathOnce)
	}
	asked := time.Now()
	for time.Since(asked) < time.Second {
		begun := time.Now()
		got := f.ask(pathOnce)
		if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > 100*time.Millisecond {
			t.Fatalf("status %d after %s, want 503 within 100 ms", got.status, took)
		}
		ms, err := strconv.Atoi(got.header.Get(testRetryMs))
		back := begun.Add(time.Duration(ms) * time.Millisecond)
		// The header states whole milliseconds, rounded down.
		if least, most := first.Add(1500*time.Millisecond), asked.Add(1600*time.Millisecond+placement.RetryWindow); err != nil || back.Before(least.Add(-100*time.Millisecond)) || back.After(most) {
			t.Fatalf("retry is due %s after the first backoff, want it spread from its end on", back.Sub(least))
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, u := range upstreams {
		if n := u.runs(); n > 2 {
			t.Errorf("%s got %d requests during its backoff, want at most 1", u.id, n-1)
		}
	}
}

// An upstream that another entry reported as leaving must stay leaving when its record is read
// that was written before it announced that.
func TestStaleRecordDoesNotUndoLeaving(t *testing.T) {
	f := newFixture(t)
	leaving := f.add("app", "leaving", serveOK)
	f.add("app", "staying", serveOK)
	f.fleet.PeerReportedLeaving("other entry", []string{"leaving"})
	f.fleet.Update(f.records, nil, true, time.Time{})
	for range 20 {
		f.ask(pathOnce)
	}
	if n := leaving.runs(); n != 0 {
		t.Errorf("the leaving upstream got %d requests, want none", n)
	}
	if u, _ := f.fleet.Get("leaving"); u.State() != fleet.Leaving {
		t.Error("the upstream does not count as leaving")
	}
}

// An engine in backoff must get no generations; engines are chosen by other code than plain
// upstreams. Generations go to another engine, or are refused at once if there is none.
func TestEngineInBackOffGetsNoGenerations(t *testing.T) {
	for _, tc := range []struct {
		name  string
		other bool
		want  int
	}{{"with another engine", true, http.StatusOK}, {"as the only engine", false, http.StatusServiceUnavailable}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			backedOff := f.add("llm", "backed-off", withHeaders(serveNotRun, testRetryMs, "1500"))
			if tc.other {
				f.addEngine("working")
			}
			for backedOff.runs() == 0 {
				f.ask(pathStream)
			}
			asked := time.Now()
			for time.Since(asked) < time.Second {
				begun := time.Now()
				got := f.ask(pathStream)
				if got.status != tc.want {
					t.Fatalf("status %d, want %d", got.status, tc.want)
				}
				if took := time.Since(begun); !tc.other && (took > 100*time.Millisecond || got.header.Get(testRetryMs) == "") {
					t.Fatalf("refused after %s with retry delay %q, want within 100 ms and with a delay", took, got.header.Get(testRetryMs))
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := backedOff.runs() - 1; n != 0 {
				t.Errorf("the engine got %d generations during its backoff, want none", n)
			}
		})
	}
}

// The hedge of a slow request must not go to an upstream in backoff.
func TestUpstreamInBackOffGetsNoHedge(t *testing.T) {
	f := newFixture(t)
	backedOff := f.add("app", "backed-off", withHeaders(serveNotRun, testRetryMs, "2000"))
	for backedOff.runs() == 0 {
		f.ask(pathSafe)
	}
	f.add("app", "slow", func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(200 * time.Millisecond)
		serveOK(w, r)
	})
	for range 4 {
		if got := f.ask(pathSafe); got.status != http.StatusOK {
			t.Fatalf("status %d, want 200", got.status)
		}
	}
	if n := backedOff.runs(); n != 1 {
		t.Errorf("the upstream got %d requests during its backoff, want none", n-1)
	}
}

// A successful answer to a request that was in flight when the upstream asked for backoff must
// not end the backoff.
func TestAnswerInFlightDoesNotEndBackOff(t *testing.T) {
	f := newFixture(t)
	var requests atomic.Int64
	held := make(chan struct{})
	backedOff := f.add("app", "backed-off", func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) {
		case 1:
			f.holdUntil(held)
			serveOK(w, r)
		case 2:
			withHeaders(serveNotRun, testRetryMs, "2000")(w, r)
		default:
			serveOK(w, r)
		}
	})
	var first sync.WaitGroup
	first.Go(func() { f.ask(pathOnce) })
	for requests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.ask(pathOnce)
	close(held)
	first.Wait()
	for range 20 {
		f.ask(pathOnce)
	}
	if n := backedOff.runs(); n != 2 {
		t.Errorf("the upstream got %d requests during its backoff, want none", n-2)
	}
}

// The rate limit and the leaving notice in an engine's answer to a release command must be applied.
func TestNoticesInAnswerToReleaseAreApplied(t *testing.T) {
	f := newFixture(t)
	f.add("llm", "engine", withHeaders(func(http.ResponseWriter, *http.Request) {}, testLimit, "2", testLeaving, "1"))
	u, _ := f.fleet.Get("engine")
	f.gateway.release("r", heldCopy{copy: protocol.Copy{Handle: "h"}, at: u})
	for begun := time.Now(); !f.gateway.limits.Any() || len(f.fleet.KnownLeaving()) == 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatalf("limit known: %v; leaving engines: %v", f.gateway.limits.Any(), f.fleet.KnownLeaving())
		}
	}
}

// An attempt whose request is answered by another attempt, or whose caller disconnects, must not be
// abandoned before its answer arrives: the answer may ask for backoff or announce leaving.
func TestNoticeInAnswerOfLosingAttemptIsApplied(t *testing.T) {
	// giveUpTime is longer than a cancelled attempt runs if it does not wait for its answer.
	const giveUpTime = 15 * time.Millisecond
	for _, tc := range []struct {
		name        string
		disconnects bool
	}{
		{"another attempt is answered first", false},
		{"the caller disconnects", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.link = link.New(link.Settings{DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, HeadGrace: testTimeout, IDHeader: testID},
				func(ctx context.Context, address string) (net.Conn, error) {
					return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
				}, time.Now)
			ended := f.serveOne()
			// The first attempt is answered once the second has reached its upstream, or never if the caller
			// disconnects then. The second upstream asks for backoff after the request has ended.
			secondBegun := make(chan struct{})
			firstAnswered := secondBegun
			if tc.disconnects {
				firstAnswered = nil
			}
			var first atomic.Bool
			serve := func(w http.ResponseWriter, r *http.Request) {
				if !first.Swap(true) {
					f.holdUntil(firstAnswered)
					serveOK(w, r)
					return
				}
				close(secondBegun)
				f.holdUntil(ended)
				time.Sleep(giveUpTime)
				withHeaders(serveNotRun, testRetryMs, "2000")(w, r)
			}
			f.add("app", "a", serve)
			f.add("app", "b", serve)
			got := f.ask(pathSafe, func(r *http.Request) {
				if !tc.disconnects {
					return
				}
				ctx, cancel := context.WithCancel(r.Context())
				go func() {
					f.holdUntil(secondBegun)
					cancel()
				}()
				*r = *r.WithContext(ctx)
			})
			if disconnected := errors.Is(got.err, context.Canceled); disconnected != tc.disconnects || !disconnected && got.status != http.StatusOK {
				t.Fatalf("status %d, %v; want 200, or no answer if the caller disconnects", got.status, got.err)
			}
			for begun := time.Now(); !f.fleet.AnyBackOff(); time.Sleep(time.Millisecond) {
				if time.Since(begun) > time.Second {
					t.Fatal("the backoff that the upstream asked for was not applied")
				}
			}
		})
	}
}

// serveOne serves a single request of a caller, and closes the returned channel when the gateway has
// answered it or has noticed that the caller disconnected.
func (f *fixture) serveOne() (ended <-chan struct{}) {
	signal := make(chan struct{})
	f.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		context.AfterFunc(r.Context(), func() { close(signal) })
		f.gateway.ServeHTTP(w, r)
	}))
	f.t.Cleanup(f.server.Close)
	return signal
}
