package gateway

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// lastTestEvent is the number of events of a whole stream in these tests.
const lastTestEvent = 40

// engine is a fake model engine that can copy the memory of a generation. Its answers consist of
// the events 1 to lastTestEvent.
type engine struct {
	*upstream
	f *fixture

	mu      sync.Mutex
	stopped chan struct{}
	// eventInterval is the time between two events.
	eventInterval time.Duration
	// copies are the answers to successive copy commands; the last one is repeated.
	copies []protocol.CopyResult
	// refuse is the number of attempts to resume from a copy that are refused without a run.
	refuse int
	// refuseRest is the number of attempts to resume without a copy that are refused without a run.
	refuseRest int
	// breakAfter breaks off the first answer after this event, in the middle of the next.
	breakAfter int
	// copyWait, if set, delays the answers to copy commands until it is closed.
	copyWait chan struct{}
	commands []string
	// commandCount counts the commands, including those whose answers copyWait delays.
	commandCount int
	// releases counts the commands to release a copy.
	releases int
}

// released returns the number of commands to release a copy.
func (e *engine) released() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.releases
}

func (f *fixture) addEngine(id string) *engine { return f.addEngineTo("llm", id) }

// addEngineTo starts an engine of a service.
func (f *fixture) addEngineTo(service, id string) *engine {
	e := &engine{f: f, stopped: make(chan struct{}), eventInterval: time.Millisecond}
	e.upstream = f.add(service, id, e.serve)
	return e
}

// crash breaks off the answers in progress; later requests are served.
func (e *engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.stopped)
	e.stopped = make(chan struct{})
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	switch {
	case strings.HasPrefix(r.URL.Path, "/copy"):
		e.serveCopy(w, r)
	case r.URL.Path == "/report":
		_, _ = io.WriteString(w, "serving")
	default:
		e.serveStream(w, r)
	}
}

// commandsArrived returns the number of commands to copy or to release a copy.
func (e *engine) commandsArrived() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.commandCount
}

