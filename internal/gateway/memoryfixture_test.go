package gateway

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/fleet"
)

const (
	// smallSocketBuffer is a size in bytes for the kernel's buffers of a connection, far below what these
	// tests send over it.
	smallSocketBuffer = 16 << 10
	// testSweepInterval is the time between two calls of SweepMemory in these tests.
	testSweepInterval = 20 * time.Millisecond
	// testLargeResponse is the size in bytes of a large response.
	testLargeResponse = 8 << 20
)

// memoryFixture is a fixture of a gateway with a memory budget, whose connections have small buffers in
// the kernel.
type memoryFixture struct {
	*fixture
	// clockAhead is how far the gateway's clock is ahead.
	clockAhead atomic.Int64
	// maxUsed is the most that was in use at any sweep.
	maxUsed atomic.Int64
	// paths counts the requests that reached an upstream, by target.
	mu    sync.Mutex
	paths map[string]int
}

// smallBufferListener accepts connections with a small send buffer.
type smallBufferListener struct{ net.Listener }

func (l smallBufferListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(smallSocketBuffer)
	}
	return c, err
}

// newMemoryFixture returns a fixture with a memory budget of limit bytes, or none if limit is 0. After
// the test, nothing may be left in the budget.
func newMemoryFixture(t *testing.T, limit int64) *memoryFixture {
	t.Helper()
	m := &memoryFixture{fixture: newFixture(t, func(s *Settings) { s.MemoryBytes = limit }), paths: map[string]int{}}
	m.gateway.now = func() time.Time { return time.Now().Add(time.Duration(m.clockAhead.Load())) }
	m.server = httptest.NewUnstartedServer(m.gateway)
	m.server.Listener = smallBufferListener{m.server.Listener}
	m.server.Start()
	t.Cleanup(m.server.Close)
	m.applyRoutes("2 bodies")
	if limit == 0 {
		return m
	}
	t.Cleanup(func() { m.awaitUsed(t, 0) })
	go func() {
		for t.Context().Err() == nil {
			m.gateway.SweepMemory()
			m.maxUsed.Store(max(m.maxUsed.Load(), m.gateway.memory.Used()))
			time.Sleep(testSweepInterval)
		}
	}()
	return m
}

// awaitUsed waits until at most n bytes are in use.
func (m *memoryFixture) awaitUsed(t *testing.T, n int64) {
	t.Helper()
	for deadline := time.Now().Add(signalTimeout); m.gateway.memory.Used() > n; time.Sleep(testSweepInterval) {
		if time.Now().After(deadline) {
			t.Errorf("%d bytes in use, want at most %d", m.gateway.memory.Used(), n)
			return
		}
	}
}

// await waits until a condition holds.
func (m *memoryFixture) await(what string, holds func() bool) {
	m.t.Helper()
	for deadline := time.Now().Add(signalTimeout); !holds(); time.Sleep(testSweepInterval) {
		if time.Now().After(deadline) {
			m.t.Fatalf("timed out waiting until %s", what)
		}
	}
}

// addPlain adds plain upstreams that serve a large response to targets with "large", and a small one
// otherwise.
func (m *memoryFixture) addPlain(ids ...string) {
	large := make([]byte, testLargeResponse)
	for _, id := range ids {
		m.add("app", id, func(w http.ResponseWriter, r *http.Request) {
			m.mu.Lock()
			m.paths[r.URL.Path]++
			m.mu.Unlock()
			if !strings.Contains(r.URL.Path, "large") {
				serveOK(w, r)
				return
			}
			w.Header().Set(testProof, "p")
			w.Header().Set("Content-Length", strconv.Itoa(len(large)))
			_, _ = w.Write(large)
		})
	}
}

// addRaw adds a plain upstream that serves one request on each connection. serve gets the connection, the
// head of the request and a reader of its body.
func (m *memoryFixture) addRaw(id string, serve func(c net.Conn, r *http.Request)) {
	m.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(smallSocketBuffer)
			go func() {
				defer func() { _ = c.Close() }()
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					serve(c, r)
				}
			}()
		}
	}()
	m.records = append(m.records, fleet.Record{Name: id, Service: "app", Address: l.Addr().String(), Slots: 6})
	m.fleet.Update(m.records, nil, true, time.Time{})
}

// runsOf returns how often a target reached an upstream.
func (m *memoryFixture) runsOf(path string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.paths[path]
}

