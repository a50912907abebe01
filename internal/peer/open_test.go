package peer

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
)

// pipes is an in-memory listener.
type pipes chan net.Conn

// Accept returns the next connection.
func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Close ends the listener.
func (p pipes) Close() error { close(p); return nil }

// Addr returns a dummy address.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

type openedKey struct{}

// A call may arrive on a new connection before onOpen has returned. If it is handled at once, the
// handler misses the values that onOpen attaches: a sidecar that was slow to be scheduled then
// crashed with all its requests in flight.
func TestCallWaitsForOnOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prepare := make(chan struct{})
		asked := func(_ context.Context, c *Conn, _ json.RawMessage) (any, error) {
			return c.Attached(openedKey{}) != nil, nil
		}
		l := make(pipes)
		s := NewServer(l, Methods{"ask": asked}, func(c *Conn) {
			<-prepare
			c.Attach(openedKey{}, true)
		})
		s.Start()
		ours, theirs := net.Pipe()
		l <- theirs
		c := newConn(ours, nil)
		var prepared bool
		answered := make(chan error, 1)
		go func() { answered <- c.Call(t.Context(), "ask", nil, &prepared) }()
		synctest.Wait()
		close(prepare)
		if err := <-answered; err != nil || !prepared {
			t.Errorf("the call was handled after onOpen: %v, %v; want true", prepared, err)
		}
		c.Close()
		s.Close()
	})
}

// slowAddress is a connection whose RemoteAddr blocks until release is closed.
type slowAddress struct {
	net.Conn
	asked, release chan struct{}
}

// RemoteAddr signals the call and returns the address after release.
func (c slowAddress) RemoteAddr() net.Addr {
	close(c.asked)
	<-c.release
	return c.Conn.RemoteAddr()
}

// A server is closed while it accepts a connection that it does not track yet. If that connection
// stays open, Close waits for its end forever: a process that shuts down then holds unanswered
// calls until its stop timeout.
func TestCloseDuringAccept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := make(pipes)
		s := NewServer(l, nil, nil)
		s.Start()
		ours, theirs := net.Pipe()
		slow := slowAddress{Conn: theirs, asked: make(chan struct{}), release: make(chan struct{})}
		l <- slow
		<-slow.asked
		closed := make(chan struct{})
		go func() {
			s.Close()
			close(closed)
		}()
		synctest.Wait()
		close(slow.release)
		synctest.Wait()
		select {
		case <-closed:
		default:
			t.Error("Close waits for a connection that it did not close")
		}
		_ = ours.Close()
		<-closed
	})
}