func (e *engine) serveCopy(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.commandCount++
	e.mu.Unlock()
	if e.copyWait != nil && r.Method == http.MethodPost {
		e.f.holdUntil(e.copyWait)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if r.Method == http.MethodDelete {
		e.releases++
	}
	e.commands = append(e.commands, r.URL.RawQuery)
	result := e.copies[0]
	if len(e.copies) > 1 {
		e.copies = e.copies[1:]
	}
	if r.URL.Query().Get("last") == "true" {
		close(e.stopped)
	}
	_ = json.NewEncoder(w).Encode(result)
}

func (e *engine) serveStream(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	refused := r.Header.Get(testFrom) != "" && e.refuse > 0
	if refused {
		e.refuse--
	}
	if r.Header.Get(testLastEvent) != "" && r.Header.Get(testFrom) == "" && e.refuseRest > 0 {
		e.refuseRest--
		refused = true
	}
	breakAfter, stopped := e.breakAfter, e.stopped
	e.breakAfter = 0
	e.mu.Unlock()
	if refused {
		serveNotRun(w, r)
		return
	}
	w.Header().Set(testProof, e.id)
	from, _ := strconv.Atoi(r.Header.Get(testLastEvent))
	for i := from + 1; i <= lastTestEvent; i++ {
		select {
		case <-stopped:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		case <-time.After(e.eventInterval):
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", i)
		if i == breakAfter {
			_, _ = fmt.Fprintf(w, "id: %d\nda", i+1)
		}
		_ = http.NewResponseController(w).Flush()
		if i == breakAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= lastTestEvent; i++ {
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// leave marks an engine as leaving by an update of its record.
func (f *fixture) leave(id string) {
	for _, r := range f.records {
		if r.Name == id {
			r.Leaving = true
			f.fleet.Update([]fleet.Record{r}, nil, false, time.Time{})
		}
	}
}

func TestStreamIsPassedOnWhole(t *testing.T) {
	f := newFixture(t)
	f.addEngine("e")
	got := f.ask(pathStream)
	if got.err != nil || got.body != wholeStream() || got.header.Get(testProof) != "e" {
		t.Errorf("%v, %d bytes, proof %q; want the engine's whole answer", got.err, len(got.body), got.header.Get(testProof))
	}
}

// A broken stream must not look complete, and no part of an event may be passed on.
func TestBrokenStreamIsCutAtAnEvent(t *testing.T) {
	f := newFixture(t)
	e, other := f.addEngine("e"), f.addEngine("other")
	e.breakAfter, other.breakAfter = 5, 5
	got := f.ask(pathStream)
	if got.err == nil {
		t.Error("a broken stream looks complete")
	}
	if want := wholeStream()[:strings.Index(wholeStream(), "id: 6\n")]; got.body != want {
		t.Errorf("the caller got %q, want the first five events", got.body)
	}
	if n := e.runs() + other.runs(); n != 1 {
		t.Errorf("%d runs of a generation that may run once", n)
	}
}

func TestResumableStreamResumesElsewhere(t *testing.T) {
	f := newFixture(t)
	for _, id := range []string{"a", "b", "c"} {
		f.addEngine(id).breakAfter = 7
	}
	got := f.ask(pathResume)
	if got.err != nil || got.body != wholeStream() {
		t.Errorf("%v, %q; want every event once", got.err, got.body)
	}
}

// TestResumedStreamWithoutARestFails guards against a 502 for a caller that had the last event of a stream,
// but not the end of its answer.
func TestResumedStreamWithoutARestFails(t *testing.T) {
	f := newFixture(t)
	engines := []*engine{f.addEngine("a"), f.addEngine("b")}
	got := f.ask(pathResume, func(r *http.Request) { r.Header.Set(testLastEvent, strconv.Itoa(lastTestEvent)) })
	if got.err != nil || got.status != http.StatusOK || got.body != "" || got.header.Get(testProof) == "" {
		t.Errorf("%d, %v, %q, proof %q; want an empty answer of an engine", got.status, got.err, got.body, got.header.Get(testProof))
	}
	if n := engines[0].runs() + engines[1].runs(); n != 1 {
		t.Errorf("%d runs, want one", n)
	}
}

func TestRefusedStreamGoesToAnotherEngine(t *testing.T) {
	f := newFixture(t)
	f.add("llm", "full", serveNotRun)
	f.addEngine("e")
	for range 6 {
		if got := f.ask(pathStream); got.body != wholeStream() {
			t.Fatalf("status %d, %v", got.status, got.err)
		}
	}
}

// Every event of a generation on a leaving engine must reach the caller once and in order, or the
// stream must visibly break off.
func TestMove(t *testing.T) {
	copied := func(handle string) protocol.CopyResult { return protocol.CopyResult{Handle: handle} }
	no := func(o protocol.CopyOutcome, handle string) protocol.CopyResult {
		return protocol.CopyResult{Outcome: o, Handle: handle}
	}
	for _, tc := range []struct {
		name     string
		copies   []protocol.CopyResult
		refuse   int
		whole    bool
		commands int
		from     string
	}{
		{"the stream resumes from the first copy", []protocol.CopyResult{copied("h1"), copied("h2")}, 0, true, 2, "h1"},
		{"the stream resumes from the second copy when the first is refused", []protocol.CopyResult{copied("h1"), copied("h2")}, 1, true, 2, "h2"},
		{"another target is tried when one has no room", []protocol.CopyResult{no(protocol.NoRoom, ""), copied("h1"), copied("h2")}, 0, true, 3, "h1"},
		{"the command is repeated when another copy is in progress", []protocol.CopyResult{no(protocol.CopyInProgress, ""), copied("h1"), copied("h2")}, 0, true, 3, "h1"},
		{"the stream stays when no target has room", []protocol.CopyResult{no(protocol.NoRoom, "")}, 0, true, 2, ""},
		{"the generation has ended meanwhile", []protocol.CopyResult{no(protocol.NoSuchGeneration, "")}, 0, true, 1, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			engines := map[string]*engine{}
			for _, id := range []string{"a", "b", "c"} {
				e := f.addEngine(id)
				e.copies, e.refuse, e.eventInterval = tc.copies, tc.refuse, 4*time.Millisecond
				engines[id] = e
			}
			result := make(chan answer, 1)
			go func() { result <- f.ask(pathStream) }()
			first := f.waitRunning()
			time.Sleep(20 * time.Millisecond)
			f.leave(first)
			got := <-result
			if whole := got.err == nil && got.body == wholeStream(); whole != tc.whole {
				t.Errorf("whole %v (%v), want %v: %q", whole, got.err, tc.whole, got.body)
			}
			source := engines[first]
			source.mu.Lock()
			defer source.mu.Unlock()
			if len(source.commands) != tc.commands {
				t.Errorf("copy commands %v, want %d", source.commands, tc.commands)
			}
			if from := f.resumedFrom(engines, first); from != tc.from {
				t.Errorf("resumed from copy %q, want %q", from, tc.from)
			}
		})
	}
}

// waitRunning waits until a stream runs and returns its engine.
func (f *fixture) waitRunning() string {
	f.t.Helper()
	for range 2000 {
		if ids := f.gateway.StreamingEngines(); len(ids) > 0 {
			return ids[0]
		}
		time.Sleep(time.Millisecond)
	}
	f.t.Fatal("no stream runs")
	return ""
}

// resumedFrom returns the copy from which the stream was last resumed.
func (f *fixture) resumedFrom(engines map[string]*engine, first string) string {
	from := ""
	for id, e := range engines {
		if id == first {
			continue
		}
		for i := range e.runs() {
			from = max(from, e.header(i).Get(testFrom))
		}
	}
	return from
}

// A generation whose engine began to leave before the first event must be moved as well.
func TestMoveOfAStreamThatBeginsOnALeavingEngine(t *testing.T) {
	f := newFixture(t)
	a := f.addEngine("a")
	a.copies, a.eventInterval = []protocol.CopyResult{{Handle: "h1"}, {Handle: "h2"}}, 10*time.Millisecond
	result := make(chan answer, 1)
	go func() { result <- f.ask(pathStream) }()
	f.waitRunning()
	f.addEngine("b")
	f.leave("a")
	if got := <-result; got.err != nil || got.body != wholeStream() {
		t.Errorf("%v, %q; want every event once", got.err, got.body)
	}
	if !f.recorded(events.StreamMoved) {
		t.Error("the stream was not moved")
	}
}

func TestWholeEvents(t *testing.T) {
	for _, tc := range []struct {
		name, in string
		want     int
	}{
		{"none", "id: 1\ndata: x\n", 0},
		{"one", "id: 1\ndata: x\n\n", 15},
		{"one and a part", "id: 1\ndata: x\n\nid: 2\n", 15},
		{"two", "data: x\n\ndata: y\n\n", 18},
		{"with carriage returns", "data: x\r\n\r\nda", 11},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := wholeEvents([]byte(tc.in)); got != tc.want {
				t.Errorf("%d bytes, want %d", got, tc.want)
			}
		})
	}
}

// An engine that fails at once looks idle and attracts requests. Since the generations may not be
// repeated, one failure has to suffice for the others to go to another engine.
func TestEngineThatFailsAtOnceGetsOneGeneration(t *testing.T) {
	f := newFixture(t)
	bad := f.add("llm", "bad", serveError)
	good := f.addEngine("good")
	f.gateway.loads.setPeer("other", map[string]gossip.Load{"good": {Running: 4, Tokens: 40000}})
	failed := 0
	for range 30 {
		if a := f.ask(pathStream); a.status != http.StatusOK {
			failed++
		}
	}
	if failed > 1 || bad.runs() > 1 {
		t.Errorf("%d generations failed, %d reached the failing engine, want at most 1", failed, bad.runs())
	}
	if good.runs() < 29 {
		t.Errorf("%d generations reached the other engine, want at least 29", good.runs())
	}
}

// An engine that accepts requests but starts none has to be marked as faulty with the first one,
// unless it reports prompts being read or requests waiting.
func TestEngineThatStaysSilentGetsNoMore(t *testing.T) {
	for _, tc := range []struct {
		name, report string
		faulty       bool
	}{
		{"no report", "", true},
		{"it reports no waiting requests", "serving", true},
		{"it reports that it reads prompts", "reading", false},
		{"it reports waiting requests", "waiting", false},
	} {
		t.Run(tc.name, func(t *testing.T) { testSilentEngine(t, tc.report, tc.faulty) })
	}
}

// testSilentEngine lets an engine accept a generation and not begin it. The engine answers state
// queries with report, or not at all if report is empty.
func testSilentEngine(t *testing.T, report string, faulty bool) {
	t.Helper()
	f := newFixture(t)
	release := make(chan struct{})
	defer close(release)
	f.add("llm", "mute", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" && report != "" {
			_, _ = io.WriteString(w, report)
			return
		}
		select {
		case <-release:
		case <-r.Context().Done():
		}
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+pathStream, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(testID, "r-mute")
	r.Header.Set(testKey, "key")
	go func() {
		if resp, err := f.server.Client().Do(r); err == nil {
			_ = resp.Body.Close()
		}
	}()
	deadline := time.Now().Add(5 * time.Second)
	for !f.recorded(events.StreamStartsLate) {
		if time.Now().After(deadline) {
			t.Fatal("the late start of the generation is not logged")
		}
		time.Sleep(time.Millisecond)
	}
	deadline = time.Now().Add(2 * queryTimeout)
	for len(f.fleet.Faults()) == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	u, _ := f.fleet.Get("mute")
	if got := u.Suspect(time.Now()); got != faulty {
		t.Errorf("the engine is marked as faulty: %v, want %v", got, faulty)
	}
	if got := len(f.fleet.Faults()); (got == 1) != faulty {
		t.Errorf("other entries are informed of %d faults", got)
	}
}

// An engine that starts a generation late, while its state is being queried, must not be marked as
// faulty. Its report arrives after the first event and states that nothing waits. Stopping the
// timer that triggers the query does not cancel a query in progress.
func TestEngineThatStartsDuringStateQueryIsNotMarkedFaulty(t *testing.T) {
	f := newFixture(t)
	asked, passed := make(chan struct{}), make(chan struct{})
	f.add("llm", "late", func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/report" {
			close(asked)
			f.holdUntil(passed)
			_, _ = io.WriteString(w, "serving")
			return
		}
		f.holdUntil(asked)
		w.Header().Set(testProof, "proof")
		_, _ = io.WriteString(w, "id: 1\n\n")
		_ = http.NewResponseController(w).Flush()
		f.holdUntil(passed)
	})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.server.URL+pathStream, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(testID, "r-late")
	r.Header.Set(testKey, "key")
	resp, err := f.server.Client().Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.ReadFull(resp.Body, make([]byte, len("id: 1\n\n"))); err != nil {
		t.Fatal(err)
	}
	close(passed)
	for deadline := time.Now().Add(2 * queryTimeout); !f.recorded(events.UpstreamAsked); {
		if time.Now().After(deadline) {
			t.Fatal("the engine's report is not logged")
		}
		time.Sleep(time.Millisecond)
	}
	// The gateway acts on the report within a few instructions after it logs it.
	time.Sleep(20 * time.Millisecond)
	if got := len(f.fleet.Faults()); got != 0 {
		t.Errorf("other entries are informed of %d faults", got)
	}
}

