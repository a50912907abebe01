// Package link sends single HTTP/1.1 requests to upstreams over pooled connections. The gateway uses
// it in place of net/http's client because it must know whether a request can have reached the
// upstream: a Pool never sends a request twice, distinguishes a failure before the first byte from
// a later one, and matches each answer to its request by identifier. The caller may send a request
// again; a connection carries an identifier only once, so that a late answer to an earlier attempt
// is not taken for the answer to a later one. Headers are encoded and answers are parsed by
// net/http.
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

	"github.com/sparshore/sparshore/internal/httphead"
	"github.com/sparshore/sparshore/internal/sendqueue"
)

// ErrNotSent is wrapped when no byte of the request was sent, so the upstream cannot have run it.
var ErrNotSent = errors.New("request was not sent")

// ErrBroken is wrapped when the connection failed after all or part of the request was sent, so
// the upstream may have run it.
var ErrBroken = errors.New("connection to upstream broke")

// Settings are the fixed parameters of a Pool.
type Settings struct {
	// DialTimeout bounds the time for opening a new connection.
	DialTimeout time.Duration
	// DefaultIdleTimeout is how long an idle connection is kept if the upstream does not state its idle
	// timeout.
	DefaultIdleTimeout time.Duration
	// IdleMargin is subtracted from the idle timeout that an upstream states, so that no request
	// is sent while the upstream closes the connection.
	IdleMargin time.Duration
	// HeadGrace is how long after the cancellation of a request the head of its answer is still
	// awaited. The head may hold information about the upstream that counts for later requests.
	HeadGrace time.Duration
	// IDHeader is the response header that holds the identifier of the request.
	IDHeader string
}

// Pool sends requests to upstreams and keeps idle connections to them.
type Pool struct {
	settings Settings
	dial     func(ctx context.Context, address string) (net.Conn, error)
	now      func() time.Time

	mu   sync.Mutex
	idle map[idleKey][]*conn
}

// idleKey selects the idle connections that a request can use. A connection leads to the upstream that had the address
// when it was opened. An upstream may send a late second answer to a request, which only the identifier tells from the
// answer to the next one. Requests without an identifier therefore share no connection with others.
type idleKey struct {
	address    string
	upstream   string
	identified bool
}

func (r Request) idleKey(address string) idleKey { return idleKey{address, r.Upstream, r.ID != ""} }

// New returns an empty Pool; dial opens a connection to an IP:port.
func New(settings Settings, dial func(ctx context.Context, address string) (net.Conn, error), now func() time.Time) *Pool {
	return &Pool{settings: settings, dial: dial, now: now, idle: map[idleKey][]*conn{}}
}

// conn is one connection. It carries one request at a time.
type conn struct {
	*deadlineConn
	key idleKey
	r   *answerReader
	// headRead is set once the head of the current answer was read.
	headRead atomic.Bool
	expires  time.Time
	// ids are the identifiers of the requests that were sent so far.
	ids carriedIDs
	// carried is the number of requests that were sent before the current one, and idleSince when the last of them
	// ended.
	carried   int
	idleSince time.Time
}

// Connection describes the connection of a request.
type Connection struct {
	// Local is the address at this end.
	Local net.Addr
	// Carried is the number of earlier requests; 0 for a new connection.
	Carried int
	// IdleFor is the time since the last of them ended.
	IdleFor time.Duration
}

// String returns a short text for the log.
func (c Connection) String() string {
	if c.Carried == 0 {
		return fmt.Sprintf("%v new", c.Local)
	}
	return fmt.Sprintf("%v after %d requests, idle for %v", c.Local, c.Carried, c.IdleFor)
}

// describe returns a description for a request that is about to be sent.
func (c *conn) describe(now time.Time) Connection {
	d := Connection{Local: c.LocalAddr(), Carried: c.carried}
	if c.carried > 0 {
		d.IdleFor = now.Sub(c.idleSince)
	}
	return d
}

// usable reports whether an idle connection can carry another request: it has not expired, and the
// upstream has neither closed it nor sent unsolicited bytes.
func (c *conn) usable(now time.Time) bool { return now.Before(c.expires) && openAndSilent(c.Conn) }

// mayCarry reports whether a connection can carry a request with an identifier.
func (c *conn) mayCarry(id string) bool {
	return id == "" || len(c.ids) < maxCarried && !c.ids.has(id)
}

// Request is a request to an upstream. Target is the request target exactly as on the caller's
// request line, so that its bytes are passed on unchanged.
type Request struct {
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// ID is the identifier that the answer is expected to carry; empty for none.
	ID string
	// Upstream identifies the intended upstream and its incarnation. Requests for different ones share no connection.
	Upstream string
	// OwnConnection requests a connection that carries no other request.
	OwnConnection bool
}

