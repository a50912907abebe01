// Package link sends single HTTP/1.1 requests to upstreams over kept
// connections. It exists beside net/http's own client because a caller must
// know whether a request can have reached the upstream: it never sends a
// request twice, it tells a failure before the first byte from a later one, and
// it pairs each answer with its request by identifier. The encoding of headers
// and the parsing of answers are net/http's.
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// ErrNotSent is wrapped when no byte of the request left this process, so the
// upstream cannot have run it.
var ErrNotSent = errors.New("request was not sent")

// ErrBroken is wrapped when the connection failed after the request, or part of
// it, was sent: the upstream may have run it.
var ErrBroken = errors.New("connection to upstream broke")

// Settings are the fixed numbers of a Pool.
type Settings struct {
	// DialWithin bounds the time a new connection may take to come up.
	DialWithin time.Duration
	// IdleUnknown is how long a connection is kept when the upstream did not
	// say for how long it keeps it.
	IdleUnknown time.Duration
	// IdleMargin is taken off the time an upstream says it keeps a connection,
	// so that a request does not cross its close.
	IdleMargin time.Duration
	// HeadWithin is how long after a request was cancelled the head of its answer is waited
	// for: what an upstream says of itself there counts for the next ones.
	HeadWithin time.Duration
	// IDHeader is the header by which an answer names its request.
	IDHeader string
}

// Pool keeps idle connections to upstreams.
type Pool struct {
	settings Settings
	dial     func(ctx context.Context, address string) (net.Conn, error)
	now      func() time.Time

	mu   sync.Mutex
	idle map[string][]*conn
}

// New returns an empty Pool; dial opens a connection to an IP:port.
func New(settings Settings, dial func(ctx context.Context, address string) (net.Conn, error), now func() time.Time) *Pool {
	return &Pool{settings: settings, dial: dial, now: now, idle: map[string][]*conn{}}
}

// conn is one connection; it carries one request at a time.
type conn struct {
	*late
	address string
	r       *bufio.Reader
	// heard is set once the head of the answer under way was read.
	heard   atomic.Bool
	expires time.Time
	lastID  string
}

// usable reports whether an idle connection can carry another request: its time is
// not over, and the upstream has neither closed it nor sent what nobody asked for.
func (c *conn) usable(now time.Time) bool { return now.Before(c.expires) && quiet(c.Conn) }

// Request is what is sent to an upstream. Target is the request target as it
// stands on the request line, so that its bytes stay as the caller sent them.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the answer must name; empty for none.
	ID string
	// Fresh asks for a new connection.
	Fresh bool
}

// Answer is the head of an upstream's answer; its body is still to be read.
// Close must be called once.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, -1 if it is not known ahead.
	Length int64
	// Framed is false when only the end of the connection ends the body.
	Framed bool

	pool    *Pool
	conn    *conn
	body    io.ReadCloser
	stop    func() bool
	written <-chan error
	ended   bool
	close   bool
}

// Do sends one request and reads the head of its answer. When ctx ends, also while the body is
// read, what has come by then can be read, and the connection is closed; if ctx is cancelled before
// the head has come, HeadWithin later.
func (p *Pool) Do(ctx context.Context, address string, req Request) (*Answer, error) {
	c, err := p.connect(ctx, address, req.Fresh)
	if err != nil {
		return nil, err
	}
	c.heard.Store(false)
	stop := context.AfterFunc(ctx, func() { p.giveUp(ctx, c) })
	a, err := p.exchange(c, req)
	c.heard.Store(true)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, err
	}
	a.stop = stop
	return a, nil
}

// giveUp ends the time of a request whose context has ended. One that was cancelled for a reason of
// its own ends at once, as one whose time is over does.
func (p *Pool) giveUp(ctx context.Context, c *conn) {
	if c.heard.Load() || !errors.Is(context.Cause(ctx), context.Canceled) {
		c.end()
		return
	}
	time.AfterFunc(p.settings.HeadWithin, c.end)
}