// Targets of moves are drawn at random, so that entries that have the same loads do not all send
// their copies to the same engine.
func TestTargetsOfMovesAreSpread(t *testing.T) {
	testTargetsAreSpread(t, func(i int) gossip.Load { return gossip.Load{Running: 1, Tokens: 1000 * i, Held: 1000 * i} })
}

// An engine has to be a target as long as it has room now, even if its streams would not fit when
// all of them reach their expected length: they end one by one. Otherwise a service under high load
// has no targets, and all entries send their copies to the last engine that fills up.
func TestTargetsOfMovesAreJudgedByHeldTokens(t *testing.T) {
	testTargetsAreSpread(t, func(i int) gossip.Load {
		return gossip.Load{Running: 6, Tokens: 99000 + 1000*i, Held: 60000 + 1000*i}
	})
}

// testTargetsAreSpread draws targets among eight engines of the source's zone and eight of another
// zone. Seven engines of the source's zone have the given loads, and the eighth has no room.
func testTargetsAreSpread(t *testing.T, load func(i int) gossip.Load) {
	t.Helper()
	f := newFixture(t)
	var records []fleet.Record
	for i := range 8 {
		records = append(records, fleet.Record{Name: fmt.Sprintf("near-%d", i), Service: "llm", Zone: "a"}, fleet.Record{Name: fmt.Sprintf("far-%d", i), Service: "llm", Zone: "b"})
	}
	f.fleet.Update(records, nil, true, time.Time{})
	loads := map[string]gossip.Load{"near-0": {Running: 1, Tokens: 99000, Held: 99000}}
	for i := 1; i < 8; i++ {
		loads[fmt.Sprintf("near-%d", i)] = load(i)
	}
	f.gateway.loads.setPeer("other", loads)
	s := &stream{g: f.gateway, rq: &request{call: protocol.Call{Prompt: 1000, MaxOutput: 1000}, route: &routetable.Route{}, service: &routetable.Service{Name: "llm", Engine: &routetable.Engine{Slots: 8, MemoryTokens: 100000}}}}
	drawn := map[string]int{}
	for range 700 {
		u, ok := f.gateway.chooseTarget(s, fleet.Upstream{Record: fleet.Record{ID: "source", Name: "source", Zone: "a"}}, nil)
		if !ok {
			t.Fatal("no target")
		}
		drawn[u.ID]++
	}
	for id, n := range drawn {
		if !strings.HasPrefix(id, "near-") || id == "near-0" {
			t.Errorf("%s was drawn, which is in another zone or has no room", id)
		}
		if n > 200 {
			t.Errorf("%s was drawn %d times in 700, want about 100", id, n)
		}
	}
	if len(drawn) != 7 {
		t.Errorf("drawn: %v, want all seven engines with room", drawn)
	}
}

