// Package reconnect sends HTTP requests over connections that may fall silent: they carry nothing any more,
// without a reset, while new connections work. Nothing but an answer that does not come shows this, so a
// Client repeats a request on a new connection once its answer is overdue, and takes the answer that comes
// first. If that is the one on the new connection, all requests in flight on older connections are repeated
// at once. The gateway daemon uses one Client for its calls to the platform's store.
package reconnect

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/httphead"
	"github.com/sparshore/sparshore/internal/sizebound"
)

// Settings holds the fixed parameters of a Client.
type Settings struct {
	// OverdueMin and OverdueMax bound the time after which an answer is overdue, beyond the time for which
	// the server is asked to hold it. In between it follows how late answers came recently.
	OverdueMin time.Duration
	OverdueMax time.Duration
	// MaxBody bounds the body of an answer in bytes. A longer one is an error.
	MaxBody int64
}

// Request is a request that can be sent more than once.
type Request struct {
	Method string
	URL    string
	Header http.Header
	Body   []byte
	// Held is how long the server may hold the answer.
	Held time.Duration
	// Repeatable is set if the request may be sent again although the first one may have taken effect.
	Repeatable bool
}

// Answer is a whole answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Client sends requests.
type Client struct {
	settings Settings
	// connect returns a transport without connections.
	connect func() *httphead.Transport
	rec     *events.Recorder
	now     func() time.Time
	// largeBytes is what counts in Settings.maxLargeBytes.
	largeBytes atomic.Int64

	mu   sync.Mutex
	pool *pool
	// lateness is how late answers came recently.
	lateness time.Duration
}

// pool holds the connections that were opened since the last replacement.
type pool struct {
	transport *httphead.Transport
	// silent is closed once a connection of the pool is known to be silent.
	silent chan struct{}
}

// New returns a Client whose connections are opened by the transports that connect returns.
func New(settings Settings, connect func() *http.Transport, rec *events.Recorder, now func() time.Time) *Client {
	bounded := func() *httphead.Transport {
		t := connect()
		t.MaxResponseHeaderBytes = sizebound.MaxHeadBytes
		return &httphead.Transport{Transport: t}
	}
	return &Client{settings: settings, connect: bounded, rec: rec, now: now, pool: &pool{transport: bounded(), silent: make(chan struct{})}}
}

// attempt is the outcome of sending a request once.
type attempt struct {
	answer Answer
	err    error
	// again is set for the second time.
	again bool
}

// Do sends a request and reads the whole answer. If no answer comes before ctx ends, it returns the error of
// the attempt that failed last.
func (c *Client) Do(ctx context.Context, req Request) (Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent, first := c.now(), c.currentPool()
	results := make(chan attempt, 2)
	var used connectionUse
	go func() { results <- c.send(ctx, first, req, &used) }()
	due := time.NewTimer(req.Held + c.overdue())
	defer due.Stop()
	running, silent := 1, first.silent
	for {
		select {
		case a := <-results:
			running--
			if a.err == nil || running == 0 {
				c.observe(a, first, req, c.now().Sub(sent), &used)
				return a.answer, a.err
			}
		case <-due.C:
			if running += c.repeat(ctx, first, req, &used, results); running > 1 {
				silent = nil
			}
		case <-silent:
			silent = nil
			due.Reset(0)
		}
	}
}

// repeat sends a request again on a new connection, if that may help, and returns the number of attempts that
// it started. A request on a connection that was just opened is only repeated if the server was asked to hold
// the answer, so that an overloaded server does not get more requests.
func (c *Client) repeat(ctx context.Context, first *pool, req Request, used *connectionUse, results chan<- attempt) int {
	if !used.reused() && req.Held == 0 {
		return 0
	}
	next := c.replace(first)
	if !req.Repeatable {
		return 0
	}
	go func() {
		a := c.send(ctx, next, req, &connectionUse{})
		a.again = true
		results <- a
	}()
	return 1
}

// observe learns from the first answer to a request.
func (c *Client) observe(a attempt, first *pool, req Request, took time.Duration, used *connectionUse) {
	switch {
	case a.err != nil:
	case a.again:
		c.rec.Note(events.ConnectionSilent, "", "url", req.URL, "held", req.Held, "answered-after", took, "idle", used.idleTime())
		c.markSilent(first)
	default:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.lateness = max(took-req.Held, time.Duration(latenessDecay*float64(c.lateness)))
	}
}

// latenessDecay is the part of the recent lateness that remains with each answer in time.
const latenessDecay = 0.8

// latenessFactor times the recent lateness is the time after which an answer is overdue.
const latenessFactor = 2

// overdue returns the time after which an answer is overdue, beyond the time for which it is held.
func (c *Client) overdue() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(max(latenessFactor*c.lateness, c.settings.OverdueMin), c.settings.OverdueMax)
}

func (c *Client) currentPool() *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pool
}

// replace makes later requests use new connections, unless that has happened since a pool was current. It
// returns the current pool.
func (c *Client) replace(old *pool) *pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pool == old {
		c.pool = &pool{transport: c.connect(), silent: make(chan struct{})}
		// The transport also closes connections that become idle after this.
		old.transport.CloseIdleConnections()
	}
	return c.pool
}

// markSilent has the requests in flight on the connections of a pool repeated.
func (c *Client) markSilent(p *pool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-p.silent:
	default:
		close(p.silent)
	}
}

// send sends a request over the connections of a pool and reads the whole answer.
func (c *Client) send(ctx context.Context, p *pool, req Request, used *connectionUse) attempt {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.record})
	r, err := http.NewRequestWithContext(ctx, req.Method, req.URL, bytes.NewReader(req.Body))
	if err != nil {
		return attempt{err: err}
	}
	if req.Header != nil {
		r.Header = req.Header.Clone()
	}
	resp, err := p.transport.RoundTrip(r)
	if err != nil {
		return attempt{err: used.describe(err)}
	}
	defer func() { _ = resp.Body.Close() }()
	if !sizebound.Within(resp.Header) {
		return attempt{err: used.describe(fmt.Errorf("%w: more than %d header lines", sizebound.ErrTooLong, sizebound.MaxHeadLines))}
	}
	if resp.ContentLength > c.settings.MaxBody {
		return attempt{err: used.describe(fmt.Errorf("%w: %d bytes, at most %d are read", sizebound.ErrTooLong, resp.ContentLength, c.settings.MaxBody))}
	}
	body, err := c.readBody(resp.Body)
	if err != nil {
		return attempt{err: used.describe(err)}
	}
	return attempt{answer: Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}}
}
