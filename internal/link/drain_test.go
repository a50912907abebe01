package link

import (
	"errors"
	"io"
	"net"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

// expiredConn returns a connection that received text before its request ended.
func expiredConn(t *testing.T, text string) *deadlineConn {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	sent := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.WriteString(c, text)
			t.Cleanup(func() { _ = c.Close() })
		}
		sent <- err
	}()
	c, err := net.Dial("tcp4", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	if err := c.SetDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	d := &deadlineConn{Conn: c}
	d.expired.Store(true)
	return d
}

// TestLongReceivedAnswerIsReadWhole guards against an answer of several reads that is cut at the first one.
func TestLongReceivedAnswerIsReadWhole(t *testing.T) {
	want := strings.Repeat("answer ", 20_000)
	d := expiredConn(t, want)
	got := strings.Builder{}
	if _, err := io.Copy(&got, d); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("error %v, want %v", err, os.ErrDeadlineExceeded)
	}
	if got.String() != want {
		t.Errorf("%d bytes, want %d", got.Len(), len(want))
	}
}

// TestRequestsThatEndTogetherNeedLittleMemory guards against a stop that spends its last moments on memory for
// the last look at each connection, most of which have received nothing.
func TestRequestsThatEndTogetherNeedLittleMemory(t *testing.T) {
	const conns, maxBytes = 50, 8 << 10
	var list []*deadlineConn
	for range conns {
		list = append(list, expiredConn(t, ""))
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for _, d := range list {
		if n, err := d.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("%d bytes, %v; want %v", n, err, os.ErrDeadlineExceeded)
		}
	}
	runtime.ReadMemStats(&after)
	if each := (after.TotalAlloc - before.TotalAlloc) / conns; each > maxBytes {
		t.Errorf("each look took %d bytes, want at most %d", each, maxBytes)
	}
}