// networkSegment is the size in bytes of a TCP segment on a usual network. On loopback it is 64 KiB, more than a
// small receive buffer: the sender then pauses for 200 ms whenever the buffer was full, and a stream takes
// longer than the test may.
const networkSegment = 1448

// rawCaller is a caller that reads and sends only as a test asks for it.
type rawCaller struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

// connect opens a connection of a caller with a small receive buffer and sends the head of a request.
func (m *memoryFixture) connect(path string, length int) *rawCaller {
	m.t.Helper()
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallSocketBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, networkSegment)
		})
	}}
	c, err := d.DialContext(m.t.Context(), "tcp", m.server.Listener.Addr().String())
	if err != nil {
		m.t.Fatal(err)
	}
	m.t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: r-%d\r\n%s: key\r\nContent-Length: %d\r\n\r\n", path, testID, time.Now().UnixNano(), testKey, length)
	if err != nil {
		m.t.Fatal(err)
	}
	return &rawCaller{t: m.t, Conn: c, r: bufio.NewReaderSize(c, 4<<10)}
}

// send sends n bytes of a body.
func (c *rawCaller) send(n int) {
	c.t.Helper()
	if _, err := c.Write(make([]byte, n)); err != nil {
		c.t.Fatal(err)
	}
}

// head reads the head of the response.
func (c *rawCaller) head() *http.Response {
	c.t.Helper()
	resp, err := http.ReadResponse(c.r, nil)
	if err != nil {
		c.t.Fatal(err)
	}
	return resp
}

// slowEngine is an engine whose answer is longer than the kernel's buffers. Its events are numbered from
// 1, and it writes them as fast as they are read.
type slowEngine struct {
	*upstream
	// events is the number of events of the answer, and eventSize their size in bytes.
	events, eventSize int
	// framed is set if the answer states its length.
	framed bool
	// breakAfter, unless it is 0, breaks off an answer that begins with the first event, within the event
	// after this one.
	breakAfter int
	// holdAfter, unless it is 0, is the event after which nothing more is written until the connection
	// ends.
	holdAfter int
	written   atomic.Int64
	// done receives an error or nil for each answer that was written.
	done chan error
}

func (m *memoryFixture) addSlowEngine(id string, events, eventSize int) *slowEngine {
	e := &slowEngine{events: events, eventSize: eventSize, framed: true, done: make(chan error, 10)}
	e.upstream = m.add("llm", id, e.serve)
	return e
}

// testEvent returns an event of a size.
func testEvent(i, size int) string {
	head := fmt.Sprintf("id: %d\ndata: ", i)
	return head + strings.Repeat("x", size-len(head)-2) + "\n\n"
}

// serve writes the answer on the connection itself, so that it can bound its send buffer.
func (e *slowEngine) serve(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/copy") || r.URL.Path == "/report" {
		_, _ = io.WriteString(w, "serving")
		return
	}
	from, _ := strconv.Atoi(r.Header.Get(testLastEvent))
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		e.done <- err
		return
	}
	defer func() { _ = c.Close() }()
	_ = c.(*net.TCPConn).SetWriteBuffer(smallSocketBuffer)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", testID, r.Header.Get(testID), testProof, e.id)
	if e.framed {
		head += fmt.Sprintf("Content-Length: %d\r\n", (e.events-from)*e.eventSize)
	}
	_, err = io.WriteString(c, head+"\r\n")
	for i := from + 1; i <= e.events && err == nil; i++ {
		event := testEvent(i, e.eventSize)
		if e.breakAfter > 0 && from == 0 && i > e.breakAfter {
			_, err = io.WriteString(c, event[:e.eventSize/2])
			break
		}
		var n int
		n, err = io.WriteString(c, event)
		e.written.Add(int64(n))
		if i == e.holdAfter {
			_, err = io.Copy(io.Discard, c)
			err = errors.Join(err, io.ErrUnexpectedEOF)
		}
	}
	e.done <- err
}

// whole returns the whole answer of the engine.
func (e *slowEngine) whole() string {
	var b strings.Builder
	for i := 1; i <= e.events; i++ {
		b.WriteString(testEvent(i, e.eventSize))
	}
	return b.String()
}

// applyRoutes puts a route table into force.
func (f *fixture) applyRoutes(text string) {
	f.routes.Apply(testSnapshot(text), true)
	f.routes.ConfirmCurrent(time.Now(), belief.Evidence{})
}
