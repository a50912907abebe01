package gateway

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
)

// answeringAs answers as another handler does, with headers set before.
func answeringAs(serve http.HandlerFunc, header ...string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		for i := 0; i+1 < len(header); i += 2 {
			w.Header().Set(header[i], header[i+1])
		}
		serve(w, r)
	}
}

// serveUnable does not say whether the request ran.
func serveUnable(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusServiceUnavailable)
}

// An upstream that said in an answer that it leaves went on getting requests until the store or a
// report told of the leave.
func TestUpstreamThatSaidItLeavesGetsNoRequests(t *testing.T) {
	for _, tc := range []struct {
		name   string
		path   string
		answer http.HandlerFunc
	}{
		{"in a good answer", pathOnce, serveOK},
		{"in a failure", pathOnce, serveError},
		{"in a refusal", pathOnce, serveNotRun},
		{"in an answer without proof", pathOnce, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) }},
		{"in an answer that breaks off", pathSafe, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("ok"))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			leaves := f.add("app", "leaves", answeringAs(tc.answer, testLeaving, "1"))
			f.add("app", "stays", serveOK)
			for leaves.runs() == 0 {
				f.ask(tc.path)
			}
			for range 60 {
				f.ask(tc.path)
			}
			if n := leaves.runs(); n != 1 {
				t.Errorf("it got %d requests, want none after its answer", n)
			}
			if known := f.fleet.KnownLeaving(); len(known) != 1 || known[0] != "leaves" {
				t.Errorf("other entries are told of %v, want of the one that leaves", known)
			}
		})
	}
}

// The same of an engine: its stream tells it at the head, seconds before its end.
func TestEngineThatSaidItLeavesAtTheHeadOfAStream(t *testing.T) {
	f := newFixture(t)
	leaves := &engine{stopped: make(chan struct{}), pace: 20 * time.Millisecond, copies: []protocol.CopyResult{{Outcome: protocol.NoRoom}}}
	leaves.upstream = f.add("llm", "leaves", answeringAs(leaves.serve, testLeaving, "1"))
	f.addEngine("stays")
	done := make(chan struct{})
	go func() {
		defer close(done)
		for leaves.runs() == 0 {
			f.ask(pathStream)
		}
	}()
	for leaves.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	before := leaves.runs()
	var asks sync.WaitGroup
	for range 8 {
		asks.Go(func() { f.ask(pathStream) })
	}
	asks.Wait()
	if n := leaves.runs() - before; n != 0 {
		t.Errorf("it got %d generations after the head of its answer, want none", n)
	}
	<-done
}

// An upstream that asked for a time of rest got requests 2 s later at the latest, and all that came
// once it had answered one of them.
func TestUpstreamThatAskedForRestGetsNoRequests(t *testing.T) {
	const rest = 2600 * time.Millisecond
	for _, tc := range []struct {
		name   string
		answer http.HandlerFunc
	}{
		{"in a refusal", serveNotRun},
		{"in a 503 that says nothing of the request", serveUnable},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t)
			var turned atomic.Int64
			rests := f.add("app", "rests", func(w http.ResponseWriter, r *http.Request) {
				if turned.Add(1) == 1 {
					answeringAs(tc.answer, testBack, "2600")(w, r)
					return
				}
				serveOK(w, r)
			})
			f.add("app", "works", serveOK)
			for rests.runs() == 0 {
				f.ask(pathOnce)
			}
			asked := time.Now()
			for time.Since(asked) < rest-100*time.Millisecond {
				if got := f.ask(pathOnce); got.status != http.StatusOK {
					t.Fatalf("status %d, want 200 of the other one", got.status)
				}
				time.Sleep(5 * time.Millisecond)
			}
			if n := rests.runs() - 1; n != 0 {
				t.Errorf("it got %d requests while it rested, want none", n)
			}
			for time.Since(asked) < rest+time.Second {
				f.ask(pathOnce)
				time.Sleep(5 * time.Millisecond)
			}
			if rests.runs() == 1 {
				t.Error("it gets no work within a second of the end of its rest")
			}
		})
	}
}

