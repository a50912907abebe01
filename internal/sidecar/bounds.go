package sidecar

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/httphead"
	"github.com/sparshore/sparshore/internal/sendqueue"
	"github.com/sparshore/sparshore/internal/sizebound"
)

const (
	// maxEventBytes bounds one line of a stream, and maxEventWireBytes what is read from the connection
	// until the next event, which includes the framing of chunks.
	maxEventBytes     = 1 << 20
	maxEventWireBytes = maxEventBytes + maxEventBytes/2
	// smallEventBytes is the size up to which the events of all streams have no common bound, so that sound
	// streams are not affected when others use it up.
	smallEventBytes = 64 << 10
	// maxLargeEventBytes bounds the longer events of all streams together: an engine that fails may send an
	// event without end on each of them.
	maxLargeEventBytes = 2 << 20
	// flushTime is more than net/http takes to write a buffer of some kilobytes.
	flushTime = 2 * time.Millisecond
	// maxControlBytes bounds the answers to commands and to queries for the load.
	maxControlBytes = 64 << 10
)

// boundedConn is a connection of which only a bounded number of bytes is read, and of lines of a head. Its end counts as
// the end of an answer only if the request has arrived.
type boundedConn struct {
	net.Conn
	// upload is the write of the current request.
	upload atomic.Pointer[upload]
	left   atomic.Int64
	// lines counts the lines of the current head.
	lines atomic.Pointer[sizebound.Lines]
	// exceeded is set once a read was refused.
	exceeded atomic.Bool
}

// Read reads from the connection. It returns sizebound.ErrTooLong once the bound is reached.
func (c *boundedConn) Read(b []byte) (int, error) {
	left := c.left.Load()
	if left <= 0 {
		c.exceeded.Store(true)
		return 0, sizebound.ErrTooLong
	}
	n, err := c.Conn.Read(b[:min(int64(len(b)), left)])
	c.left.Add(-int64(n))
	if !c.lines.Load().Add(b[:n]) {
		c.exceeded.Store(true)
		return 0, sizebound.ErrTooLong
	}
	if u := c.upload.Load(); u != nil && errors.Is(err, io.EOF) {
		if err := u.await(c.Conn); err != nil {
			return n, fmt.Errorf("the connection ended during the request: %w", err)
		}
	}
	return n, err
}

// upload is the write of a request.
type upload struct {
	// over is closed when the request has ended.
	over <-chan struct{}
	// done is closed once the write has ended, with err.
	done chan struct{}
	once sync.Once
	err  error
}

func (u *upload) end(err error) {
	u.once.Do(func() {
		u.err = err
		close(u.done)
	})
}

// await waits until the request has arrived, at most until it has ended. The kernel reports the error of a connection only
// once: if a write got it, a read finds the end of the stream, as after an answer that ended in order.
func (u *upload) await(c net.Conn) error {
	select {
	case <-u.done:
	case <-u.over:
		return context.Canceled
	}
	if u.err != nil {
		return u.err
	}
	// net/http reports the end of the write before it empties its buffer.
	time.Sleep(flushTime)
	return sendqueue.AwaitEmpty(c, func() bool {
		select {
		case <-u.over:
			return true
		default:
			return false
		}
	})
}

// boundConnections makes a transport read bounded and valid heads, over connections that withBound bounds.
func boundConnections(t *http.Transport) *httphead.Transport {
	d := &net.Dialer{}
	t.MaxResponseHeaderBytes = sizebound.MaxHeadBytes
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &boundedConn{Conn: nc}
		c.left.Store(sizebound.MaxHeadBytes)
		c.lines.Store(&sizebound.Lines{})
		return c, nil
	}
	return &httphead.Transport{Transport: t}
}

// wireBound bounds what is read from the connection of one request.
type wireBound struct{ conn atomic.Pointer[boundedConn] }

// withBound returns a context for a request, and the bound of its connection, which is n bytes after the head.
func withBound(ctx context.Context, n int64) (context.Context, *wireBound) {
	b := &wireBound{}
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*boundedConn); ok {
				b.conn.Store(c)
				c.left.Store(sizebound.MaxHeadBytes + n)
				c.lines.Store(&sizebound.Lines{})
				c.upload.Store(&upload{over: ctx.Done(), done: make(chan struct{})})
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := b.conn.Load(); c != nil {
				c.upload.Load().end(info.Err)
			}
		},
	}), b
}

// limit allows n more bytes.
func (b *wireBound) limit(n int64) {
	if c := b.conn.Load(); c != nil {
		c.left.Store(n)
	}
}

// wrap adds sizebound.ErrTooLong to the error of a request whose connection reached a bound. net/http may report
// that the line is malformed in which the bound lies.
func (b *wireBound) wrap(err error) error {
	if c := b.conn.Load(); c == nil || !c.exceeded.Load() || errors.Is(err, sizebound.ErrTooLong) {
		return err
	}
	return fmt.Errorf("%w: %w", sizebound.ErrTooLong, err)
}

// streamBody is the body of a stream. It is read by one goroutine.
type streamBody struct {
	io.ReadCloser
	bound  *wireBound
	budget *atomic.Int64
	// sinceEvent is the number of bytes that were read since the last event, and reserved the part of them
	// that counts in the budget.
	sinceEvent, reserved int64
}

// Read reads from the body. It returns sizebound.ErrTooLong if the bytes since the last event exceed the budget.
func (b *streamBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.sinceEvent += int64(n)
	more := max(b.sinceEvent-smallEventBytes-b.reserved, 0)
	if more > 0 && b.budget.Add(more) > maxLargeEventBytes {
		b.budget.Add(-more)
		return 0, sizebound.ErrTooLong
	}
	b.reserved += more
	return n, err
}

// eventRead makes the bounds count from here. The body may be nil.
func (b *streamBody) eventRead() {
	if b == nil {
		return
	}
	b.bound.limit(maxEventWireBytes)
	b.release()
}

func (b *streamBody) release() {
	b.budget.Add(-b.reserved)
	b.sinceEvent, b.reserved = 0, 0
}

// Close closes the body.
func (b *streamBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
