// Package sizeboundtest helps to test that a client bounds what it reads of a response.
package sizeboundtest

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
)

const (
	// MaxRead bounds in bytes what is read from one connection to a server that sends without end.
	MaxRead = 2_000_000
	// MaxAllocated bounds in bytes the memory that is allocated for its response.
	MaxAllocated = 24_000_000
	// endlessBytes is how much a server sends if nobody stops it.
	endlessBytes = 256 << 20
	// blockBytes is the least size in bytes of what is written at once.
	blockBytes = 32 << 10
)

// Conn is a connection that counts the bytes that are read from it.
type Conn struct {
	net.Conn
	Bytes *atomic.Int64
}

// Read reads from the connection.
func (c Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.Bytes.Add(int64(n))
	return n, err
}

// CountReads returns the number of bytes that a transport reads from now on.
func CountReads(t *http.Transport) *atomic.Int64 {
	read, dial := &atomic.Int64{}, t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := dial(ctx, network, address)
		return Conn{nc, read}, err
	}
	return read
}

// Serve returns the URL of a server that sends start once, and text without end, on each connection. Line ends
// become those of HTTP. The channel is closed once a connection was closed.
func Serve(t testing.TB, start, text string) (url string, closed <-chan struct{}) {
	t.Helper()
	crlf := func(s string) string { return strings.ReplaceAll(s, "\n", "\r\n") }
	block := strings.Repeat(crlf(text), 1+blockBytes/len(text))
	done, once := make(chan struct{}), sync.Once{}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer once.Do(func() { close(done) })
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, crlf(start))
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = io.WriteString(c, block)
		}
	}))
	t.Cleanup(s.Close)
	return s.URL, done
}

// Allocated returns how many bytes are allocated while f runs.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
