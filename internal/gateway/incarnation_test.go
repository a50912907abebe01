package gateway

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/protocol"
)

// record returns the record of an upstream that the test has added.
func (f *fixture) record(name string) fleet.Record {
	f.t.Helper()
	for _, r := range f.records {
		if r.Name == name {
			return r
		}
	}
	f.t.Fatalf("no upstream %s", name)
	return fleet.Record{}
}

// restart starts a new incarnation of an upstream by an update of its record, and returns it.
func (f *fixture) restart(name string, born int64) fleet.Upstream {
	f.t.Helper()
	r := f.record(name)
	r.Born, r.Version = born, born
	f.fleet.Update([]fleet.Record{r}, nil, false, time.Time{})
	for _, u := range f.fleet.Available(r.Service) {
		if u.Name == name {
			return u
		}
	}
	f.t.Fatalf("%s is not known after its restart", name)
	return fleet.Upstream{}
}

// A report must apply only to the incarnation of the engine that made it.
func TestReportOfAnotherIncarnation(t *testing.T) {
	for _, tc := range []struct {
		name, report string
		born         int64
		want         fleet.State
		counts       bool
	}{
		{"the incarnation that was queried", "leaving waiting born 200", 200, fleet.Leaving, true},
		{"an earlier incarnation", "leaving waiting born 100", 200, fleet.Serving, false},
		{"a later incarnation", "leaving waiting born 300", 200, fleet.Serving, false},
		{"a report without a start time", "leaving waiting", 200, fleet.Leaving, true},
		{"a record without a start time", "leaving waiting born 200", 0, fleet.Leaving, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.add("llm", "a", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, tc.report) })
			u := f.restart("a", tc.born)
			state, err := f.gateway.query(t.Context(), u, "test")
			if got := err == nil && state.Waiting == 1; got != tc.counts {
				t.Errorf("%+v, %v; want the report applied: %v", state, err, tc.counts)
			}
			if u, _ = f.fleet.Get(u.ID); u.State() != tc.want {
				t.Errorf("state %d, want %d", u.State(), tc.want)
			}
		})
	}
}

// startGeneration requests a generation and waits until the caller has its first event.
func (f *fixture) startGeneration(path string) chan answer {
	f.t.Helper()
	result := make(chan answer, 1)
	before := f.generationsWithEvents()
	go func() { result <- f.ask(path) }()
	f.waitUntil("a generation has begun", func() bool { return f.generationsWithEvents() > before })
	return result
}

// generationsWithEvents returns the number of running generations of which the caller has an event.
func (f *fixture) generationsWithEvents() int {
	f.gateway.mu.Lock()
	defer f.gateway.mu.Unlock()
	n := 0
	for _, streams := range f.gateway.streams {
		for s := range streams {
			if s.eventCount() > 0 {
				n++
			}
		}
	}
	return n
}

// waitUntil waits until a condition is true.
func (f *fixture) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(signalTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// When an engine restarts under the same name, a generation of its earlier incarnation is lost as
// in a crash. The later incarnation must not count as failing for that, and no generation may be
// moved away from it.
func TestStreamsOnAnEndedIncarnation(t *testing.T) {
	for _, tc := range []struct {
		name, path string
		// breaksBefore and breaksAfter are set if the connections to the earlier incarnation
		// break, before or after the record of the later one arrives.
		breaksBefore, breaksAfter bool
		leaves                    bool
		whole                     bool
		runs                      int
	}{
		{"the connection breaks after the record of the later incarnation", pathStream, false, true, false, false, 1},
		{"the connection breaks before the record of the later incarnation", pathStream, true, false, false, false, 1},
		{"a resumable stream resumes at the later incarnation", pathResume, false, true, false, true, 2},
		{"the connection does not break", pathStream, false, false, false, true, 1},
		{"the earlier incarnation was leaving", pathStream, false, false, true, true, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			e := f.addEngine("a")
			e.copies, e.eventInterval = []protocol.CopyResult{{Outcome: protocol.NoSuchGeneration}}, 5*time.Millisecond
			earlier := f.restart("a", 1)
			result := f.startGeneration(tc.path)
			if tc.breaksBefore {
				e.crash()
				f.waitUntil("the break is noticed", func() bool { return len(f.gateway.StreamingEngines()) == 0 })
			}
			if tc.leaves {
				f.fleet.MarkLeaving(earlier.ID, "test")
			}
			later := f.restart("a", 2)
			if load := f.gateway.loads.total(later.ID); load != (gossip.Load{}) {
				t.Errorf("the later incarnation has the load %+v of the earlier one", load)
			}
			if tc.breaksAfter {
				e.crash()
			}
			got := <-result
			if whole := got.err == nil && got.body == wholeStream(); whole != tc.whole {
				t.Errorf("whole %v (%v), want %v", whole, got.err, tc.whole)
			}
			if e.runs() != tc.runs {
				t.Errorf("%d runs, want %d", e.runs(), tc.runs)
			}
			later, known := f.fleet.Get(later.ID)
			if !known || later.State() != fleet.Serving || later.AvoidUntil().After(time.Now()) {
				t.Errorf("%+v, want the later incarnation in use", later)
			}
		})
	}
}

