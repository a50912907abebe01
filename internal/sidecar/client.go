package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
)

// Refusal is the error for a generation that certainly did not run.
type Refusal struct {
	reason    string
	retryAt   time.Time
	elsewhere bool
}

// Error returns the reason.
func (r *Refusal) Error() string { return "refused: " + r.reason }

// Reason returns the reason that the sidecar gave.
func (r *Refusal) Reason() string { return r.reason }

// RetryAt returns when to retry; zero if the sidecar gave no time.
func (r *Refusal) RetryAt() time.Time { return r.retryAt }

// Elsewhere reports whether another upstream may accept the request.
func (r *Refusal) Elsewhere() bool { return r.elsewhere }

// Generate describes a generation to start.
type Generate struct {
	Request   string
	Version   config.Version
	Account   string
	Model     string
	Path      string
	Body      json.RawMessage
	Prompt    int
	MaxTokens int
	StartBy   time.Time
}

// Client is the entry's end of the protocol: it starts generations, receives their tokens and runs
// calls to plain services.
type Client struct {
	rec     *events.Recorder
	serial  atomic.Int64
	dropped atomic.Int64

	mu      sync.Mutex
	streams map[int64]*Stream
}

// NewClient returns a Client without streams.
func NewClient(rec *events.Recorder) *Client {
	return &Client{rec: rec, streams: map[int64]*Stream{}}
}

// Methods returns the handlers for messages from sidecars.
func (c *Client) Methods() peer.Methods {
	return peer.Methods{methodTokens: c.tokens}
}

// Dropped returns how many frames were dropped because they did not belong to an open stream, or
// did not carry its generation or next offset.
func (c *Client) Dropped() int64 { return c.dropped.Load() }

// Open returns the number of streams that are being received.
func (c *Client) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.streams)
}

// Stream is one generation as an entry receives it.
type Stream struct {
	client *Client
	conn   *peer.Conn
	sub    int64

	mu         sync.Mutex
	generation string
	next       int64
	choices    []json.RawMessage
	end        *endNote
	wake       chan struct{}
}

// Part is the next piece of a stream: choices with consecutive offsets, and the end if it has
// arrived.
type Part struct {
	first   int64
	choices []json.RawMessage
	end     *endNote
}

// First returns the offset of the first choice.
func (p Part) First() int64 { return p.first }

// Choices returns the choices as the engine wrote them.
func (p Part) Choices() []json.RawMessage { return p.choices }

// Ended reports whether the stream has ended after these choices.
func (p Part) Ended() bool { return p.end != nil }

// Whole reports whether the stream ended with its last token.
func (p Part) Whole() bool { return p.end != nil && p.end.Whole }

// Reason returns why the stream was cut.
func (p Part) Reason() string {
	if p.end == nil {
		return ""
	}
	return p.end.Reason
}

// EndedIncarnation returns the incarnation of the engine that ended while it ran the generation; empty if
// none did.
func (p Part) EndedIncarnation() string {
	if p.end == nil {
		return ""
	}
	return p.end.EndedIncarnation
}

// Output returns the number of output tokens of an ended stream.
func (p Part) Output() int64 {
	if p.end == nil {
		return 0
	}
	return p.end.Output
}

// Usage returns the engine's own token count, nil if it gave none.
func (p Part) Usage() json.RawMessage {
	if p.end == nil {
		return nil
	}
	return p.end.Usage
}

func (c *Client) newStream(conn *peer.Conn, after int64) *Stream {
	s := &Stream{client: c, conn: conn, sub: c.serial.Add(1), next: after + 1, wake: make(chan struct{}, 1)}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.streams[s.sub] = s
	return s
}

// Generate asks the sidecar p to run a generation. It returns a *Refusal if nothing ran, and an
// error wrapping peer.ErrLost if it is unknown whether anything ran.
func (c *Client) Generate(ctx context.Context, p *membership.Peer, g Generate) (*Stream, error) {
	conn := p.Conn()
	if conn == nil {
		return nil, fmt.Errorf("%w: %s", peer.ErrUnreachable, p.Address())
	}
	s := c.newStream(conn, 0)
	params := generateParams{
		Sub: s.sub, Request: g.Request, Incarnation: p.Identity().Incarnation(), Version: g.Version,
		Account: g.Account, Model: g.Model, Path: g.Path, Body: g.Body, Prompt: g.Prompt,
		MaxTokens: g.MaxTokens, StartBy: g.StartBy.UnixMilli(), Stamp: c.rec.Now(),
	}
	var r generateResult
	if err := conn.Call(ctx, methodGenerate, params, &r); err != nil {
		s.Cancel()
		return nil, err
	}
	c.rec.Observe(r.Stamp)
	p.SetLoad(r.Load)
	if r.Refused != nil {
		s.Close()
		return nil, refusalError(r.Refused)
	}
	s.setGeneration(r.Generation)
	return s, nil
}

