package link

import (
	"errors"
	"net"
	"syscall"
)

// openAndSilent reports whether an idle connection is open and has nothing to read. Unsolicited
// bytes or an end of the stream make the connection unusable for another request.
func openAndSilent(c net.Conn) bool {
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
