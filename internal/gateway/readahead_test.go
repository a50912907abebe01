package gateway

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/link"
)

// testStreamEvents of testStreamEvent bytes each are several times what the kernel buffers of the
// connections in these tests. Their size is not a power of two, so that buffers end within an event.
const (
	testStreamEvents = 900
	testStreamEvent  = 1000
)

// Guards against an upstream that finds its answer unread because a caller does not read, and against
// a changed order or end of the events. Without a budget the upstream waits, as before.
func TestStreamIsReadAheadOfItsCaller(t *testing.T) {
	tests := []struct {
		name  string
		limit int64
		// wantWritten is set if the engine is to get rid of its answer while the caller does not read.
		wantWritten bool
	}{
		{"with a budget", 16 << 20, true},
		{"without a budget", 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := newMemoryFixture(t, tt.limit)
			e := m.addSlowEngine("e", testStreamEvents, testStreamEvent)
			c := m.connect(pathStream, 0)
			resp := c.head()
			written := false
			select {
			case err := <-e.done:
				written = err == nil
			case <-time.After(unreadBeforeEviction):
			}
			if written != tt.wantWritten {
				t.Errorf("the engine has written its answer: %t (%d bytes), want %t", written, e.written.Load(), tt.wantWritten)
			}
			if got, err := io.ReadAll(resp.Body); err != nil || string(got) != e.whole() {
				t.Errorf("the caller got %d bytes, %v; want the whole stream of %d", len(got), err, len(e.whole()))
			}
		})
	}
}

// Guards against a queue without bound, and against events that are lost or swapped when it is full.
func TestReadAheadIsBounded(t *testing.T) {
	// Events that wait and do not count would use up the memory all the same.
	const wantAtLeast = 128 << 10
	tests := []struct {
		name              string
		limit             int64
		events, eventSize int
		// wantAtMost bounds the memory in use.
		wantAtMost int64
	}{
		{"longer than the queue", 16 << 20, 12000, testStreamEvent, maxReadAhead + firstBuffer},
		{"longer than the memory", 256 << 10, 12000, testStreamEvent, 256 << 10},
		// The buffer of the event reader doubles until an event fits.
		{"long events", 16 << 20, 40, 300 << 10, maxReadAhead + 2*(512<<10)},
		{"events of which only one fits", 16 << 20, 16, 700 << 10, maxReadAhead + 2*(1<<20)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			m := newMemoryFixture(t, tt.limit)
			e := m.addSlowEngine("e", tt.events, tt.eventSize)
			resp := m.connect(pathStream, 0).head()
			select {
			case err := <-e.done:
				t.Errorf("the engine has written more than the queue can hold, %v", err)
			case <-time.After(unreadBeforeEviction):
			}
			if got, err := io.ReadAll(resp.Body); err != nil || string(got) != e.whole() {
				t.Errorf("the caller got %d bytes, %v; want the whole stream of %d", len(got), err, len(e.whole()))
			}
			if most := m.maxUsed.Load(); most > tt.wantAtMost || most < wantAtLeast {
				t.Errorf("%d bytes were in use, want between %d and %d", most, int64(wantAtLeast), tt.wantAtMost)
			}
		})
	}
}

// Guards against events that are lost, repeated, swapped or overwritten when a caller stops and goes on
// reading, so that the stream is read ahead several times.
func TestCallerThatReadsInTurns(t *testing.T) {
	for _, size := range []int{testStreamEvent, 100 * testStreamEvent} {
		t.Run(fmt.Sprintf("events of %d bytes", size), func(t *testing.T) {
			t.Parallel()
			m := newMemoryFixture(t, 16<<20)
			e := m.addSlowEngine("e", 3*testStreamEvents*testStreamEvent/size, size)
			resp := m.connect(pathStream, 0).head()
			var got strings.Builder
			for range 4 {
				time.Sleep(5 * testSweepInterval)
				if _, err := io.CopyN(&got, resp.Body, int64(len(e.whole())/5)); err != nil {
					t.Fatal(err)
				}
			}
			if _, err := io.Copy(&got, resp.Body); err != nil || got.String() != e.whole() {
				t.Errorf("the caller got %d bytes, %v; want the whole stream of %d", got.Len(), err, len(e.whole()))
			}
		})
	}
}

// Guards against a generation that is resumed after an event that still waits for the caller, and
// against an incomplete stream that looks complete.
func TestBreakBehindWaitingEvents(t *testing.T) {
	for _, path := range []string{pathResume, pathStream} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			m := newMemoryFixture(t, 16<<20)
			engines := []*slowEngine{m.addSlowEngine("a", testStreamEvents, testStreamEvent), m.addSlowEngine("b", testStreamEvents, testStreamEvent)}
			const breakAfter = 600
			for _, e := range engines {
				e.breakAfter = breakAfter
			}
			resp := m.connect(path, 0).head()
			m.await("one answer has broken off", func() bool { return len(engines[0].done)+len(engines[1].done) == 1 })
			got, err := io.ReadAll(resp.Body)
			want, wantWhole := engines[0].whole(), path == pathResume
			if !wantWhole {
				want = want[:breakAfter*testStreamEvent]
			}
			if (err == nil) != wantWhole || string(got) != want {
				t.Errorf("the caller got %d bytes, %v; want %d", len(got), err, len(want))
			}
		})
	}
}