func refusalError(r *refusal) *Refusal {
	e := &Refusal{reason: r.Reason, elsewhere: r.Elsewhere}
	if r.RetryAt > 0 {
		e.retryAt = time.UnixMilli(r.RetryAt)
	}
	return e
}

// Resume continues a generation after the given offset. ErrNoGeneration means that the sidecar no
// longer keeps the generation, or not from that offset on.
func (c *Client) Resume(ctx context.Context, p *membership.Peer, generation string, after int64, account string) (*Stream, error) {
	conn := p.Conn()
	if conn == nil {
		return nil, fmt.Errorf("%w: %s", peer.ErrUnreachable, p.Address())
	}
	s := c.newStream(conn, after)
	s.setGeneration(generation)
	var r generateResult
	err := conn.Call(ctx, methodResume, resumeParams{Sub: s.sub, Generation: generation, After: after, Account: account}, &r)
	if err == nil {
		return s, nil
	}
	s.Close()
	if errors.Is(err, peer.ErrRefused) {
		return nil, fmt.Errorf("%w: %s after %d", ErrNoGeneration, generation, after)
	}
	return nil, err
}

func (s *Stream) setGeneration(generation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.generation = generation
}

// Generation returns the identifier under which the stream can be resumed.
func (s *Stream) Generation() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.generation
}

// tokens handles a message with frames. A frame is accepted only if it carries the next offset of
// its stream, for the stream's generation and on the stream's connection. All others are dropped
// and counted.
func (c *Client) tokens(_ context.Context, conn *peer.Conn, raw json.RawMessage) (any, error) {
	var notes []tokensNote
	if err := json.Unmarshal(raw, &notes); err != nil {
		c.dropped.Add(1)
		return nil, fmt.Errorf("%w: tokens: %v", errParams, err)
	}
	for _, n := range notes {
		c.handleFrame(conn, n)
	}
	return nil, nil
}

func (c *Client) handleFrame(conn *peer.Conn, n tokensNote) {
	c.mu.Lock()
	s, ok := c.streams[n.Sub]
	c.mu.Unlock()
	if !ok && n.End == nil {
		// The entry gave up the request before the sidecar received it, so the sidecar runs a
		// generation that nobody receives.
		go func() { _ = conn.Notify(context.Background(), methodCancel, cancelNote{Sub: n.Sub}) }()
	}
	if !ok || s.conn != conn || !s.appendFrame(n) {
		c.dropped.Add(1)
		c.rec.Note(events.FrameDropped, "", "generation", n.Generation, "first", n.First)
	}
}

// appendFrame adds the frame's choices if they come next, and reports whether it did.
func (s *Stream) appendFrame(n tokensNote) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.generation == "" {
		s.generation = n.Generation
	}
	expected := s.next + int64(len(s.choices))
	if s.end != nil || n.Generation != s.generation || n.First != expected {
		return false
	}
	s.choices = append(s.choices, n.Choices...)
	s.end = n.End
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return true
}

// Next waits for more of the stream. It returns an error wrapping peer.ErrLost when the connection
// ended first.
func (s *Stream) Next(ctx context.Context) (Part, error) {
	for {
		if p, ok := s.ready(); ok {
			return p, nil
		}
		var err error
		select {
		case <-s.wake:
			continue
		case <-ctx.Done():
			err = ctx.Err()
		case <-s.conn.Done():
			err = fmt.Errorf("%w: stream %s", peer.ErrLost, s.Generation())
		}
		// More of the stream may have arrived together with the event that ended the wait. It takes
		// precedence over the error.
		if p, ok := s.ready(); ok {
			return p, nil
		}
		return Part{}, err
	}
}

func (s *Stream) ready() (Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.choices) == 0 && s.end == nil {
		return Part{}, false
	}
	p := Part{first: s.next, choices: s.choices, end: s.end}
	s.next += int64(len(s.choices))
	s.choices = nil
	return p, true
}

// Ack tells the sidecar that everything up to offset upto was written to the caller.
func (s *Stream) Ack(upto int64) {
	_ = s.conn.Notify(context.Background(), methodAck, ackNote{Sub: s.sub, Upto: upto})
}