// A copy that is completed after its generation has ended occupies memory of its engine, so it
// must be released.
func TestCopyOfAnEndedGenerationIsReleased(t *testing.T) {
	f := newFixture(t)
	a, b := f.addEngine("a"), f.addEngine("b")
	a.copies = []protocol.CopyResult{{Handle: "h1"}}
	b.copies = a.copies
	from, _ := f.fleet.Get("a")
	target, _ := f.fleet.Get("b")
	s := &stream{g: f.gateway, ended: true, at: from, rq: &request{call: protocol.Call{ID: "r"}, caller: t.Context(), service: &routetable.Service{Name: "llm", Engine: &routetable.Engine{}}}}
	if f.gateway.moveTo(s, from, target, "its engine leaves") {
		t.Error("another target would be tried")
	}
	deadline := time.Now().Add(5 * time.Second)
	for released := false; !released; {
		if time.Now().After(deadline) {
			t.Fatal("the copy is not released at its engine")
		}
		time.Sleep(time.Millisecond)
		b.mu.Lock()
		released = len(b.commands) == 1
		b.mu.Unlock()
	}
}

// TestRefusalOfAnotherRequest guards against a generation that runs twice, or gets the promise that it did not run,
// because the refusal of another request on its connection is taken for its own.
func TestRefusalOfAnotherRequest(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusNotFound} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := newFixture(t)
			serve := func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set(testID, "other")
				if status == http.StatusServiceUnavailable {
					w.Header().Set(testNotRun, "1")
				}
				w.WriteHeader(status)
			}
			a, b := f.add("llm", "a", serve), f.add("llm", "b", serve)
			if got := f.ask(pathStream); got.status != http.StatusBadGateway || a.runs()+b.runs() != 1 {
				t.Errorf("status %d, %d runs; want 502 after one run", got.status, a.runs()+b.runs())
			}
		})
	}
}
