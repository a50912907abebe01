package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// closeDelay is how long after the end of a request its connection stays open for the reader.
	// It covers several scheduling delays of a busy process.
	closeDelay = 100 * time.Millisecond
	// maxDrained bounds in bytes how much of an answer is read after the end of the request. By
	// then the answer is in the kernel's receive buffer.
	maxDrained = 4 << 20
	// firstDrainChunk is the size in bytes of the first read from that buffer, which is nearly always empty:
	// many requests may end at one moment. drainChunk is the size of the following reads.
	firstDrainChunk = 1 << 10
	drainChunk      = 64 << 10
)

// deadlineConn is a connection whose reads end with the request, but which first returns the bytes
// that were received by then. Closing it directly when the request ends would discard complete
// answers that a busy process has not read yet, so the reader drains the receive buffer first.
type deadlineConn struct {
	net.Conn
	expired atomic.Bool
	// drained is set once the receive buffer was read for the last time. received holds the bytes
	// found there, and eof is set if the answer ended with them.
	drained  bool
	received []byte
	eof      bool
}

// expire ends the request: blocked reads return, and later reads return only bytes that were
// already received. It closes the connection after closeDelay, in case nobody reads from it.
func (c *deadlineConn) expire() {
	c.expired.Store(true)
	// A connection that does not support deadlines is closed below.
	_ = c.SetDeadline(time.Unix(1, 0))
	time.AfterFunc(closeDelay, func() { _ = c.Close() })
}

// Read reads from the connection. After expire it returns the bytes that were received by then.
func (c *deadlineConn) Read(b []byte) (int, error) {
	if c.drained {
		return c.readReceived(b, os.ErrDeadlineExceeded)
	}
	n, err := c.Conn.Read(b)
	if n > 0 || !c.expired.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.drain()
	return c.readReceived(b, err)
}

// readReceived returns the drained bytes, then io.EOF if the answer ended with them, and timeout
// otherwise.
func (c *deadlineConn) readReceived(b []byte, timeout error) (int, error) {
	n := copy(b, c.received)
	c.received = c.received[n:]
	switch {
	case n > 0:
		return n, nil
	case c.eof:
		return 0, io.EOF
	default:
		return 0, timeout
	}
}

// drain reads the receive buffer without blocking.
func (c *deadlineConn) drain() {
	c.drained = true
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	chunk := make([]byte, firstDrainChunk)
	for len(c.received) < maxDrained {
		n, readErr := 0, error(nil)
		// Control is used because it ignores the deadline, which RawConn.Read obeys.
		err = raw.Control(func(fd uintptr) {
			n, _, readErr = syscall.Recvfrom(int(fd), chunk, syscall.MSG_DONTWAIT)
		})
		switch {
		case err != nil:
			return
		case errors.Is(readErr, syscall.EINTR):
			continue
		case readErr != nil:
			return
		case n == 0:
			c.eof = true
			return
		}
		c.received = append(c.received, chunk[:n]...)
		if len(chunk) < drainChunk {
			chunk = make([]byte, drainChunk)
		}
	}
}
