package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/link"
)

const (
	// maxReadBytes bounds what is read from one connection to an upstream that sends without end, and
	// maxGrowth the growth of the memory meanwhile.
	maxReadBytes = 2_000_000
	maxGrowth    = 24_000_000
	// endlessBytes is how much an upstream of these tests sends if nobody stops it.
	endlessBytes = 32 << 20
)

// endless is what an upstream sends without end.
type endless struct {
	name string
	// start comes once, repeat then without end. The header that names the request is put in place of
	// idLine.
	start, repeat string
	// block is repeat, many times.
	block []byte
}

const (
	idLine     = "ID\n"
	streamHead = "HTTP/1.1 200 OK\n" + idLine + testProof + ": p\n"
	errorHead  = "HTTP/1.1 500 Internal Server Error\n" + idLine + testProof + ": p\n"
	chunked    = "Transfer-Encoding: chunked\n\n"
)

// endlessAnswers returns the answers that fail at any upstream, for one kind of upstream.
func endlessAnswers(stream bool) []endless {
	list := []endless{
		{name: "status line", start: "HTTP/1.1 200 ", repeat: "x"},
		{name: "header line", start: "HTTP/1.1 200 OK\nX-Filler: ", repeat: "x"},
		{name: "header lines", start: "HTTP/1.1 200 OK\n", repeat: "X-Filler: x\n"},
		{name: "informational answers", repeat: "HTTP/1.1 100 Continue\n\n"},
		{name: "body of a failure", start: errorHead + "\n", repeat: "x"},
		{name: "body of a failure in chunks", start: errorHead + chunked, repeat: "400\n" + strings.Repeat("x", 1024) + "\n"},
	}
	if stream {
		list = append(list,
			endless{name: "first event", start: streamHead + "\ndata: ", repeat: "x"},
			endless{name: "first event in chunks", start: streamHead + chunked, repeat: "400\n" + strings.Repeat("x", 1024) + "\n"},
			endless{name: "first event in chunks of a byte", start: streamHead + chunked, repeat: "1\nx\n"},
			endless{name: "second event", start: streamHead + "\nid: 1\ndata: x\n\nid: 2\ndata: ", repeat: "x"},
			endless{name: "lines of an event", start: streamHead + "\nid: 1\n", repeat: "data: x\n"})
	} else {
		list = append(list,
			endless{name: "body", start: streamHead + "\n", repeat: "x"},
			endless{name: "body in chunks", start: streamHead + chunked, repeat: "400\n" + strings.Repeat("x", 1024) + "\n"},
			endless{name: "body in chunks of a byte", start: streamHead + chunked, repeat: "1\nx\n"},
			endless{name: "body of an absurd length", start: streamHead + "Content-Length: 1000000000000\n\n", repeat: "x"})
	}
	for i := range list {
		list[i].block = []byte(strings.Repeat(strings.ReplaceAll(list[i].repeat, "\n", "\r\n"), 1+(32<<10)/len(list[i].repeat)))
	}
	return list
}

// serve is the handler of an upstream that sends the answer.
func (e endless) serve(w http.ResponseWriter, r *http.Request) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	id := testID + ": " + r.Header.Get(testID) + "\n"
	text := func(s string) string { return strings.ReplaceAll(strings.Replace(s, idLine, id, 1), "\n", "\r\n") }
	_, _ = io.WriteString(c, text(e.start))
	for sent := 0; sent < endlessBytes; sent += len(e.block) {
		if _, err := c.Write(e.block); err != nil {
			return
		}
	}
}

// readCounter counts the bytes that are read from each connection.
type readCounter struct {
	mu    sync.Mutex
	conns []*countedConn
}

// countedConn is a connection of a readCounter.
type countedConn struct {
	net.Conn
	read atomic.Int64
}

// Read reads from the connection.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// most returns the number of bytes that were read from one connection at the most.
func (r *readCounter) most() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := int64(0)
	for _, c := range r.conns {
		most = max(most, c.read.Load())
	}
	return most
}

// countReads makes the gateway of a fixture count what it reads from upstreams.
func (f *fixture) countReads() *readCounter {
	counter, d := &readCounter{}, &net.Dialer{}
	f.gateway.link = link.New(link.Settings{DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, HeadGrace: testHeadWithin, IDHeader: testID},
		func(ctx context.Context, address string) (net.Conn, error) {
			nc, err := d.DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			c := &countedConn{Conn: nc}
			counter.mu.Lock()
			counter.conns = append(counter.conns, c)
			counter.mu.Unlock()
			return c, nil
		}, time.Now)
	return counter
}

// peakHeap samples the heap until stop is called, which returns by how much it grew at the most. The heap
// contains the callers and upstreams of the test, too.
func peakHeap() (stop func() uint64) {
	runtime.GC()
	var before runtime.MemStats
	runtime.ReadMemStats(&before)
	done, peak := make(chan struct{}), make(chan uint64)
	go func() {
		most, tick := before.HeapAlloc, time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-tick.C:
			case <-done:
				peak <- most - before.HeapAlloc
				return
			}
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			most = max(most, now.HeapAlloc)
		}
	}()
	return func() uint64 {
		close(done)
		return <-peak
	}
}

// checkBounds checks what an upstream that sends without end took of the gateway.
func checkBounds(t *testing.T, counter *readCounter, grown uint64) {
	t.Helper()
	t.Logf("%d bytes were read from one connection at the most, the heap grew by %d", counter.most(), grown)
	if n := counter.most(); n > maxReadBytes {
		t.Errorf("%d bytes were read from one connection, want at most %d", n, maxReadBytes)
	}
	if grown > maxGrowth {
		t.Errorf("the heap grew by %d bytes, want at most %d", grown, maxGrowth)
	}
}

