package standin

import (
	"net"
	"time"
)

// delayedConn is a TCP connection whose reads block until a given time.
type delayedConn struct {
	*net.TCPConn
	until time.Time
}

// NewDelayedReadConn returns a connection whose reads block until the given time. It simulates a receiver
// whose process is not scheduled while its peer keeps sending.
func NewDelayedReadConn(c net.Conn, until time.Time) net.Conn {
	return &delayedConn{c.(*net.TCPConn), until}
}

// Read waits until reads are allowed.
func (c *delayedConn) Read(b []byte) (int, error) {
	time.Sleep(time.Until(c.until))
	return c.TCPConn.Read(b)
}