// An evacuation must end when its engine restarts: the later incarnation does not run the
// generations that would be moved.
func TestNothingIsMovedFromAnEndedIncarnation(t *testing.T) {
	f := newFixture(t)
	a := f.addEngine("a")
	a.copies, a.eventInterval, a.copyWait = []protocol.CopyResult{{Outcome: protocol.NoSuchGeneration}}, 20*time.Millisecond, make(chan struct{})
	earlier := f.restart("a", 1)
	var results []chan answer
	for range 3 {
		result := f.startGeneration(pathStream)
		results = append(results, result)
	}
	f.addEngine("b")
	f.restart("a", 1)
	f.fleet.MarkLeaving(earlier.ID, "test")
	f.waitUntil("a copy command has arrived", func() bool { return a.commandsArrived() > 0 })
	f.restart("a", 2)
	close(a.copyWait)
	for _, result := range results {
		if got := <-result; got.body != wholeStream() {
			t.Errorf("%v, %q; want every event, which the earlier incarnation still sends", got.err, got.body)
		}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.commands) != 1 {
		t.Errorf("copy commands %v, want only the one that was in progress", a.commands)
	}
}

// When the target of a copy restarts during the copy, the copy is lost. The generation must not be
// stopped for it. The later incarnation must not get a command to release it, because it may hold a copy
// for another entry under the same handle.
func TestCopyToAnEndedIncarnation(t *testing.T) {
	f := newFixture(t)
	a := f.addEngine("a")
	a.copies = []protocol.CopyResult{{Handle: "h1"}, {Handle: "h2"}, {Handle: "h3"}}
	a.eventInterval, a.copyWait = 5*time.Millisecond, make(chan struct{})
	from := f.restart("a", 1)
	result := f.startGeneration(pathStream)
	b := f.addEngine("b")
	b.copies = []protocol.CopyResult{{}}
	f.restart("a", 1)
	f.restart("b", 1)
	f.fleet.MarkLeaving(from.ID, "test")
	f.waitUntil("a copy command has arrived", func() bool { return a.commandsArrived() > 0 })
	f.restart("b", 2)
	close(a.copyWait)
	if got := <-result; got.err != nil || got.body != wholeStream() {
		t.Errorf("%v, %q; want every event once", got.err, got.body)
	}
	if b.runs() != 1 || b.header(0).Get(testFrom) != "h2" {
		t.Errorf("%d runs at the target, want one from the copy that the later incarnation holds", b.runs())
	}
	time.Sleep(20 * time.Millisecond)
	// The copy that was not needed may be released.
	if n := b.released(); n > 1 {
		t.Errorf("%d copies released at the later incarnation, want only its own", n)
	}
}