// Guards against an answer that counts as broken because its engine has ended by the time the caller has
// read the last event. Only the connection's end marks the end of such an answer.
func TestEndOfUnframedAnswerBehindWaitingEvents(t *testing.T) {
	m := newMemoryFixture(t, 16<<20)
	e := m.addSlowEngine("e", testStreamEvents, testStreamEvent)
	e.framed = false
	resp := m.connect(pathStream, 0).head()
	m.waitSignalErr("the answer is written", e.done)
	// The gateway checks then whether the engine still accepts connections.
	time.Sleep(10 * testSweepInterval)
	_ = m.lastServer.Listener.Close()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != e.whole() {
		t.Errorf("the caller got %d bytes, %v; want the whole stream of %d", len(got), err, len(e.whole()))
	}
}

// waitSignalErr waits for an answer to be written.
func (m *memoryFixture) waitSignalErr(what string, done <-chan error) {
	m.t.Helper()
	select {
	case err := <-done:
		if err != nil {
			m.t.Fatalf("%s: %v", what, err)
		}
	case <-time.After(signalTimeout):
		m.t.Fatalf("timed out waiting until %s", what)
	}
}

// Guards against a stream that runs on, or keeps its memory, after its caller has gone while events
// wait for it.
func TestCallerLeavesWaitingEvents(t *testing.T) {
	for name, holdAfter := range map[string]int{"engine that writes on": 0, "engine that is silent": testStreamEvents} {
		t.Run(name, func(t *testing.T) {
			m := newMemoryFixture(t, 16<<20)
			e := m.addSlowEngine("e", 4000, testStreamEvent)
			e.holdAfter = holdAfter
			c := m.connect(pathStream, 0)
			c.head()
			m.await("events wait", func() bool { return m.gateway.memory.Used() > maxReadAhead/2 })
			time.Sleep(5 * testSweepInterval)
			_ = c.Close()
			select {
			case err := <-e.done:
				if err == nil {
					t.Error("the engine wrote its whole answer")
				}
			case <-time.After(signalTimeout):
				t.Error("the connection to the engine stays open")
			}
			m.await("the request has ended", func() bool { return m.gateway.inFlight.Load() == 0 })
		})
	}
}

// stuckWriter is a ResponseWriter whose writes wait until the write deadline is set. Unlike net/http, it
// does not cancel the context of the request when a write fails.
type stuckWriter struct {
	header http.Header
	failed chan struct{}
}

func (w stuckWriter) Header() http.Header { return w.header }
func (w stuckWriter) WriteHeader(int)     {}
func (w stuckWriter) Flush()              {}
func (w stuckWriter) Write([]byte) (int, error) {
	<-w.failed
	return 0, os.ErrDeadlineExceeded
}

func (w stuckWriter) SetWriteDeadline(time.Time) error {
	close(w.failed)
	return nil
}

// Guards against an evicted request that does not end because its engine is silent.
func TestEvictionEndsSilentStream(t *testing.T) {
	m := newMemoryFixture(t, 16<<20)
	m.addSlowEngine("e", 4000, testStreamEvent).holdAfter = testStreamEvents
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer func() { _ = recover() }()
		r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, pathStream, http.NoBody)
		r.Header.Set(testID, "r")
		r.Header.Set(testKey, "key")
		m.gateway.ServeHTTP(stuckWriter{http.Header{}, make(chan struct{})}, r)
	}()
	m.await("events wait", func() bool { return m.gateway.memory.Used() > maxReadAhead/2 })
	m.clockAhead.Store(int64(callerWriteTimeout + time.Second))
	m.waitSignal("the request has ended", ended)
}

// Guards against the buffer of a long event that does not count, and against an engine that counts as
// broken because the gateway lacks memory.
func TestEventThatDoesNotFit(t *testing.T) {
	m := newMemoryFixture(t, 512<<10)
	m.addSlowEngine("e", 3, 700<<10)
	if got := m.ask(pathStream); got.status != http.StatusBadGateway {
		t.Errorf("status %d, %v; want 502", got.status, got.err)
	}
	if u, _ := m.fleet.Get("e"); u.FailureRate() > 0 || u.InBackOff(time.Now()) {
		t.Errorf("the engine has a failure rate of %v, in back-off: %t; want neither", u.FailureRate(), u.InBackOff(time.Now()))
	}
}