// connect takes an idle connection that is still open, or makes a new one.
func (p *Pool) connect(ctx context.Context, address string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(address); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialWithin)
	defer cancel()
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	l := &late{Conn: nc}
	return &conn{late: l, address: address, r: bufio.NewReaderSize(l, readBuffer)}, nil
}

// Reach opens a connection to an address and closes it: it tells whether anything listens
// there.
func (p *Pool) Reach(ctx context.Context, address string) error {
	c, err := p.connect(ctx, address, true)
	if err != nil {
		return err
	}
	return c.Close()
}

// readBuffer is the size in bytes of a connection's read buffer: some ten
// events of a stream.
const readBuffer = 4 << 10

func (p *Pool) takeIdle(address string) *conn {
	for {
		c := p.popIdle(address)
		if c == nil {
			return nil
		}
		if c.usable(p.now()) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[address] = list[:len(list)-1]
	return c
}

// Sweep closes connections whose time is over or whose upstream closed them or
// sent bytes that nobody asked for.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.usable(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[address] = kept
		if len(kept) == 0 {
			delete(p.idle, address)
		}
	}
}

// asyncBody is the size in bytes from which a body is written while the answer
// is awaited: an upstream may answer before it has read all of it.
const asyncBody = 16 << 10

// exchange writes the request and reads answers until the one that names it.
func (p *Pool) exchange(c *conn, req Request) (*Answer, error) {
	written, err := send(c, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	for {
		resp, err := readHead(c.r, req.Method) //nolint:bodyclose // the body ends with the connection, which Answer.Close handles
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if p.otherRequest(c, req, resp) {
			if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.Close {
				return nil, fmt.Errorf("%w: answer to another request", ErrBroken)
			}
			continue
		}
		return &Answer{
			Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
			Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0,
			pool:   p, conn: c, body: resp.Body, written: written, close: resp.Close,
		}, nil
	}
}

// otherRequest reports whether an answer belongs to the request before this
// one: an upstream may answer a request twice.
func (p *Pool) otherRequest(c *conn, req Request, resp *http.Response) bool {
	if req.ID == "" || p.settings.IDHeader == "" {
		return false
	}
	if resp.Header.Get(p.settings.IDHeader) == req.ID {
		c.lastID = req.ID
		return false
	}
	return c.lastID != "" && resp.Header.Get(p.settings.IDHeader) == c.lastID
}

// readHead reads the head of a final answer, past informational ones.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// send writes the request. A large body is written in the background; the
// channel then tells how that ended, and nothing else may be sent before.
func send(c *conn, req Request) (<-chan error, error) {
	w := bufio.NewWriterSize(c, asyncBody)
	head(w, req)
	done := make(chan error, 1)
	if len(req.Body) <= asyncBody {
		_, _ = w.Write(req.Body)
		err := w.Flush()
		done <- err
		return done, err
	}
	go func() {
		_, _ = w.Write(req.Body)
		done <- w.Flush()
	}()
	return done, nil
}

// head writes the request line and the headers; the bufio.Writer keeps the
// first error for its Flush.
func head(w *bufio.Writer, req Request) {
	_, _ = w.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(w)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// Read reads the body; io.EOF means that it is whole.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		a.ended = true
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return n, err
}

// Closing reports whether the upstream said that it closes the connection after
// this answer.
func (a *Answer) Closing() bool { return a.close }

// Close gives the connection back if the answer was read to its end and
// nothing else stands against it, and closes it otherwise.
func (a *Answer) Close() {
	if !a.stop() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.pool.keep(a.conn, a.Header)
}

func (a *Answer) reusable() bool {
	if !a.ended || a.close || !a.Framed || a.conn.r.Buffered() > 0 {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil && a.conn.SetDeadline(time.Time{}) == nil
	default:
		return false
	}
}

func (p *Pool) keep(c *conn, h http.Header) {
	c.expires = p.now().Add(p.keepFor(h))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.address] = append(p.idle[c.address], c)
}

// keepFor reads how long the upstream keeps an idle connection.
func (p *Pool) keepFor(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		return max(time.Duration(n)*time.Second-p.settings.IdleMargin, 0)
	}
	return p.settings.IdleUnknown
}