// Answer is the head of an upstream's answer; the body is read with Read. Close must be called
// once.
type Answer struct {
	Status int
	Header http.Header
	// Length is the length of the body in bytes, or -1 if it is not known in advance.
	Length int64
	// Framed is false if the body ends only with the end of the connection.
	Framed bool
	// Connection is what carried the request, and Late is the number of answers to earlier requests that came first.
	Connection Connection
	Late       int

	pool       *Pool
	conn       *conn
	resp       *http.Response
	stopExpiry func() bool
	// letClose ends the time in which the connection is kept open for an upstream that reads the request later.
	letClose func()
	written  <-chan error
	// ended is set once the body ended in order, and endErr is why it is incomplete all the same.
	ended  bool
	endErr error
	eof    bool
	close  bool
}

// Do sends one request and reads the head of its answer. When ctx ends, also while the body is
// read, bytes received by then can still be read, and the connection is closed. If ctx is
// cancelled before the head was read, this happens HeadGrace later. Nothing is sent if ctx has ended before.
func (p *Pool) Do(ctx context.Context, address string, req Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	c, err := p.connect(ctx, req.idleKey(address), req.ID, req.OwnConnection)
	if err != nil {
		return nil, err
	}
	c.headRead.Store(false)
	stop := context.AfterFunc(ctx, func() { p.expireRequest(ctx, c) })
	connection, letClose := c.describe(p.now()), func() {}
	if len(req.Body) > asyncBodySize {
		letClose = sendqueue.KeepOpen(c.Conn)
	}
	a, err := p.exchange(c, req)
	c.headRead.Store(true)
	if err != nil {
		stop()
		letClose()
		_ = c.Close()
		return nil, fmt.Errorf("%w (connection %v)", err, connection)
	}
	a.stopExpiry, a.letClose, a.Connection = stop, letClose, connection
	return a, nil
}

// expireRequest ends reads for a request whose context has ended. It waits for the head only after
// a plain cancellation; a context that ended with its deadline or with another cause ends reads at
// once.
func (p *Pool) expireRequest(ctx context.Context, c *conn) {
	if c.headRead.Load() || !errors.Is(context.Cause(ctx), context.Canceled) {
		c.expire()
		return
	}
	time.AfterFunc(p.settings.HeadGrace, c.expire)
}