// Close stops receiving; the sidecar keeps the generation for its grace period.
func (s *Stream) Close() {
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	delete(s.client.streams, s.sub)
}

// Cancel stops receiving and ends the generation on the engine.
func (s *Stream) Cancel() {
	_ = s.conn.Notify(context.Background(), methodCancel, cancelNote{Sub: s.sub})
	s.Close()
}

// Call describes a call to a plain service.
type Call struct {
	// Request is the entry's identifier of the request, for the timeline.
	Request string
	// ID is the account, a slash, and the caller's or entry's identifier of the call.
	ID         string
	Pool       string
	Version    config.Version
	Method     string
	Path       string
	Header     http.Header
	Body       []byte
	Repeatable bool
	StartBy    time.Time
}

// Result is what is known about a call.
type Result struct {
	outcome Outcome
	reason  string
	status  int
	header  http.Header
	body    []byte
	// endedIncarnation is the incarnation of the service that ended while it ran the call.
	endedIncarnation string
	retryAt          time.Time
}

// RetryAt returns when to retry a call that was not run; zero if that is unknown.
func (r Result) RetryAt() time.Time { return r.retryAt }

// EndedIncarnation returns the incarnation of the service that ended while it ran the call; empty if none
// did.
func (r Result) EndedIncarnation() string { return r.endedIncarnation }

// Outcome returns whether the call ran.
func (r Result) Outcome() Outcome { return r.outcome }

// Reason returns why there is no answer.
func (r Result) Reason() string { return r.reason }

// Status returns the service's HTTP status, 0 if its answer is not kept.
func (r Result) Status() int { return r.status }

// Header returns the header of the service's answer.
func (r Result) Header() http.Header { return r.header }

// Body returns the body of the service's answer.
func (r Result) Body() []byte { return r.body }

// NewResult returns a result without an answer.
func NewResult(o Outcome, reason string) Result { return Result{outcome: o, reason: reason} }

// NewNotRun returns the result of a call that was not run.
func NewNotRun(reason string, retryAt time.Time) Result {
	return Result{outcome: NotRun, reason: reason, retryAt: retryAt}
}

func (c *Client) result(r invokeResult) Result {
	c.rec.Observe(r.Stamp)
	out := Result{outcome: r.Outcome, reason: r.Reason, status: r.Status, header: r.Header, body: r.Body, endedIncarnation: r.EndedIncarnation}
	if r.RetryAt > 0 {
		out.retryAt = time.UnixMilli(r.RetryAt)
	}
	return out
}

// Invoke runs a call at the sidecar p. An error wrapping peer.ErrUnreachable means that nothing was
// sent.
func (c *Client) Invoke(ctx context.Context, p *membership.Peer, call Call) (Result, error) {
	conn := p.Conn()
	if conn == nil {
		return Result{}, fmt.Errorf("%w: %s", peer.ErrUnreachable, p.Address())
	}
	params := invokeParams{
		Request: call.Request, ID: call.ID, Pool: call.Pool, Version: call.Version, Method: call.Method, Path: call.Path,
		Header: call.Header, Body: call.Body, Repeatable: call.Repeatable, StartBy: call.StartBy.UnixMilli(),
	}
	var r invokeResult
	if err := conn.Call(ctx, methodInvoke, params, &r); err != nil {
		return Result{}, err
	}
	if r.Load != nil {
		p.SetLoad(*r.Load)
	}
	return c.result(r), nil
}

// Settle asks the sidecar p what became of a call. If the call never arrived there, a tombstone
// keeps it from running later, and the outcome is NotRun.
func (c *Client) Settle(ctx context.Context, p *membership.Peer, call Call) (Result, error) {
	conn := p.Conn()
	if conn == nil {
		return Result{}, fmt.Errorf("%w: %s", peer.ErrUnreachable, p.Address())
	}
	var r invokeResult
	if err := conn.Call(ctx, methodSettle, settleParams{Request: call.Request, ID: call.ID, Pool: call.Pool, Version: call.Version}, &r); err != nil {
		return Result{}, err
	}
	return c.result(r), nil
}

// Drain tells the sidecar p to accept no new work.
func (c *Client) Drain(ctx context.Context, p *membership.Peer, by string) error {
	conn := p.Conn()
	if conn == nil {
		return fmt.Errorf("%w: %s", peer.ErrUnreachable, p.Address())
	}
	return conn.Call(ctx, methodDrain, drainParams{By: by}, nil)
}
