package gateway

import (
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

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membudget"
)

// heapInUse returns the size in bytes of what is in use on the heap.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against callers that do not read their large responses and so use up the memory of the
// process: 100 of them held 800 MB. The others must be served as without them.
func TestUnreadResponsesAreBounded(t *testing.T) {
	const (
		callers = 100
		limit   = 24 << 20
		// otherMemory is what the connections and handlers of the callers use beside the budget.
		otherMemory = 16 << 20
	)
	m := newMemoryFixture(t, limit)
	m.addPlain("plain")
	before := heapInUse()
	var conns []*rawCaller
	var mostGrown int64
	var failed atomic.Int64
	var others sync.WaitGroup
	for i := range callers {
		c := m.connect(fmt.Sprintf("%slarge-%d", pathOnce, i), 0)
		conns = append(conns, c)
		others.Go(func() {
			if got := m.ask(pathSafe + "small"); got.status != http.StatusOK || got.body != "ok" {
				failed.Add(1)
				t.Logf("another caller got %d, %q, %v", got.status, got.body, got.err)
			}
		})
		time.Sleep(20 * time.Millisecond)
		if i%10 == 9 {
			mostGrown = max(mostGrown, heapInUse()-before)
		}
	}
	others.Wait()
	if mostGrown > limit+otherMemory {
		t.Errorf("the heap grew by %d bytes, want at most %d", mostGrown, int64(limit+otherMemory))
	}
	if failed.Load() > 0 {
		t.Errorf("%d of %d other callers were not served", failed.Load(), callers)
	}
	if most := m.maxUsed.Load(); most > limit || most < testLargeResponse {
		t.Errorf("%d bytes were in use, want between one response and %d", most, int64(limit))
	}
	outcomes := map[string]int{}
	for i, c := range conns {
		outcomes[checkUnread(t, m, c, fmt.Sprintf("%slarge-%d", pathOnce, i))]++
	}
	t.Logf("the heap grew by %d bytes; outcomes %v", mostGrown, outcomes)
	if outcomes["cut"] == 0 || outcomes["whole"] == 0 {
		t.Errorf("outcomes %v, want some callers disconnected and some served", outcomes)
	}
}

// checkUnread checks that what a caller finds when it reads at last is true, and returns what it is.
func checkUnread(t *testing.T, m *memoryFixture, c *rawCaller, path string) string {
	t.Helper()
	runs := m.runsOf(path)
	if runs > 1 {
		t.Errorf("%s ran %d times, want at most once", path, runs)
	}
	resp := c.head()
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case resp.StatusCode == http.StatusOK && err == nil:
		if n != testLargeResponse {
			t.Errorf("%s: a response of %d bytes looks complete", path, n)
		}
		return "whole"
	case resp.StatusCode == http.StatusOK:
		return "cut"
	case resp.StatusCode == http.StatusServiceUnavailable && runs > 0:
		t.Errorf("%s ran, although the status 503 promises that it did not", path)
	}
	return resp.Status
}

// Guards against the eviction of callers that read, and against callers that do not read and keep the
// memory from others.
func TestEvictionOfUnreadResponse(t *testing.T) {
	tests := []struct {
		name string
		// wait is how long the first caller has not read when the second one comes.
		wait time.Duration
		// reads is set if the first caller reads meanwhile, slowly.
		reads bool
		// wantStatus is the status for the second caller.
		wantStatus int
	}{
		{"caller that has not read for long", 3 * unreadBeforeEviction / 2, false, http.StatusOK},
		{"caller that has not read for a moment", unreadBeforeEviction / 10, false, http.StatusBadGateway},
		{"caller that reads slowly", 3 * unreadBeforeEviction / 2, true, http.StatusBadGateway},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			// There is room for one large response.
			m := newMemoryFixture(t, 16<<20)
			m.addPlain("plain")
			first := m.connect(pathOnce+"large-1", 0)
			resp := first.head()
			for end := time.Now().Add(tt.wait); time.Now().Before(end); time.Sleep(testSweepInterval) {
				if tt.reads {
					_, _ = io.CopyN(io.Discard, resp.Body, pieceSize)
				}
			}
			got := m.ask(pathOnce + "large-2")
			if got.status != tt.wantStatus || got.status == http.StatusOK && len(got.body) != testLargeResponse {
				t.Errorf("status %d, %d bytes, %v; want %d", got.status, len(got.body), got.err, tt.wantStatus)
			}
			_, err := io.Copy(io.Discard, resp.Body)
			if cut, want := err != nil, tt.wantStatus == http.StatusOK; cut != want {
				t.Errorf("the first caller is disconnected: %t (%v), want %t", cut, err, want)
			}
			if m.runsOf(pathOnce+"large-2") != 1 {
				t.Errorf("%d runs of a request that may run once", m.runsOf(pathOnce+"large-2"))
			}
		})
	}
}