// connect returns an idle connection that can carry a request with an identifier, or opens a new one.
func (p *Pool) connect(ctx context.Context, key idleKey, id string, fresh bool) (*conn, error) {
	if !fresh {
		if c := p.takeIdle(key, id); c != nil {
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, p.settings.DialTimeout)
	defer cancel()
	nc, err := p.dial(ctx, key.address)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	dc := &deadlineConn{Conn: nc}
	return &conn{deadlineConn: dc, key: key, r: newAnswerReader(dc)}, nil
}

// CheckReachable opens a connection to an address and closes it. It returns an error if nothing accepts
// connections there.
func (p *Pool) CheckReachable(ctx context.Context, address string) error {
	c, err := p.connect(ctx, idleKey{address: address}, "", true)
	if err != nil {
		return err
	}
	return c.Close()
}

// readBufferSize is the size in bytes of a connection's read buffer, enough for about ten events
// of a stream.
const readBufferSize = 4 << 10

func (p *Pool) takeIdle(key idleKey, id string) *conn {
	for {
		c := p.popIdle(key)
		if c == nil {
			return nil
		}
		if c.mayCarry(id) && c.usable(p.now()) {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) popIdle(key idleKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	list[len(list)-1] = nil
	p.idle[key] = list[:len(list)-1]
	return c
}

// Sweep closes idle connections that have expired, were closed by the upstream or received
// unsolicited bytes.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if c.usable(now) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		clear(list[len(kept):])
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
}

// asyncBodySize is the size in bytes above which a body is written in the background, because an
// upstream may answer before it has read all of it.
const asyncBodySize = 16 << 10

// exchange writes the request and reads the head of its answer, skipping repeated answers to earlier
// requests.
func (p *Pool) exchange(c *conn, req Request) (*Answer, error) {
	if req.ID != "" {
		c.ids.add(req.ID)
	}
	written, err := writeRequest(c, req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	start := c.r.consumed()
	for late := range maxSkipped + 1 {
		resp, err := c.r.readHead(req.Method) //nolint:bodyclose // the body ends with the connection, which Answer.Close handles
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		if !p.answersEarlierRequest(c, req, resp) {
			return &Answer{
				Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
				Framed: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0, Late: late,
				pool: p, conn: c, resp: resp, written: written, close: resp.Close || req.OwnConnection || !p.sharesConnection(req, resp),
			}, nil
		}
		err = c.r.skip(resp, start+maxSkippedBytes-c.r.consumed())
		if err != nil {
			return nil, fmt.Errorf("%w: answer to another request: %w", ErrBroken, err)
		}
	}
	return nil, fmt.Errorf("%w: answers to another request: %w", ErrBroken, ErrTooLong)
}

// answersEarlierRequest reports whether an answer belongs to an earlier request on the connection,
// since an upstream may answer a request twice.
func (p *Pool) answersEarlierRequest(c *conn, req Request, resp *http.Response) bool {
	if req.ID == "" || p.settings.IDHeader == "" {
		return false
	}
	id := resp.Header.Get(p.settings.IDHeader)
	return id != req.ID && id != "" && c.ids.has(id)
}

// sharesConnection reports whether a connection can carry another request after an answer. After an answer to another
// request the right one may still come, and a connection to another upstream is of no use.
func (p *Pool) sharesConnection(req Request, resp *http.Response) bool {
	if resp.StatusCode == http.StatusMisdirectedRequest {
		return false
	}
	return req.ID == "" || p.settings.IDHeader == "" || resp.Header.Get(p.settings.IDHeader) == req.ID
}

// writeRequest writes the request, a large body in the background. The channel receives the result
// of the write, and nothing else may be written to the connection before.
func writeRequest(c *conn, req Request) (<-chan error, error) {
	w := bufio.NewWriterSize(c, asyncBodySize)
	writeHead(w, req)
	written := make(chan error, 1)
	if len(req.Body) <= asyncBodySize {
		_, _ = w.Write(req.Body)
		err := w.Flush()
		written <- err
		return written, err
	}
	go func() {
		_, _ = w.Write(req.Body)
		written <- w.Flush()
	}()
	return written, nil
}

// writeHead writes the request line and the headers. Errors are ignored here because the
// bufio.Writer returns the first one from Flush.
func writeHead(w *bufio.Writer, req Request) {
	_, _ = w.WriteString(req.Method + " " + req.Target + " HTTP/1.1\r\nHost: " + req.Host + "\r\n")
	_ = req.Header.Write(w)
	if len(req.Body) > 0 || req.Method == http.MethodPost || req.Method == http.MethodPut || req.Method == http.MethodPatch {
		_, _ = w.WriteString("Content-Length: " + strconv.Itoa(len(req.Body)) + "\r\n")
	}
	_, _ = w.WriteString("\r\n")
}

// Read reads the body. It returns io.EOF only after a complete body.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.resp.Body.Read(b)
	switch {
	case errors.Is(err, io.EOF):
		if err := a.checkEnd(); err != nil {
			return n, err
		}
		a.eof = true
	case errors.Is(err, http.ErrLineTooLong):
		// The line with the length of a chunk.
		err = fmt.Errorf("%w: %w: %w", ErrBroken, ErrTooLong, err)
	case err != nil:
		err = fmt.Errorf("%w: %w", ErrBroken, err)
	}
	return n, err
}

// checkEnd returns why a body is incomplete although it ended in order, for example because its trailer is invalid. The
// kernel reports the error of a connection only once: if a write got it, a read finds the end of the stream. So the end of
// the connection ends a body only if the request has arrived, for which checkEnd waits until the request ends.
func (a *Answer) checkEnd() error {
	if a.ended {
		return a.endErr
	}
	a.ended = true
	if err := httphead.CheckFields(a.resp.Trailer); err != nil {
		a.endErr = fmt.Errorf("%w: trailer: %w", ErrBroken, err)
	}
	if a.Framed {
		return a.endErr
	}
	err := <-a.written
	if err == nil {
		err = sendqueue.AwaitEmpty(a.conn.Conn, a.conn.expired.Load)
	}
	if err != nil {
		a.endErr = fmt.Errorf("%w: the connection ended during the request: %w", ErrBroken, err)
	}
	return a.endErr
}

// Closing reports whether the connection is closed after this answer.
func (a *Answer) Closing() bool { return a.close }

// Close returns the connection to the pool if the answer was read to its end and the connection is
// reusable, and closes it otherwise.
func (a *Answer) Close() {
	a.letClose()
	if !a.stopExpiry() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	a.pool.putIdle(a.conn, a.Header)
}

// Clean reports whether the body was read to an end that its head announces, and nothing more has
// been received. Otherwise the upstream does not write its answers correctly.
func (a *Answer) Clean() bool { return a.eof && a.Framed && a.conn.r.Buffered() == 0 }

func (a *Answer) reusable() bool {
	if a.close || !a.Clean() {
		return false
	}
	select {
	case err := <-a.written:
		return err == nil && a.conn.SetDeadline(time.Time{}) == nil
	default:
		return false
	}
}

func (p *Pool) putIdle(c *conn, h http.Header) {
	c.idleSince = p.now()
	c.expires = c.idleSince.Add(p.idleTimeout(h))
	c.carried++
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.key] = append(p.idle[c.key], c)
}

// idleTimeout returns how long an idle connection may be kept, from the Keep-Alive header of the
// upstream.
func (p *Pool) idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(value)
		if name != "timeout" || err != nil {
			continue
		}
		return max(time.Duration(n)*time.Second-p.settings.IdleMargin, 0)
	}
	return p.settings.DefaultIdleTimeout
}
