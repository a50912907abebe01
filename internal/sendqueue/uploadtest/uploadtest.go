// Package uploadtest has upstreams that answer a long upload before they have read it.
package uploadtest

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// uploadSize is the size in bytes of a body that no buffer of the kernel holds.
	uploadSize = 2 << 20
	// ethernetSegment is the segment size of a connection over Ethernet, in bytes, and uploadBuffer the size of the receive
	// buffer at an upstream.
	ethernetSegment = 1460
	uploadBuffer    = 32 << 10
	// tries is the number of uploads of each case.
	tries = 20
	// timeout is the time limit of uploads to which no answer is complete.
	timeout = 800 * time.Millisecond
	// ID is the identifier of a request that the answers name in the header X-Id.
	ID   = "1"
	head = "HTTP/1.1 200 OK\r\nX-Id: " + ID + "\r\n\r\n"
	part = "part of an answer\n"
)

// Listen returns a listener whose connections have the segments and buffers of a remote upstream, so that a
// write of a long body has to wait for it.
func Listen(t testing.TB) net.Listener {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, ethernetSegment),
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, uploadBuffer))
		})
		return errors.Join(controlErr, err)
	}}
	l, err := config.Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// DialWithTimeout connects to an address with a TCP_USER_TIMEOUT.
func DialWithTimeout(ctx context.Context, address string, timeout time.Duration) (net.Conn, error) {
	d := &net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.Join(controlErr, err)
	}}
	return d.DialContext(ctx, "tcp4", address)
}

// Case is an upstream that answers a long upload at once, without a length.
type Case struct {
	Name string
	// rest is called after the first part of the answer.
	rest func(c *net.TCPConn, r *bufio.Reader)
	// Whole is the whole answer; empty if it is never complete.
	Whole string
	// Silent is set if only the time limit of the request shows that the answer is not complete.
	Silent bool
	// size is the size of the upload in bytes; 0 for uploadSize.
	size int
}

// Cases are all that an upstream may do next.
var Cases = []Case{
	{Name: "resets the connection", rest: func(c *net.TCPConn, _ *bufio.Reader) { reset(c) }},
	{Name: "resets it after five parts", rest: func(c *net.TCPConn, _ *bufio.Reader) {
		for range 4 {
			_, _ = io.WriteString(c, part)
			time.Sleep(time.Millisecond)
		}
		reset(c)
	}},
	{Name: "closes it with the upload unread", rest: func(c *net.TCPConn, _ *bufio.Reader) { _ = c.Close() }},
	{Name: "reads half of the upload and resets it", rest: func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = io.CopyN(io.Discard, r, uploadSize/2)
		reset(c)
	}},
	{Name: "ends its side, reads half of the upload and resets it", rest: func(c *net.TCPConn, r *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, r, uploadSize/2)
		reset(c)
	}},
	{Name: "ends its side and reads nothing", Silent: true, rest: func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		time.Sleep(time.Second)
	}},
	// The write ends before the answer does, as the kernel takes what the upstream has not received.
	{Name: "ends its side and resets the connection while the kernel has the upload", size: 200 << 10, rest: func(c *net.TCPConn, _ *bufio.Reader) {
		_ = c.CloseWrite()
		time.Sleep(100 * time.Millisecond)
		reset(c)
	}},
	{Name: "reads the upload and closes it", rest: func(_ *net.TCPConn, r *bufio.Reader) { _, _ = io.CopyN(io.Discard, r, uploadSize) }, Whole: part},
	{Name: "ends its side and reads the upload", rest: func(c *net.TCPConn, r *bufio.Reader) {
		_ = c.CloseWrite()
		_, _ = io.CopyN(io.Discard, r, uploadSize)
	}, Whole: part},
}

// Unread are the cases in which the upstream resets the connection before it reads the body, so that a write fails.
var Unread = Cases[:3]

// reset closes a connection with a reset.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Body returns the body to upload.
func (u Case) Body() []byte { return []byte(strings.Repeat("u", cmp.Or(u.size, uploadSize))) }

// Serve answers the requests of a listener.
func (u Case) Serve(l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			c := nc.(*net.TCPConn)
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, head+part)
			u.rest(c, r)
		}()
	}
}

// Run sends uploads to the upstream of each case. send sends a body to an address and returns the answer. Only a whole answer
// may come without an error, and an error may come only at the time limit if the case is silent.
func Run(t *testing.T, cases []Case, send func(ctx context.Context, address string, body []byte) (string, error)) {
	for _, u := range cases {
		t.Run(u.Name, func(t *testing.T) {
			t.Parallel()
			l := Listen(t)
			go u.Serve(l)
			var all sync.WaitGroup
			for range tries {
				all.Go(func() { u.check(t, l.Addr().String(), send) })
			}
			all.Wait()
		})
	}
}

func (u Case) check(t *testing.T, address string, send func(ctx context.Context, address string, body []byte) (string, error)) {
	ctx := t.Context()
	if u.Whole == "" {
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		ctx = limited
	}
	got, err := send(ctx, address, u.Body())
	switch {
	case u.Whole == "" && err == nil || u.Whole != "" && (err != nil || got != u.Whole):
		t.Errorf("answer %q, error %v; want %q", got, err, u.Whole)
	case ctx.Err() != nil && !u.Silent:
		t.Errorf("%v only at the time limit", err)
	}
}
