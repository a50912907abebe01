package link

import (
	"errors"
	"net"
	"syscall"
)

// quiet reports whether an idle connection is open and has nothing to read:
// bytes that nobody asked for, or an end, rule it out for another request.
func quiet(c net.Conn) bool {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(recvErr, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
