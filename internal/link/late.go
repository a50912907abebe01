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
	// lateWithin is how long after the end of its time a request's connection is left to who
	// reads it: some turns of a process that did not get to run.
	lateWithin = 100 * time.Millisecond
	// mostLate bounds in bytes what is read of an answer after that: what has come by then is
	// in the kernel's buffer.
	mostLate = 4 << 20
	// lateChunk is how much of it is read at a time.
	lateChunk = 64 << 10
)

// late is the end of an answer's time on a connection. Who reads the connection ends it, after a
// last look at what has come: an end by a callback of the time limit threw away whole answers
// that were there, in a process that did not get to run before.
type late struct {
	net.Conn
	over atomic.Bool
	// looked is set after the last look, which found left and, maybe, the end of the answer.
	looked bool
	left   []byte
	ended  bool
}

// end ends the time: reads that wait return, and give what has come. A connection that nobody
// reads is closed a little later.
func (l *late) end() {
	l.over.Store(true)
	// A connection without deadlines is closed below.
	_ = l.SetDeadline(time.Unix(1, 0))
	time.AfterFunc(lateWithin, func() { _ = l.Close() })
}

// Read reads from the connection, and once the time is over what had come by then.
func (l *late) Read(b []byte) (int, error) {
	if l.looked {
		return l.rest(b, os.ErrDeadlineExceeded)
	}
	n, err := l.Conn.Read(b)
	if n > 0 || !l.over.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	l.look()
	return l.rest(b, err)
}

// rest gives what the last look found, then its end: over if the answer had not ended.
func (l *late) rest(b []byte, over error) (int, error) {
	n := copy(b, l.left)
	l.left = l.left[n:]
	switch {
	case n > 0:
		return n, nil
	case l.ended:
		return 0, io.EOF
	default:
		return 0, over
	}
}

// look reads what has come, without waiting.
func (l *late) look() {
	l.looked = true
	sc, ok := l.Conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return
	}
	chunk := make([]byte, lateChunk)
	for len(l.left) < mostLate {
		n, readErr := 0, error(nil)
		// Control does not mind the deadline, as Read of a RawConn does.
		err = raw.Control(func(fd uintptr) { n, _, readErr = syscall.Recvfrom(int(fd), chunk, syscall.MSG_DONTWAIT) })
		switch {
		case err != nil:
			return
		case errors.Is(readErr, syscall.EINTR):
			continue
		case readErr != nil:
			return
		case n == 0:
			l.ended = true
			return
		}
		l.left = append(l.left, chunk[:n]...)
	}
}