// While all upstreams of a service rested, a request went to the one that was avoided least.
func TestAllUpstreamsRest(t *testing.T) {
	f := newFixture(t)
	var list []*upstream
	for _, u := range []struct{ id, back string }{{"a", "1500"}, {"b", "2500"}} {
		list = append(list, f.add("app", u.id, answeringAs(serveNotRun, testBack, u.back)))
	}
	first := time.Now()
	for list[0].runs() == 0 || list[1].runs() == 0 {
		f.ask(pathOnce)
	}
	asked := time.Now()
	for time.Since(asked) < time.Second {
		begun := time.Now()
		got := f.ask(pathOnce)
		if took := time.Since(begun); got.status != http.StatusServiceUnavailable || took > 100*time.Millisecond {
			t.Fatalf("status %d after %s, want 503 within 100 ms", got.status, took)
		}
		ms, err := strconv.Atoi(got.header.Get(testBack))
		back := begun.Add(time.Duration(ms) * time.Millisecond)
		// Times are cut to ms.
		if least, most := first.Add(1500*time.Millisecond), asked.Add(1600*time.Millisecond+placement.ReturnWithin); err != nil || back.Before(least.Add(-100*time.Millisecond)) || back.After(most) {
			t.Fatalf("come back %s after the first rest ends, want at its end, one after another", back.Sub(least))
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, u := range list {
		if n := u.runs(); n > 2 {
			t.Errorf("%s got %d requests while it rested", u.id, n-1)
		}
	}
}

// A row that was written before the answer, or read late, brought an upstream back that an entry
// knew only from another one to leave.
func TestRowFromBeforeTheLeaveBringsNothingBack(t *testing.T) {
	f := newFixture(t)
	leaves := f.add("app", "leaves", serveOK)
	f.add("app", "stays", serveOK)
	f.fleet.PeerLeaving("other entry", []string{"leaves"})
	f.fleet.Update(f.records, nil, true, time.Time{})
	for range 20 {
		f.ask(pathOnce)
	}
	if n := leaves.runs(); n != 0 {
		t.Errorf("it got %d requests, want none", n)
	}
	if u, _ := f.fleet.Get("leaves"); u.State() != fleet.Leaving {
		t.Error("it does not count as leaving")
	}
}

// The same of an engine, whose generations are chosen for otherwise, while others work and while it
// is the only one.
func TestEngineThatAskedForRestGetsNoGenerations(t *testing.T) {
	for _, tc := range []struct {
		name  string
		other bool
		want  int
	}{{"beside another one", true, http.StatusOK}, {"alone", false, http.StatusServiceUnavailable}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			rests := f.add("llm", "rests", answeringAs(serveNotRun, testBack, "1500"))
			if tc.other {
				f.addEngine("works")
			}
			for rests.runs() == 0 {
				f.ask(pathStream)
			}
			asked := time.Now()
			for time.Since(asked) < time.Second {
				begun := time.Now()
				got := f.ask(pathStream)
				if got.status != tc.want {
					t.Fatalf("status %d, want %d", got.status, tc.want)
				}
				if took := time.Since(begun); !tc.other && (took > 100*time.Millisecond || got.header.Get(testBack) == "") {
					t.Fatalf("refused after %s with %q to come back, want within 100 ms with a time", took, got.header.Get(testBack))
				}
				time.Sleep(10 * time.Millisecond)
			}
			if n := rests.runs() - 1; n != 0 {
				t.Errorf("it got %d generations while it rested, want none", n)
			}
		})
	}
}

// A slow request was sent to an upstream that rested as well.
func TestNoHedgeToAnUpstreamThatRests(t *testing.T) {
	f := newFixture(t)
	rests := f.add("app", "rests", answeringAs(serveNotRun, testBack, "2000"))
	for rests.runs() == 0 {
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
	if n := rests.runs(); n != 1 {
		t.Errorf("it got %d requests, want none while it rests", n-1)
	}
}

// A good answer that was under way when the upstream asked for rest ended the rest.
func TestAnswerUnderWayEndsNoRest(t *testing.T) {
	f := newFixture(t)
	var turns atomic.Int64
	held := make(chan struct{})
	rests := f.add("app", "rests", func(w http.ResponseWriter, r *http.Request) {
		switch turns.Add(1) {
		case 1:
			<-held
			serveOK(w, r)
		case 2:
			answeringAs(serveNotRun, testBack, "2000")(w, r)
		default:
			serveOK(w, r)
		}
	})
	var first sync.WaitGroup
	first.Go(func() { f.ask(pathOnce) })
	for rests.runs() == 0 {
		time.Sleep(time.Millisecond)
	}
	f.ask(pathOnce)
	close(held)
	first.Wait()
	for range 20 {
		f.ask(pathOnce)
	}
	if n := rests.runs(); n != 2 {
		t.Errorf("it got %d requests while it rested, want none", n-2)
	}
}

// What an engine says in its answer to an order to give up a copy was passed over.
func TestAnswerToAReleaseSaysWhatTheEngineTakes(t *testing.T) {
	f := newFixture(t)
	f.add("llm", "holds", answeringAs(func(http.ResponseWriter, *http.Request) {}, testLimit, "2", testLeaving, "1"))
	u, _ := f.fleet.Get("holds")
	f.gateway.release("r", heldCopy{copy: protocol.Copy{Handle: "h"}, at: u})
	for begun := time.Now(); !f.gateway.limits.Any() || len(f.fleet.KnownLeaving()) == 0; time.Sleep(time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatalf("limit known: %v; leaving %v", f.gateway.limits.Any(), f.fleet.KnownLeaving())
		}
	}
}

// A second try that lost was given up before its answer had come, so that its upstream's asking for
// rest, or its leave, was heard by nobody.
func TestAnswerOfATryThatLostIsHeard(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(f *fixture, r *http.Request)
	}{
		{"a hedge", func(*fixture, *http.Request) {}},
		{"of a caller who left", func(_ *fixture, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), 55*time.Millisecond)
			t.Cleanup(cancel)
			*r = *r.WithContext(ctx)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			both := make(chan struct{}, 2)
			// Whoever is asked first takes its time; the other one asks for rest a little later than the
			// first answer comes.
			var first atomic.Bool
			serve := func(w http.ResponseWriter, r *http.Request) {
				if !first.Swap(true) {
					<-both
					time.Sleep(10 * time.Millisecond)
					serveOK(w, r)
					return
				}
				both <- struct{}{}
				time.Sleep(25 * time.Millisecond)
				answeringAs(serveNotRun, testBack, "2000")(w, r)
			}
			f.add("app", "a", serve)
			f.add("app", "b", serve)
			f.ask(pathSafe, func(r *http.Request) { tc.leave(f, r) })
			for begun := time.Now(); !f.fleet.AnyBackOff(); time.Sleep(time.Millisecond) {
				if time.Since(begun) > time.Second {
					t.Fatal("nobody heard that the upstream wants rest")
				}
			}
		})
	}
}
