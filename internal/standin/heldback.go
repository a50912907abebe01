package standin

import (
	"net"
	"time"
)

// heldBack is a connection that is not read before a time.
type heldBack struct {
	*net.TCPConn
	until time.Time
}

// NewHeldBack returns a TCP connection that is not read before a time, as while the process that
// has it does not get to run.
func NewHeldBack(c net.Conn, until time.Time) net.Conn { return &heldBack{c.(*net.TCPConn), until} }

// Read waits until the connection may be read.
func (h *heldBack) Read(b []byte) (int, error) {
	time.Sleep(time.Until(h.until))
	return h.TCPConn.Read(b)
}