// Guards against an upstream that fills the memory of its gateway with an answer without end, and against its
// caller getting a part of that answer. The request is sent elsewhere where its route allows that.
func TestEndlessAnswerIsBroken(t *testing.T) {
	for _, tc := range []struct {
		stream bool
		// memory is the memory budget. With one, plain answers may be longer than maxReadBytes.
		memory int64
	}{{stream: false}, {stream: true}, {stream: true, memory: 16 << 20}} {
		for _, e := range endlessAnswers(tc.stream) {
			t.Run(fmt.Sprintf("stream %v/memory %d/%s", tc.stream, tc.memory, e.name), func(t *testing.T) {
				checkEndlessAnswer(t, e, tc.stream, tc.memory)
			})
		}
	}
}

// checkEndlessAnswer sends requests to an upstream that sends without end, through a gateway with a memory budget
// or, if memory is 0, without one.
func checkEndlessAnswer(t *testing.T, e endless, stream bool, memory int64) {
	service, path, oncePath, sound, want := "app", pathSafe, pathOnce, http.HandlerFunc(serveOK), "ok"
	if stream {
		service, path, oncePath, sound, want = "llm", pathResume, pathStream, serveRest, wholeStream()
	}
	withMemory := func(s *Settings) { s.MemoryBytes = memory }
	t.Run("once", func(t *testing.T) {
		f := newFixture(t, withMemory)
		counter := f.countReads()
		bad := f.add(service, "bad", e.serve)
		grown := peakHeap()
		got := f.ask(oncePath)
		if got.status == http.StatusServiceUnavailable || got.err == nil && got.status < 500 {
			t.Errorf("status %d and %d bytes without an error", got.status, len(got.body))
		}
		if bad.runs() != 1 {
			t.Errorf("%d runs on a route without repeats, want 1", bad.runs())
		}
		checkBounds(t, counter, grown())
		if u, ok := f.fleet.Get("bad"); !ok || u.FailureRate() == 0 {
			t.Error("the upstream does not count as failing")
		}
	})
	t.Run("repeated", func(t *testing.T) {
		f := newFixture(t, withMemory)
		counter, added := f.countReads(), make(chan struct{})
		bad := f.add(service, "bad", func(w http.ResponseWriter, r *http.Request) {
			f.holdUntil(added)
			e.serve(w, r)
		})
		grown, result := peakHeap(), make(chan answer, 1)
		go func() { result <- f.ask(path) }()
		for bad.runs() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.add(service, "good", sound)
		close(added)
		if got := <-result; got.err != nil || strings.ReplaceAll(got.body, "\r\n", "\n") != want {
			t.Errorf("error %v, status %d, %d bytes; want the answer of the other upstream", got.err, got.status, len(got.body))
		}
		checkBounds(t, counter, grown())
	})
}

// Guards against a quarter of the upstreams that fail at once and fill the memory, or fail other callers. What
// the callers of the test take of the heap is measured with upstreams that only close their connections.
func TestManyEndlessAnswers(t *testing.T) {
	for _, stream := range []bool{false, true} {
		_, without := runMany(t, stream, serveBreak)
		t.Logf("stream %v: the heap grows by %d without endless answers", stream, without)
		for _, e := range endlessAnswers(stream) {
			t.Run(fmt.Sprintf("stream %v/%s", stream, e.name), func(t *testing.T) {
				counter, grown := runMany(t, stream, e.serve)
				checkBounds(t, counter, max(grown, without)-without)
			})
		}
	}
}

// runMany serves 100 callers at once with 20 upstreams, 5 of which fail. It checks that all requests are served
// that were not sent to a failing upstream.
func runMany(t *testing.T, stream bool, fail http.HandlerFunc) (*readCounter, uint64) {
	t.Helper()
	const upstreams, callers, rounds = 20, 100, 3
	service, path, sound, want := "app", pathSafe, http.HandlerFunc(serveOK), "ok"
	if stream {
		service, path, sound, want = "llm", pathResume, serveRest, wholeStream()
	}
	f := newFixture(t)
	counter, failing := f.countReads(), []*upstream{}
	for i := range upstreams {
		if i%4 == 0 {
			failing = append(failing, f.add(service, fmt.Sprintf("bad-%d", i), fail))
			continue
		}
		f.add(service, fmt.Sprintf("good-%d", i), sound)
	}
	grown := peakHeap()
	var wg sync.WaitGroup
	var mu sync.Mutex
	unserved := map[string]string{}
	for caller := range callers {
		wg.Go(func() {
			for round := range rounds {
				id := fmt.Sprintf("r-%d-%d", caller, round)
				got := f.askUntilServed(path, id)
				if got.err != nil || strings.ReplaceAll(got.body, "\r\n", "\n") != want {
					mu.Lock()
					unserved[id] = fmt.Sprintf("error %v, status %d, %.200q", got.err, got.status, got.body)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	growth, sent := grown(), 0
	for _, u := range failing {
		for i := range u.runs() {
			sent++
			delete(unserved, u.header(i).Get(testID))
		}
	}
	if sent == 0 {
		t.Error("no request was sent to a failing upstream")
	}
	for id, got := range unserved {
		t.Errorf("request %s, which was not sent to a failing upstream: %s", id, got)
	}
	return counter, growth
}

// askUntilServed sends a request again as long as it is refused without having run, as a caller does.
func (f *fixture) askUntilServed(path, id string) answer {
	for {
		got := f.ask(path, func(r *http.Request) { r.Header.Set(testID, id) })
		if got.status != http.StatusServiceUnavailable {
			return got
		}
		time.Sleep(10 * time.Millisecond)
	}
}