// Complete copies are lost when the engine that holds them restarts. The later incarnation must
// not be asked to resume from them or to release them.
func TestCopiesHeldByAnEndedIncarnation(t *testing.T) {
	for _, tc := range []struct {
		name string
		// at are the engines that hold the first and the second copy.
		at   [2]string
		want string
	}{
		{"the first copy is lost", [2]string{"a", "b"}, "h2"},
		{"the second copy is lost", [2]string{"b", "a"}, "h1"},
		{"both copies are lost", [2]string{"a", "a"}, ""},
		{"no copy is lost", [2]string{"b", "b"}, "h1"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			a, b := f.addEngine("a"), f.addEngine("b")
			a.copies, b.copies = []protocol.CopyResult{{}}, []protocol.CopyResult{{}}
			held := map[string]fleet.Upstream{"a": f.restart("a", 1), "b": f.restart("b", 1)}
			s := &stream{g: f.gateway, rq: &request{}, copies: []heldCopy{
				{copy: protocol.Copy{Handle: "h1"}, at: held[tc.at[0]]}, {copy: protocol.Copy{Handle: "h2"}, at: held[tc.at[1]]},
			}}
			f.restart("a", 2)
			got, ok := s.takeCopy()
			if ok != (tc.want != "") || got.copy.Handle != tc.want {
				t.Errorf("resumes from %q (%v), want %q", got.copy.Handle, ok, tc.want)
			}
			s.end()
			time.Sleep(20 * time.Millisecond)
			if n := a.released(); n != 0 {
				t.Errorf("the later incarnation got %d commands to release a copy that it does not hold", n)
			}
		})
	}
}

// Plain calls that are in flight when their upstream restarts at the same address are lost as in
// a crash. Only repeatable calls may be sent to the later incarnation.
func TestCallsToAnEndedIncarnation(t *testing.T) {
	for _, tc := range []struct {
		name, path   string
		status, runs int
	}{
		{"a repeatable call", pathSafe, http.StatusOK, 2},
		{"a call that may run once", pathOnce, http.StatusBadGateway, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			began, restarted := make(chan struct{}), make(chan struct{})
			var first sync.Once
			a := f.add("app", "a", func(w http.ResponseWriter, r *http.Request) {
				crash := false
				first.Do(func() { crash = true })
				if crash {
					close(began)
					f.holdUntil(restarted)
					panic(http.ErrAbortHandler)
				}
				serveOK(w, r)
			})
			f.restart("a", 1)
			result := make(chan answer, 1)
			go func() { result <- f.ask(tc.path) }()
			f.waitSignal("the call has reached the upstream", began)
			later := f.restart("a", 2)
			close(restarted)
			if got := <-result; got.status != tc.status || a.runs() != tc.runs {
				t.Errorf("status %d after %d runs, want %d after %d", got.status, a.runs(), tc.status, tc.runs)
			}
			if u, _ := f.fleet.Get(later.ID); u.FailureRate() != 0 || u.AvoidUntil().After(time.Now()) {
				t.Errorf("%+v, want no failure of the later incarnation from the broken connection", u)
			}
			if got := a.header(0).Get(testUpstream); got != "a" {
				t.Errorf("the upstream is named %q on the wire, want its name without the incarnation", got)
			}
		})
	}
}

// Requests that this or another entry sent to an earlier incarnation must count neither as load
// nor as cached prompt parts of the later one, even if gossip about them arrives late.
func TestLoadAndPrefixesEndWithTheIncarnation(t *testing.T) {
	f := newFixture(t)
	f.addEngine("a")
	earlier := f.restart("a", 1)
	shared := []protocol.PromptPart{{ID: "p", Tokens: 500}}
	f.gateway.prefixes.note(earlier.ID, shared, time.Now())
	f.gateway.loads.add(earlier.ID, gossip.Load{Running: 1, Held: 10})
	f.gateway.SetPeerLoad("b", map[string]gossip.Load{earlier.ID: {Running: 3, Held: 30}})
	later := f.restart("a", 2)
	f.gateway.SetPeerLoad("b", map[string]gossip.Load{earlier.ID: {Running: 9, Held: 90}})
	c := f.gateway.candidates(f.fleet.Available("llm"), nil, time.Now())
	if len(c) != 1 || c[0].ID != later.ID || c[0].Load != (gossip.Load{}) || c[0].Rate != 0 {
		t.Errorf("candidates %+v, want the later incarnation without load", c)
	}
	if got := f.gateway.prefixes.cachedTokens(later.ID, shared, time.Now()); got != 0 {
		t.Errorf("%d tokens are cached at the later incarnation, want 0", got)
	}
}