// Guards against a second run of a request whose response did not fit, which would not fit either, and
// against an upstream that counts as broken because the gateway lacks memory.
func TestResponseThatDoesNotFit(t *testing.T) {
	m := newMemoryFixture(t, 4<<20)
	m.addPlain("a", "b")
	if got := m.ask(pathSafe + "large"); got.status != http.StatusBadGateway {
		t.Errorf("status %d, want 502", got.status)
	}
	if runs := m.runsOf(pathSafe + "large"); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
	for _, id := range []string{"a", "b"} {
		if u, _ := m.fleet.Get(id); u.FailureRate() > 0 {
			t.Errorf("upstream %s has a failure rate of %v, want 0", id, u.FailureRate())
		}
	}
}

// Guards against a caller that never reads and keeps its connection for ever although memory is free.
func TestWriteTimeout(t *testing.T) {
	m := newMemoryFixture(t, 64<<20)
	m.addPlain("plain")
	c := m.connect(pathOnce+"large", 0)
	resp := c.head()
	m.clockAhead.Store(int64(callerWriteTimeout / 2))
	time.Sleep(5 * testSweepInterval)
	if m.gateway.memory.Used() == 0 {
		t.Error("a caller was disconnected before the write timeout")
	}
	// The caller may have read until now.
	m.clockAhead.Store(int64(callerWriteTimeout/2 + callerWriteTimeout + time.Second))
	m.awaitUsed(t, 0)
	if n, err := io.Copy(io.Discard, resp.Body); err == nil {
		t.Errorf("a response cut after %d bytes looks complete", n)
	}
}

// Guards against callers that announce long bodies and send them slowly, and so take memory for what
// has not arrived.
func TestSlowSendersHoldWhatArrived(t *testing.T) {
	const callers, length, sent = 100, 1 << 20, 2 << 10
	m := newMemoryFixture(t, 4<<20)
	m.addPlain("plain")
	var conns []*rawCaller
	for range callers {
		c := m.connect(pathSafe+"slow", length)
		c.send(sent)
		conns = append(conns, c)
	}
	m.await("all callers are served", func() bool { return m.gateway.inFlight.Load() == callers })
	if used := m.gateway.memory.Used(); used < callers*sent || used > 2*callers*sent+callers*firstBuffer {
		t.Errorf("%d bytes in use for %d that arrived", used, callers*sent)
	}
	if got := m.ask(pathSafe + "small"); got.status != http.StatusOK {
		t.Errorf("another caller got %d, want 200", got.status)
	}
	conns[0].send(length - sent)
	if resp := conns[0].head(); resp.StatusCode != http.StatusOK {
		t.Errorf("a caller that sent its body at last got %d, want 200", resp.StatusCode)
	}
}