// Guards against waiting events whose memory is not taken for other responses.
func TestWaitingEventsAreEvicted(t *testing.T) {
	m := newMemoryFixture(t, 12<<20)
	m.addPlain("plain")
	m.addSlowEngine("e", 4000, testStreamEvent)
	resp := m.connect(pathStream, 0).head()
	m.await("events wait", func() bool { return m.gateway.memory.Used() > maxReadAhead/2 })
	time.Sleep(3 * unreadBeforeEviction / 2)
	other := m.gateway.memory.NewHolder(func() {})
	defer other.Close()
	other.Grow(900 << 10)
	if got := m.ask(pathSafe + "large"); got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Error("a cut stream looks complete")
	}
}

// numberedEvents is an answer with events that are numbered from 1 and never end.
type numberedEvents struct {
	next int
	rest []byte
}

func (e *numberedEvents) Read(b []byte) (int, error) {
	if len(e.rest) == 0 {
		e.next++
		e.rest = []byte(testEvent(e.next, testStreamEvent))
	}
	n := copy(b, e.rest)
	e.rest = e.rest[n:]
	return n, nil
}

// Guards against events that are overwritten while they are being written to a caller that does not
// read.
func TestReadAheadKeepsWhatIsWritten(t *testing.T) {
	m := newMemoryFixture(t, 16<<20)
	s := &stream{g: m.gateway, rq: &request{memory: m.gateway.newMemoryHolder(nil)}, cancel: func() {}}
	defer s.rq.memory.Close()
	a := s.newReadAhead(t.Context(), step{}, &link.Answer{Framed: true}, &numberedEvents{})
	defer a.close()
	var got strings.Builder
	for range 10 {
		b, err := a.next()
		if err != nil {
			t.Fatal(err)
		}
		before := string(b)
		a.beginWrite()
		// A sweep of the fixture begins to read ahead during the first write.
		m.await("the stream is read ahead", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return a.queued > maxReadAhead/2
		})
		if string(b) != before {
			t.Fatal("events were overwritten while they were being written")
		}
		a.endWrite()
		got.WriteString(before)
	}
	var want strings.Builder
	for i := 1; want.Len() < got.Len(); i++ {
		want.WriteString(testEvent(i, testStreamEvent))
	}
	if got.String() != want.String() {
		t.Error("events are missing or swapped")
	}
}

// endlessEvents is an answer whose events are read without delay.
type endlessEvents struct{}

func (endlessEvents) Read(b []byte) (int, error) {
	return copy(b, "id: 1\ndata: some tokens of an answer\n\n"), nil
}

// Guards against a cost for each event of a caller that reads at once. A second goroutine or an
// allocation for each event would count on VMs with a tenth of a core.
func TestEventsOfFastCallersCostNothing(t *testing.T) {
	m := newMemoryFixture(t, 16<<20)
	rq := &request{memory: m.gateway.newMemoryHolder(nil)}
	s := &stream{g: m.gateway, rq: rq}
	a := s.newReadAhead(t.Context(), step{}, &link.Answer{}, endlessEvents{})
	defer a.close()
	if n := testing.AllocsPerRun(1000, func() { readAndWrite(t, a) }); n > 0 {
		t.Errorf("%v allocations for each event", n)
	}
	if a.done != nil || !a.direct {
		t.Error("events of a fast caller were read ahead")
	}
}

// Guards against a stream that keeps a part of the budget until its end because one of its events was long.
func TestLongEventReturnsItsMemory(t *testing.T) {
	m := newMemoryFixture(t, 16<<20)
	s := &stream{g: m.gateway, rq: &request{memory: m.gateway.newMemoryHolder(nil)}}
	defer s.rq.memory.Close()
	a := s.newReadAhead(t.Context(), step{}, &link.Answer{}, io.MultiReader(strings.NewReader(longEvent(300<<10)), endlessEvents{}))
	defer a.close()
	readAndWrite(t, a)
	if n := m.gateway.memory.Used(); n < 256<<10 {
		t.Errorf("%d bytes in use for a long event", n)
	}
	for range 2 {
		readAndWrite(t, a)
	}
	if n := m.gateway.memory.Used(); n > smallEventBytes {
		t.Errorf("%d bytes in use after the long event", n)
	}
}

// readAndWrite reads events and marks a write that does not wait.
func readAndWrite(tb testing.TB, a *readAhead) {
	if _, err := a.next(); err != nil {
		tb.Fatal(err)
	}
	a.beginWrite()
	a.endWrite()
}

func BenchmarkEventOfFastCaller(b *testing.B) {
	for _, tc := range []struct {
		name    string
		enabled bool
	}{{"without a budget", false}, {"with a budget", true}} {
		b.Run(tc.name, func(b *testing.B) {
			a := &readAhead{direct: true, enabled: tc.enabled, reader: newEventReader(endlessEvents{})}
			b.ReportAllocs()
			for b.Loop() {
				readAndWrite(b, a)
			}
		})
	}
}
