package gateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/link"
)

// answerBody is the body of serveOK, the last bytes of its answer.
const answerBody = "ok"

// maxPeeked is more than the size in bytes of an answer of serveOK.
const maxPeeked = 4 << 10

// expiryConn is a connection whose reads block until the link ends the request at its deadline. It
// simulates a process that gets no CPU time to read an answer before that.
type expiryConn struct {
	*net.TCPConn
	once    sync.Once
	expired chan struct{}
	// answered is set before expired is closed if the whole answer was in the receive buffer by then.
	answered bool
}

func (c *expiryConn) Read(b []byte) (int, error) {
	<-c.expired
	return c.TCPConn.Read(b)
}

func (c *expiryConn) SetDeadline(t time.Time) error {
	err := c.TCPConn.SetDeadline(t)
	if !t.IsZero() && t.Before(time.Now()) {
		c.once.Do(func() {
			c.answered = strings.HasSuffix(c.peek(), answerBody)
			close(c.expired)
		})
	}
	return err
}

// peek returns the bytes in the receive buffer and leaves them there.
func (c *expiryConn) peek() string {
	raw, err := c.SyscallConn()
	if err != nil {
		return ""
	}
	b, n := make([]byte, maxPeeked), 0
	err = raw.Control(func(fd uintptr) {
		n, _, _ = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err != nil || n < 0 {
		return ""
	}
	return string(b[:n])
}

// heldBack is the outcome of a call over a connection that can only be read from its deadline on.
type heldBack struct {
	status int
	// asked reports whether the upstream got the call, and answered whether its answer had arrived
	// at the deadline.
	asked, answered bool
}

// askHeldBack sends such a call with a time limit.
func askHeldBack(t *testing.T, limit time.Duration, serve http.HandlerFunc) heldBack {
	t.Helper()
	f := newFixture(t)
	d, dialed := &net.Dialer{}, make(chan *expiryConn, maxSends)
	f.gateway.link = link.New(link.Settings{DialTimeout: testTimeout, DefaultIdleTimeout: time.Minute, IDHeader: testID}, func(ctx context.Context, address string) (net.Conn, error) {
		nc, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return nil, err
		}
		c := &expiryConn{TCPConn: nc.(*net.TCPConn), expired: make(chan struct{})}
		dialed <- c
		return c, nil
	}, time.Now)
	u := f.add("app", "app-1", serve)
	got := f.ask(pathOnce, func(r *http.Request) { r.Header.Set(testDeadline, strconv.FormatInt(limit.Milliseconds(), 10)) })
	h := heldBack{status: got.status, asked: u.runs() > 0}
	select {
	case c := <-dialed:
		f.waitSignal("the link ended the request", c.expired)
		h.answered = c.answered
	default:
	}
	return h
}

// TestAnswerReceivedBeforeDeadlineIsDelivered guards against a 504 for a call whose answer
// arrived before its deadline. It comes about if the process gets no CPU time to read the answer
// until the deadline has passed. The answer is delivered late.
func TestAnswerReceivedBeforeDeadlineIsDelivered(t *testing.T) {
	for _, tc := range []struct {
		name   string
		serve  http.HandlerFunc
		answer bool
		status int
	}{
		{"the answer arrived in time", serveOK, true, http.StatusOK},
		{"no answer arrived in time", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }, false, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			// On a busy machine the upstream may get the call, or answer it, after a short limit. Such a
			// call shows nothing, and a longer limit follows.
			for limit := 150 * time.Millisecond; limit < testTimeout; limit *= 2 {
				got := askHeldBack(t, limit, tc.serve)
				if !got.asked || got.answered != tc.answer {
					continue
				}
				if got.status != tc.status {
					t.Errorf("status %d at a limit of %s, want %d", got.status, limit, tc.status)
				}
				return
			}
			t.Error("no call reached the upstream, and its answer the gateway, as this test needs it")
		})
	}
}
