package connlimit

import (
	"context"
	"net"
	"sync"
)

// Conn is a caller's connection. It keeps what net/http tells nobody: whether this
// process ended the connection, and why, and which request an answer that could not be
// written belongs to.
type Conn struct {
	*net.TCPConn
	undelivered func(c *Conn, request string, err error)

	mu      sync.Mutex
	request string
	why     string
	failed  bool
}

// connKey is the key of the connection in the context of its requests.
type connKey struct{}

// From returns the connection that a request came on, nil if it is not known.
func From(ctx context.Context) *Conn {
	c, _ := ctx.Value(connKey{}).(*Conn)
	return c
}

// Begin names the request that is served from now on.
func (c *Conn) Begin(request string) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.request, c.failed = request, false
}

// Caller returns the caller's address, empty if it is not known.
func (c *Conn) Caller() string {
	if c == nil {
		return ""
	}
	return c.RemoteAddr().String()
}

// EndedHere returns why this process ended the connection; empty if it did not.
func (c *Conn) EndedHere() string {
	if c == nil {
		return ""
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.why
}

// end closes the connection for a reason.
func (c *Conn) end(why string) error {
	c.mu.Lock()
	c.why = why
	c.mu.Unlock()
	return c.Close()
}

// Write writes a part of an answer and reports the first one that cannot be written.
func (c *Conn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if err != nil {
		c.fail(err)
	}
	return n, err
}

func (c *Conn) fail(err error) {
	c.mu.Lock()
	request, again := c.request, c.failed
	c.failed = true
	c.mu.Unlock()
	if request != "" && !again {
		c.undelivered(c, request, err)
	}
}
