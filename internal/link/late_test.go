package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// stalled is a connection whose reads block until resume is closed, as in a process that is not
// scheduled.
type stalled struct {
	*net.TCPConn
	resume chan struct{}
}

func (s *stalled) Read(b []byte) (int, error) {
	<-s.resume
	return s.TCPConn.Read(b)
}

// stalledPool returns a Pool whose connections block reads until resume is closed.
func stalledPool(resume chan struct{}) *Pool {
	d := &net.Dialer{}
	return New(Settings{DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, IDHeader: "X-Id"},
		func(ctx context.Context, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			return &stalled{c.(*net.TCPConn), resume}, nil
		}, time.Now)
}

// An answer is received, but the process is not scheduled until the request's time limit has
// passed. If the limit closes the connection, the answer is lost unread and the caller gets a 504.
// The test checks that received bytes are read first.
func TestReceivedAnswerIsReadAfterCancel(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer string
		whole  bool
	}{
		{"complete, with Content-Length", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 4\n\nbody", true},
		{"complete, chunked", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n\n", true},
		{"incomplete", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\n\nbody", false},
		{"empty", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			answered, hold := make(chan struct{}), make(chan struct{})
			defer close(hold)
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				writeText(c, tc.answer)
				close(answered)
				<-hold
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			resume := make(chan struct{})
			type got struct {
				body string
				err  error
			}
			done := make(chan got, 1)
			go func() {
				a, err := stalledPool(resume).Do(ctx, u.address, request("1"))
				if err != nil {
					done <- got{err: err}
					return
				}
				defer a.Close()
				b, err := io.ReadAll(a)
				done <- got{string(b), err}
			}()
			<-answered
			time.Sleep(20 * time.Millisecond)
			cancel()
			time.Sleep(20 * time.Millisecond)
			close(resume)
			g := <-done
			if whole := g.err == nil && g.body == "body"; whole != tc.whole {
				t.Errorf("got %q, %v; want a complete answer: %v", g.body, g.err, tc.whole)
			}
			if !tc.whole && !errors.Is(g.err, ErrBroken) {
				t.Errorf("error %v, want %v", g.err, ErrBroken)
			}
		})
	}
}

// TestCancelStopsOngoingAnswer checks that a cancelled request does not wait for more of an answer
// that is still being sent, and that the upstream sees the end of the connection at once.
func TestCancelStopsOngoingAnswer(t *testing.T) {
	ended := make(chan time.Time, 1)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 100000000\n\n")
		for {
			if _, err := c.Write(make([]byte, 64)); err != nil {
				ended <- time.Now()
				return
			}
			time.Sleep(time.Millisecond)
		}
	})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := newPool().Do(ctx, u.address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(50*time.Millisecond, cancel)
	if _, err := io.Copy(io.Discard, a); err == nil {
		t.Error("an unfinished answer was read without an error")
	}
	cancelledAt := time.Now()
	a.Close()
	if late := (<-ended).Sub(cancelledAt); late > 100*time.Millisecond {
		t.Errorf("the upstream saw the end of the connection %s late", late)
	}
}

// TestCancelClosesUnreadConnection checks that the connection of a cancelled request is closed
// even if nobody reads the answer, so that the upstream does not go on working for it.
func TestCancelClosesUnreadConnection(t *testing.T) {
	ended := make(chan time.Time, 1)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		writeText(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\n\nbody")
		_, _ = r.ReadByte()
		ended <- time.Now()
	})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := newPool().Do(ctx, u.address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	cancelledAt := time.Now()
	cancel()
	if late := (<-ended).Sub(cancelledAt); late > 300*time.Millisecond {
		t.Errorf("the upstream saw the end of the connection %s late", late)
	}
}
