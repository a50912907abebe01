package ctl

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/sizebound"
)

// endlessBytes is how much a server of these tests sends if nobody stops it.
const endlessBytes = 256 << 20

// countedConn counts the bytes that are read from a connection.
type countedConn struct {
	net.Conn
	read *atomic.Int64
}

// Read reads from the connection.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

// countReads returns the number of bytes that the client reads from now on.
func countReads(c *http.Client) *atomic.Int64 {
	read, d := &atomic.Int64{}, &net.Dialer{}
	c.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		return countedConn{nc, read}, err
	}
	return read
}

// endlessServer returns the URL of a server that sends start once and block without end, and a channel that is
// closed once it has stopped.
func endlessServer(t *testing.T, start, block string) (url string, stopped chan struct{}) {
	t.Helper()
	stopped = make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		defer close(stopped)
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, err = io.WriteString(c, start)
		for sent := 0; err == nil && sent < endlessBytes; sent += len(block) {
			_, err = io.WriteString(c, block)
		}
	}))
	t.Cleanup(s.Close)
	return s.URL, stopped
}

// Guards against a server that fills the memory of an operator's machine with a response without end. Before, a
// head was read up to 10 MB and a body until the memory or the time of the call was used up.
func TestEndlessResponsesAreBounded(t *testing.T) {
	// bufferBytes is the size in bytes of the buffers between connection and caller, with a margin.
	const ok, bufferBytes = "HTTP/1.1 200 OK\r\n", 64 << 10
	filler := strings.Repeat("x", 64<<10)
	get := func(a *api) error { return a.call(http.MethodGet, "/status", nil, nil) }
	timeline := func(a *api) error { return (&timelineCommand{}).run(&environment{api: a, stdout: io.Discard}) }
	for _, tc := range []struct {
		name         string
		start, block string
		call         func(*api) error
		most         int64
		// head is set if the transport refuses the head, with an error of its own.
		head bool
	}{
		{"status line", "HTTP/1.1 200 ", filler, get, sizebound.MaxHeadBytes, true},
		{"header line", ok + "X-Filler: ", filler, get, sizebound.MaxHeadBytes, true},
		{"header lines", ok, strings.Repeat("X-Filler: x\r\n", 5000), get, sizebound.MaxHeadBytes, true},
		{"informational responses", "", strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 2500), get, sizebound.MaxHeadBytes, true},
		{"many header lines", ok + strings.Repeat("a:\r\n", sizebound.MaxHeadLines+1) + "\r\n", filler, get, sizebound.MaxHeadBytes, false},
		{"body", ok + "\r\n", filler, get, maxResponseBytes, false},
		{"body of a failure", "HTTP/1.1 500 Internal Server Error\r\n\r\n", filler, get, maxResponseBytes, false},
		{"timeline", ok + "\r\n", filler, timeline, maxTimelineBytes, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			url, stopped := endlessServer(t, tc.start, tc.block)
			a := newAPI(url, "token")
			read := countReads(a.client)
			err := tc.call(a)
			if !errors.Is(err, errAPI) || !tc.head && !errors.Is(err, sizebound.ErrTooLong) {
				t.Errorf("error %v, want %v and %v", err, errAPI, sizebound.ErrTooLong)
			}
			select {
			case <-stopped:
			case <-time.After(5 * time.Second):
				t.Error("the connection was not closed")
			}
			if n := read.Load(); n > tc.most+bufferBytes {
				t.Errorf("%d bytes were read, want at most %d", n, tc.most+bufferBytes)
			}
		})
	}
}

// Guards against a bound that refuses a long configuration.
func TestLongResponseIsRead(t *testing.T) {
	source := strings.Repeat("x", 6<<20)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, `{"source":"`+source+`"}`)
	}))
	defer s.Close()
	var b configResponse
	if err := newAPI(s.URL, "token").call(http.MethodGet, "/config", nil, &b); err != nil || b.Source != source {
		t.Errorf("source of %d bytes, %v; want %d", len(b.Source), err, len(source))
	}
}
