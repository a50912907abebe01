// Package sendqueue tells whether the peer of a connection has acknowledged what was written.
package sendqueue

import (
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// pollInterval is the time between two looks at what the peer has yet to acknowledge.
const pollInterval = 2 * time.Millisecond

// AwaitEmpty waits until the peer has acknowledged all bytes that were written to a connection, at most until over returns
// true. It returns an error if it has not, or if the connection was reset, and nil if the connection cannot tell.
func AwaitEmpty(c net.Conn, over func() bool) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	for {
		var unacknowledged int
		var socketErr, queueErr error
		closed := false
		err := raw.Control(func(fd uintptr) {
			socketErr = socketError(int(fd))
			unacknowledged, queueErr = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
			info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
			closed = infoErr == nil && info.State == unix.BPF_TCP_CLOSE
		})
		switch {
		case err != nil:
			return err
		case socketErr != nil:
			return socketErr
		case closed:
			// An earlier call got the error.
			return syscall.ECONNRESET
		case queueErr != nil || unacknowledged == 0:
			return nil
		case over():
			return os.ErrDeadlineExceeded
		}
		time.Sleep(pollInterval)
	}
}

// socketError returns and clears the pending error of a socket.
func socketError(fd int) error {
	n, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err != nil || n == 0 {
		return nil
	}
	return syscall.Errno(n)
}
