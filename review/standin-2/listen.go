package main

import (
	"context"
	"errors"
	"net"
	"syscall"
)

const (
	// window is the size in bytes of the receive buffers of workers and links: the windows of the platform are small.
	window = 32 << 10
	// segment is the largest segment in bytes that their peers send, as on an Ethernet link. Loopback has segments of
	// 64 KB, with which the kernel would take a body of some megabytes into its send buffer at once.
	segment = 1460
)

// listenNarrow listens on a free port of the loopback address, with the window and the segments of an Ethernet link.
func listenNarrow() (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var optErr error
		err := c.Control(func(fd uintptr) {
			optErr = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, segment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, window))
		})
		return errors.Join(err, optErr)
	}}
	return config.Listen(context.Background(), "tcp4", "127.0.0.1:0")
}
