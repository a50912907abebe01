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

// stalled is a connection whose reader does not get to run until it is let go.
type stalled struct {
	*net.TCPConn
	letGo chan struct{}
}

func (s *stalled) Read(b []byte) (int, error) {
	<-s.letGo
	return s.TCPConn.Read(b)
}

// stalledPool is a Pool whose connections are not read before letGo is closed.
func stalledPool(letGo chan struct{}) *Pool {
	d := &net.Dialer{}
	return New(Settings{DialWithin: time.Second, IdleUnknown: time.Minute, IDHeader: "X-Id"},
		func(ctx context.Context, address string) (net.Conn, error) {
			c, err := d.DialContext(ctx, "tcp4", address)
			if err != nil {
				return nil, err
			}
			return &stalled{c.(*net.TCPConn), letGo}, nil
		}, time.Now)
}

// An answer had come, and the entry did not get to run before its time limit passed: a callback of
// the limit closed the connection to the upstream, and the answer was thrown away unread for a
// 504, though it was there. `answer-rejected` said `use of closed network connection`.
func TestAnswerThatHasComeWhenItsTimeIsOver(t *testing.T) {
	for _, tc := range []struct {
		name   string
		answer string
		whole  bool
	}{
		{"whole, with a length", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 4\n\nbody", true},
		{"whole, in chunks", "HTTP/1.1 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n4\nbody\n0\n\n", true},
		{"a part", "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\n\nbody", false},
		{"nothing", "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			said, hold := make(chan struct{}), make(chan struct{})
			defer close(hold)
			u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
				readRequest(t, r)
				say(c, tc.answer)
				close(said)
				<-hold
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			run := make(chan struct{})
			type got struct {
				body string
				err  error
			}
			done := make(chan got, 1)
			go func() {
				a, err := stalledPool(run).Do(ctx, u.address, request("1"))
				if err != nil {
					done <- got{err: err}
					return
				}
				defer a.Close()
				b, err := io.ReadAll(a)
				done <- got{string(b), err}
			}()
			<-said
			time.Sleep(20 * time.Millisecond)
			cancel()
			time.Sleep(20 * time.Millisecond)
			close(run)
			g := <-done
			if whole := g.err == nil && g.body == "body"; whole != tc.whole {
				t.Errorf("got %q, %v; want it whole: %v", g.body, g.err, tc.whole)
			}
			if !tc.whole && !errors.Is(g.err, ErrBroken) {
				t.Errorf("error %v, want %v", g.err, ErrBroken)
			}
		})
	}
}

// TestEndOfTheTimeEndsASteadyAnswer covers one that goes on: what comes after the end is not
// waited for, and the upstream sees the end at once.
func TestEndOfTheTimeEndsASteadyAnswer(t *testing.T) {
	ended := make(chan time.Time, 1)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		say(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 100000000\n\n")
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
		t.Error("an answer that goes on was whole")
	}
	over := time.Now()
	a.Close()
	if late := (<-ended).Sub(over); late > 100*time.Millisecond {
		t.Errorf("the upstream saw the end %s late", late)
	}
}

// TestEndOfTheTimeFreesTheUpstream covers a caller of this package that does not read: the upstream
// is not kept at work for that.
func TestEndOfTheTimeFreesTheUpstream(t *testing.T) {
	ended := make(chan time.Time, 1)
	u := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		readRequest(t, r)
		say(c, "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 9\n\nbody")
		_, _ = r.ReadByte()
		ended <- time.Now()
	})
	ctx, cancel := context.WithCancel(t.Context())
	a, err := newPool().Do(ctx, u.address, request("1"))
	if err != nil {
		t.Fatal(err)
	}
	defer a.Close()
	over := time.Now()
	cancel()
	if late := (<-ended).Sub(over); late > 300*time.Millisecond {
		t.Errorf("the upstream saw the end %s late", late)
	}
}
