package peer

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"testing/synctest"
)

// pipes is a listener that accepts connections within a test.
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

// Addr returns an address that means nothing.
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

type openedKey struct{}

// A call arrives on a new connection while the server still prepares it. The call was
// handled at once: a sidecar that was slow to get its processor found no place for the
// streams of the connection, and its process ended with all that it had in flight.
func TestCallWaitsUntilTheConnectionIsPrepared(t *testing.T) {
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
			t.Errorf("the call found its connection prepared: %v, %v", prepared, err)
		}
		c.Close()
		s.Close()
	})
}

// slowAddress is a connection that tells its address late.
type slowAddress struct {
	net.Conn
	asked, tell chan struct{}
}

// RemoteAddr returns the address once it may.
func (c slowAddress) RemoteAddr() net.Addr {
	close(c.asked)
	<-c.tell
	return c.Conn.RemoteAddr()
}

// A server is closed while it accepts a connection, which is not among its connections
// yet. It was left open, and the close waited for its end for ever: a process that stops
// went on holding calls that nobody answered, up to the limit of its stop.
func TestConnectionAcceptedAsTheServerClosesIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := make(pipes)
		s := NewServer(l, nil, nil)
		s.Start()
		ours, theirs := net.Pipe()
		slow := slowAddress{Conn: theirs, asked: make(chan struct{}), tell: make(chan struct{})}
		l <- slow
		<-slow.asked
		closed := make(chan struct{})
		go func() {
			s.Close()
			close(closed)
		}()
		synctest.Wait()
		close(slow.tell)
		synctest.Wait()
		select {
		case <-closed:
		default:
			t.Error("the server waits for a connection that it left open")
		}
		_ = ours.Close()
		<-closed
	})
}
