package sendqueue

import (
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// looksPerTimeout is the number of looks at a connection within its TCP_USER_TIMEOUT.
	looksPerTimeout = 6
	// maxUnanswered is the number of probes of a closed window that may be unanswered: the last one is on its way.
	maxUnanswered = 1
	// noTimeout is the TCP_USER_TIMEOUT that leaves the choice to the kernel, which gives up after many minutes.
	noTimeout = 0
)

// KeepOpen keeps a connection open until stop is called while its peer acknowledges what it gets and reads nothing. The
// TCP_USER_TIMEOUT that closes connections to peers that are gone counts that as silence. It has no effect on connections
// that have no such timeout or cannot tell.
func KeepOpen(c net.Conn) (stop func()) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return func() {}
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return func() {}
	}
	usual := 0
	err = raw.Control(func(fd uintptr) { usual, _ = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT) })
	if err != nil || usual <= 0 {
		return func() {}
	}
	done := make(chan struct{})
	go keepOpen(raw, usual, done)
	return sync.OnceFunc(func() { close(done) })
}

// keepOpen sets the timeout of a connection, whose usual one is in milliseconds, until done is closed.
func keepOpen(raw syscall.RawConn, usual int, done <-chan struct{}) {
	ticker := time.NewTicker(time.Duration(usual) * time.Millisecond / looksPerTimeout)
	defer ticker.Stop()
	current := usual
	set := func(timeout int) bool {
		if timeout == current {
			return true
		}
		current = timeout
		var setErr error
		err := raw.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, timeout)
		})
		return err == nil && setErr == nil
	}
	defer func() { set(usual) }()
	for {
		select {
		case <-done:
			return
		case <-ticker.C:
		}
		timeout := usual
		closed, err := closedWindow(raw, time.Duration(usual)*time.Millisecond)
		if closed {
			timeout = noTimeout
		}
		if err != nil || !set(timeout) {
			return
		}
	}
}

// closedWindow reports whether the peer of a connection has acknowledged all that it got, takes no more, and has answered
// lately.
func closedWindow(raw syscall.RawConn, lately time.Duration) (bool, error) {
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) { info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	heard := time.Duration(info.Last_ack_recv)*time.Millisecond < lately || info.Probes <= maxUnanswered
	return info.Unacked == 0 && info.Notsent_bytes > 0 && heard, nil
}