// Guards against upstreams that announce long responses and send them slowly, and so take memory for what
// has not arrived.
func TestSlowUpstreamsHoldWhatArrived(t *testing.T) {
	const callers, sent = 50, 40 << 10
	m := newMemoryFixture(t, 16<<20)
	release := make(chan struct{})
	m.addRaw("slow", func(c net.Conn, r *http.Request) {
		length := 2
		if strings.Contains(r.URL.Path, "slow") {
			length = testLargeResponse
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\nContent-Length: %d\r\n\r\n", testID, r.Header.Get(testID), testProof, length)
		if length == 2 {
			_, _ = io.WriteString(c, "ok")
			return
		}
		_, _ = c.Write(make([]byte, sent))
		m.holdUntil(release)
	})
	var conns []*rawCaller
	for range callers {
		conns = append(conns, m.connect(pathOnce+"slow", 0))
	}
	m.await("all responses have begun", func() bool { return m.gateway.memory.Used() >= callers*sent })
	time.Sleep(5 * testSweepInterval)
	if used, most := m.gateway.memory.Used(), int64(callers*(sent+firstBuffer+pieceSize)); used > most {
		t.Errorf("%d bytes in use for %d that arrived, want at most %d", used, callers*sent, most)
	}
	if got := m.ask(pathOnce + "small"); got.status != http.StatusOK || got.body != "ok" {
		t.Errorf("another caller got %d, %q, want 200", got.status, got.body)
	}
	close(release)
	for _, c := range conns {
		if resp := c.head(); resp.StatusCode != http.StatusBadGateway {
			t.Errorf("status %d for a response that broke off, want 502", resp.StatusCode)
		}
	}
}

// Guards against request bodies that do not count while their upstreams do not read them, and against
// bodies that arrive changed.
func TestUpstreamThatReadsSlowly(t *testing.T) {
	const length = 3 << 20
	m := newMemoryFixture(t, 8<<20)
	release := make(chan struct{})
	m.addRaw("slow", func(c net.Conn, r *http.Request) {
		if strings.Contains(r.URL.Path, "slow") {
			m.holdUntil(release)
		}
		n, err := io.Copy(io.Discard, r.Body)
		text := fmt.Sprint(n, err)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: p\r\nContent-Length: %d\r\n\r\n%s", testID, r.Header.Get(testID), testProof, len(text), text)
	})
	c := m.connect(pathOnce+"slow", length)
	c.send(length)
	m.await("the body is buffered", func() bool { return m.gateway.memory.Used() == length+1 })
	time.Sleep(5 * testSweepInterval)
	if used := m.gateway.memory.Used(); used != length+1 {
		t.Errorf("%d bytes in use while the upstream does not read, want %d", used, length+1)
	}
	if got := m.ask(pathOnce + "small"); got.status != http.StatusOK || got.body != "4 <nil>" {
		t.Errorf("another caller got %d, %q, want 200", got.status, got.body)
	}
	close(release)
	resp := c.head()
	if b, err := io.ReadAll(resp.Body); err != nil || string(b) != fmt.Sprint(length, " <nil>") {
		t.Errorf("the upstream got %s, %v; want %d bytes", b, err, length)
	}
}

// Guards against request bodies that use up the memory, and against a refusal that does not tell when to
// come back or follows a run.
func TestBodyThatDoesNotFitIsRefused(t *testing.T) {
	const length = 3 << 20
	m := newMemoryFixture(t, 8<<20)
	m.addPlain("plain")
	// Its buffer takes 3 of the 6 MiB for large ones, and 5 while it grows.
	first := m.connect(pathSafe+"first", length)
	first.send(length - 1)
	// While its buffer grows, 3 MiB are in use as well.
	m.await("the first body is buffered", func() bool { return m.gateway.memory.Used() == length+1 })
	second := m.connect(pathSafe+"second", length)
	go func() { _, _ = second.Write(make([]byte, length)) }()
	resp := second.head()
	if resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get(testRetryMs) == "" || !resp.Close {
		t.Errorf("status %d, retry after %q, closes: %t; want 503, a time and the end of the connection", resp.StatusCode, resp.Header.Get(testRetryMs), resp.Close)
	}
	if got := m.ask(pathSafe + "small"); got.status != http.StatusOK {
		t.Errorf("another caller got %d, want 200", got.status)
	}
	first.send(1)
	if resp := first.head(); resp.StatusCode != http.StatusOK {
		t.Errorf("the first caller got %d, want 200", resp.StatusCode)
	}
	if m.runsOf(pathSafe+"second") != 0 || m.runsOf(pathSafe+"first") != 1 {
		t.Errorf("%d and %d runs, want 1 of the first and none of the refused", m.runsOf(pathSafe+"first"), m.runsOf(pathSafe+"second"))
	}
}

// Guards against new work that is taken while no memory is left, and against an exhausted budget that
// no log event shows.
func TestNewRequestsAreRefusedWithoutMemory(t *testing.T) {
	m := newMemoryFixture(t, 8<<20)
	m.addPlain("plain")
	if !m.gateway.memory.Reserve(8 << 20) {
		t.Fatal("the budget is in use")
	}
	for _, path := range []string{pathSafe, pathOnce, pathStream} {
		got := m.ask(path)
		if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, errMemory.Error()) || got.header.Get(testRetryMs) == "" {
			t.Errorf("%s: status %d, %q, retry after %q; want 503 and a time", path, got.status, got.body, got.header.Get(testRetryMs))
		}
	}
	m.await("the exhaustion is logged", func() bool { return m.recorded(events.MemoryExhausted) })
	if m.recorded(events.MemoryAvailable) || m.runsOf(pathSafe) != 0 {
		t.Error("the budget counts as available, or a refused request ran")
	}
	m.gateway.memory.Release(8 << 20)
	if got := m.ask(pathSafe); got.status != http.StatusOK {
		t.Errorf("status %d once memory is free, want 200", got.status)
	}
	m.await("the end is logged", func() bool { return m.recorded(events.MemoryAvailable) })
}

// Guards against small requests that are refused because large ones hold their part of the budget.
func TestSmallRequestsBesideLargeOnes(t *testing.T) {
	m := newMemoryFixture(t, 8<<20)
	m.addPlain("plain")
	large := m.gateway.memory.NewHolder(func() {})
	defer large.Close()
	if !large.Grow(6 << 20) {
		t.Fatal("a large holder gets less than three quarters")
	}
	if got := m.ask(pathSafe, func(r *http.Request) {
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", membudget.SmallHolder/2))), membudget.SmallHolder/2
	}); got.status != http.StatusOK {
		t.Errorf("status %d, want 200", got.status)
	}
}
