package sidecar

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/guard"
	"github.com/sparshore/sparshore/internal/inflight"
	"github.com/sparshore/sparshore/internal/lease"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/policy"
)

// Settings are the fixed parameters of one sidecar.
type Settings struct {
	// Upstream is the upstream's name in the configuration.
	Upstream string
	// URL is the upstream's base URL.
	URL string
	// Decision describes the engine; unused beside a plain service.
	Decision decision.Settings
	// DetachGrace is how long a generation without a receiver runs before it is cut.
	DetachGrace time.Duration
	// KeepEnded is how long an ended generation can still be resumed.
	KeepEnded time.Duration
	// UnackedBytes and RetainedBytes bound the buffer of one stream.
	UnackedBytes  int
	RetainedBytes int
	// CallWindow is how long a call identifier is accepted and its record kept.
	CallWindow time.Duration
	// AnswerBytes bounds the kept answers of all calls.
	AnswerBytes int
	// Skew bounds how much two clocks differ.
	Skew time.Duration
	// CallTimeout bounds one call to a plain service.
	CallTimeout time.Duration
	// LimitHeader is the header by which the upstream announces in its answers how many requests a
	// second it accepts; empty if it announces none.
	LimitHeader string
	// LeavingHeader is the header by which the upstream announces in its answers that it is
	// leaving; empty if it does not announce that.
	LeavingHeader string
}

// Server is the sidecar's end of the protocol, which entries call.
type Server struct {
	settings     Settings
	identity     membership.Identity
	rec          *events.Recorder
	metrics      *Metrics
	active       func() *config.Active
	now          func() time.Time
	lease        *lease.Lease
	runner       *runner
	registry     *callRegistry
	service      *serviceLink
	incarnations *upstreamIncarnations
	limiter      *upstreamLimiter
	// OnConfigBehind, if set before use, is called when a request has a newer configuration than the
	// active one. It returns when the newer configuration was fetched or cannot be fetched.
	OnConfigBehind func(c *peer.Conn)
	policies       atomic.Pointer[policy.Set]
	// after calls f in its own goroutine once d has passed.
	after func(d time.Duration, f func())

	draining atomic.Bool
	serial   atomic.Int64
	inFlight inflight.Counter

	mu          sync.Mutex
	generations map[string]*generation
}

// New returns a Server. active returns the configuration in force, now the wall clock time.
func New(settings Settings, identity membership.Identity, l *lease.Lease, rec *events.Recorder,
	metrics *Metrics, active func() *config.Active, now func() time.Time) *Server {
	link := newEngineLink(settings.URL, l.Fence)
	incarnations := newUpstreamIncarnations(settings.URL, identity.Incarnation())
	limiter := newUpstreamLimiter(settings.LimitHeader, incarnations, rec, now)
	limiter.notices.leavingHeader = settings.LeavingHeader
	link.onAnswer, link.onHeader = limiter.observeAnswer, limiter.notices.observeHeader
	service := newServiceLink(settings.URL, l.Fence)
	service.onAnswer, service.onHeader = limiter.observeAnswer, limiter.notices.observeHeader
	return &Server{
		settings:     settings,
		identity:     identity,
		rec:          rec,
		metrics:      metrics,
		active:       active,
		now:          now,
		lease:        l,
		runner:       newRunner(link, incarnations, settings.Decision, rec, metrics, now),
		registry:     newCallRegistry(settings.CallWindow, settings.AnswerBytes, now),
		service:      service,
		incarnations: incarnations,
		limiter:      limiter,
		after:        func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		generations:  map[string]*generation{},
	}
}

// Methods returns the handlers for messages from entries.
func (s *Server) Methods() peer.Methods {
	return peer.Methods{
		methodGenerate: s.generate,
		methodResume:   s.resume,
		methodAck:      s.ack,
		methodCancel:   s.cancel,
		methodInvoke:   s.countInFlight(s.invoke),
		methodSettle:   s.countInFlight(s.settle),
		methodDrain:    s.handleDrain,
	}
}

// countInFlight wraps a handler so that its call counts as in flight until the answer is written.
// If the call counted only until the handler returns, a planned stop could close the connection
// while the answer is being written.
func (s *Server) countInFlight(h peer.Handler) peer.Handler {
	return func(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
		s.inFlight.Enter()
		answered := false
		defer func() {
			// After a panic no answer is sent that would end the call.
			if !answered {
				s.inFlight.Leave()
			}
		}()
		result, err := h(ctx, c, raw)
		answered = true
		return peer.Answer{Result: result, Sent: s.inFlight.Leave}, err
	}
}

// Run does the periodic work until ctx ends.
func (s *Server) Run(ctx context.Context) {
	go s.sweepLoop(ctx)
	s.runner.run(ctx, s.isEngine)
}

func (s *Server) isEngine() bool {
	active := s.active()
	if active == nil {
		return false
	}
	pool, ok := active.Config().PoolOf(s.settings.Upstream)
	return ok && pool.Kind == config.KindEngine
}

// Draining reports whether the sidecar accepts no new work.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain makes the sidecar refuse new work from now on.
func (s *Server) Drain(by string) {
	if s.draining.CompareAndSwap(false, true) {
		s.rec.Note(events.DrainStarted, "", "by", by)
	}
}

// WaitIdle waits until nothing is in flight; it returns false if ctx ends first.
func (s *Server) WaitIdle(ctx context.Context) bool {
	return s.inFlight.WaitIdle(ctx) && s.delivered(ctx)
}

const deliveredPollPeriod = 20 * time.Millisecond

// delivered waits until the end of every stream that has a receiver is acknowledged.
func (s *Server) delivered(ctx context.Context) bool {
	for {
		if s.undelivered() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(deliveredPollPeriod):
		}
	}
}

// undelivered returns the number of streams whose end a receiver has yet to acknowledge.
func (s *Server) undelivered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, g := range s.generations {
		g.mu.Lock()
		// The receiver detaches when it acknowledges the end, which may follow the last token. A
		// stream without a token is not counted: its end is not acknowledged, since the entry sends
		// the request to another upstream.
		if g.receiver != nil && g.first+int64(len(g.choices)) > 1 {
			n++
		}
		g.mu.Unlock()
	}
	return n
}

// Load returns the load for heartbeats and replies.
func (s *Server) Load() membership.Load {
	load := s.runner.load()
	if at := s.limiter.opensAt(); at.After(s.now()) {
		load.ClosedUntilMS = at.UnixMilli()
	}
	return load
}

func (s *Server) handleDrain(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var p drainParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("drain: %w", err)
	}
	s.Drain(p.By)
	return struct{}{}, nil
}

// errParams is wrapped when a message cannot be decoded.
var errParams = errors.New("malformed message")

func (s *Server) generate(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p generateParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: generate: %v", errParams, err)
	}
	s.rec.Observe(p.Stamp)
	if s.configBehind(c, p.Version) {
		return s.refused(p.Request, &refusal{Reason: reasonBehind, Elsewhere: true}), nil
	}
	if r := s.refuseAtOnce(p); r != nil {
		return s.refused(p.Request, r), nil
	}
	s.inFlight.Enter()
	if s.draining.Load() {
		s.inFlight.Leave()
		return s.refused(p.Request, &refusal{Reason: "leaving", Elsewhere: true}), nil
	}
	id := generationID(s.settings.Upstream, s.identity.Incarnation(), s.serial.Add(1))
	g := newGeneration(id, p.Request, p.Account, bufferLimits{unacked: s.settings.UnackedBytes, retained: s.settings.RetainedBytes})
	d := &delivery{sub: p.Sub}
	act, r := s.admit(c, g, d, p)
	if r != nil {
		s.inFlight.Leave()
		s.discard(c, g, d)
		return s.refused(p.Request, r), nil
	}
	s.rec.Note(events.GenerationAdmitted, p.Request, "generation", id, "reason", act.Reason())
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.mu.Lock()
	g.cancel = cancel
	endedEarly := g.end != nil
	g.mu.Unlock()
	if endedEarly {
		cancel()
	}
	go func() {
		defer s.inFlight.Leave()
		defer cancel()
		s.runGuarded(runCtx, g, p)
		end, _ := g.ended()
		s.metrics.generations.WithLabelValues(endLabel(end)).Inc()
		s.metrics.tokens.Add(float64(end.Output))
	}()
	go s.deliver(c, g, d)
	return generateResult{Generation: id, Load: s.Load(), Stamp: s.rec.Now()}, nil
}

// runGuarded runs a generation and recovers from a panic, which then ends only this generation.
// Otherwise the request would crash this sidecar, and then the next one to which it is retried.
func (s *Server) runGuarded(ctx context.Context, g *generation, p generateParams) {
	err := guard.Do(func() error {
		s.runner.stream(ctx, g, p)
		return nil
	})
	if err != nil {
		s.rec.Note(events.HandlerPanicked, p.Request, "generation", g.id, "error", err)
		g.finish(false, reasonFault)
		s.runner.remove(g.id, false)
	}
}

// admit gives the generation its receiver and waits for the scheduler's decision.
func (s *Server) admit(c *peer.Conn, g *generation, d *delivery, p generateParams) (decision.Action, *refusal) {
	if !subscribe(c, g, d, 0) {
		return decision.Action{}, &refusal{Reason: reasonDetached}
	}
	s.mu.Lock()
	s.generations[g.id] = g
	s.mu.Unlock()
	return s.queue(c, g, p)
}

// reasonBehind is the reason for a refusal when the sidecar does not have the request's
// configuration yet. To run the request under an older one would undo a change that is already in
// force at the entry.
const reasonBehind = "configuration is not in force here yet"

// configBehind reports whether the active configuration is older than v, the version of a request.
// It first tries to fetch the newer one, because a sidecar that has just restarted gets requests
// before it has a configuration.
func (s *Server) configBehind(c *peer.Conn, v config.Version) bool {
	if v <= s.active().Version() {
		return false
	}
	if s.OnConfigBehind != nil {
		s.OnConfigBehind(c)
	}
	return v > s.active().Version()
}

func endLabel(e *endNote) string {
	if e.Whole {
		return "whole"
	}
	return e.Reason
}

func (s *Server) refused(request string, r *refusal) generateResult {
	s.rec.Note(events.RequestRefused, request, "reason", r.Reason)
	return generateResult{Refused: r, Load: s.Load(), Stamp: s.rec.Now()}
}

func (s *Server) refuseAtOnce(p generateParams) *refusal {
	switch {
	case s.draining.Load():
		return &refusal{Reason: "leaving", Elsewhere: true}
	case p.Incarnation != "" && p.Incarnation != s.identity.Incarnation():
		return &refusal{Reason: "another incarnation", Elsewhere: true}
	case s.active() == nil:
		return &refusal{Reason: "no configuration yet", Elsewhere: true}
	case p.StartBy > 0 && s.now().UnixMilli() >= p.StartBy:
		return &refusal{Reason: "deadline has passed"}
	case s.limiter.opensAt().After(s.now()):
		return s.refuseRateLimited(s.limiter.opensAt())
	default:
		return nil
	}
}

// refuseRateLimited refuses a generation because the engine accepts no more requests before
// opensAt.
func (s *Server) refuseRateLimited(opensAt time.Time) *refusal {
	return &refusal{Reason: reasonRateLimited, RetryAt: opensAt.UnixMilli(), Elsewhere: true}
}

// queue waits for the scheduler's decision. A generation whose caller cancels or disconnects is
// removed from the queue.
func (s *Server) queue(c *peer.Conn, g *generation, p generateParams) (decision.Action, *refusal) {
	s.rec.Note(events.GenerationQueued, p.Request, "generation", g.id)
	gone := make(chan struct{})
	g.mu.Lock()
	g.cancel = sync.OnceFunc(func() { close(gone) })
	g.mu.Unlock()
	req, admitted := s.decisionRequest(g, p)
	if !admitted {
		return decision.Action{}, &refusal{Reason: "policy", RetryAt: s.now().Add(policyRetryDelay).UnixMilli()}
	}
	decided := s.runner.enqueue(req)
	select {
	case a := <-decided:
		if a.Kind() == decision.Refuse {
			return a, &refusal{Reason: a.Reason(), RetryAt: a.RetryAt().UnixMilli(), Elsewhere: true}
		}
		if end, _ := g.ended(); end != nil {
			s.runner.remove(g.id, false)
			return a, &refusal{Reason: end.Reason}
		}
		// The rate limit counts requests when they are sent to the engine, so the permit is taken
		// only after the wait in the queue.
		if opensAt, ok := s.limiter.takePermit(context.Background()); !ok {
			s.runner.remove(g.id, false)
			return a, s.refuseRateLimited(opensAt)
		}
		return a, nil
	case <-gone:
		s.runner.remove(g.id, false)
		return decision.Action{}, &refusal{Reason: reasonCancelled}
	case <-c.Done():
		s.runner.remove(g.id, false)
		return decision.Action{}, &refusal{Reason: reasonDetached}
	}
}

// policyRetryDelay is the retry delay after a refusal by the pool's policy.
const policyRetryDelay = 5 * time.Second

// decisionRequest turns a message into the scheduler's request. admitted is false when the pool's
// policy refuses it.
func (s *Server) decisionRequest(g *generation, p generateParams) (req decision.Request, admitted bool) {
	r := decision.Request{ID: g.id, Account: p.Account, Prompt: p.Prompt, MaxTokens: p.MaxTokens}
	if p.StartBy > 0 {
		r.StartBy = time.UnixMilli(p.StartBy)
	}
	if a, ok := s.active().Config().Account(p.Account); ok {
		r.Weight = a.Weight
	}
	v := s.evaluatePolicy(p, r.Weight)
	r.Class, r.Rank, r.GiveWay = v.Class, v.Rank, v.GiveWay
	return r, v.Admit
}

// Compile puts the policies of a configuration into use; it must be called with each configuration
// that comes into force. An error is ignored because the policies were already compiled when the
// configuration was staged.
func (s *Server) Compile(c *config.Config) {
	if set, err := policy.CompileAll(c); err == nil {
		s.policies.Store(&set)
	}
}

// evaluatePolicy runs the policy of the upstream's pool.
func (s *Server) evaluatePolicy(p generateParams, weight float64) policy.Verdict {
	var pol *policy.Policy
	if pool, ok := s.active().Config().PoolOf(s.settings.Upstream); ok {
		if set := s.policies.Load(); set != nil {
			pol = (*set)[pool.Policy]
		}
	}
	l := s.Load()
	v := pol.Decide(policy.Input{
		Model: p.Model, Prompt: p.Prompt, MaxTokens: p.MaxTokens, Account: p.Account, Weight: weight,
		UsedPart: l.UsedPart(), Running: l.Running, Waiting: l.Waiting, Hour: policy.HourOf(s.now()),
	})
	for _, name := range v.Failed {
		s.metrics.policyFailures.WithLabelValues(name).Inc()
		s.rec.Note(events.PolicyFailed, p.Request, "program", name)
	}
	return v
}

type connKey struct{}

// connStreams holds the streams that are delivered over one connection, by subscription number.
type connStreams struct {
	out  *outbox
	mu   sync.Mutex
	subs map[int64]subscription
	// lost is set when the connection has ended and its streams were detached.
	lost bool
}

// subscription is the delivery of a generation to a connection.
type subscription struct {
	g *generation
	d *delivery
}

// Open prepares a new connection from an entry; it must be called for each.
func (s *Server) Open(c *peer.Conn) {
	cs := &connStreams{subs: map[int64]subscription{}, out: newOutbox()}
	c.Attach(connKey{}, cs)
	go cs.out.run(c)
	go func() {
		<-c.Done()
		s.connLost(c)
	}()
}

func streamsOf(c *peer.Conn) *connStreams {
	cs, _ := c.Attached(connKey{}).(*connStreams)
	return cs
}

// subscribe makes d the receiver of g, starting after the given offset. It returns false when the
// generation is no longer kept from there, or when the connection has ended: the streams of a
// connection are detached only once, when it ends, so a stream added later would stay attached.
func subscribe(c *peer.Conn, g *generation, d *delivery, after int64) bool {
	cs := streamsOf(c)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.lost || !g.attach(d, after) {
		return false
	}
	cs.subs[d.sub] = subscription{g: g, d: d}
	return true
}

// discard removes a generation that was refused after it had got its receiver.
func (s *Server) discard(c *peer.Conn, g *generation, d *delivery) {
	s.mu.Lock()
	delete(s.generations, g.id)
	s.mu.Unlock()
	s.unsubscribe(c, d)
}

func (s *Server) unsubscribe(c *peer.Conn, d *delivery) {
	cs := streamsOf(c)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.subs, d.sub)
}

func lookupSubscription(c *peer.Conn, number int64) (subscription, bool) {
	cs := streamsOf(c)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	sub, ok := cs.subs[number]
	return sub, ok
}

func (s *Server) connLost(c *peer.Conn) {
	cs := streamsOf(c)
	cs.mu.Lock()
	cs.lost = true
	lost := make([]subscription, 0, len(cs.subs))
	for _, sub := range cs.subs {
		lost = append(lost, sub)
	}
	cs.mu.Unlock()
	for _, sub := range lost {
		s.detach(sub)
	}
}

// detach starts the grace period in which the caller may resume the stream.
func (s *Server) detach(sub subscription) {
	if !sub.g.detach(sub.d) {
		return
	}
	s.after(s.settings.DetachGrace, func() { sub.g.abandon(sub.d, reasonDetached) })
}

// deliver sends frames to one entry until the stream's end or until a newer receiver attaches.
func (s *Server) deliver(c *peer.Conn, g *generation, d *delivery) {
	for {
		note, wait, ok := g.frame(d)
		if !ok {
			return
		}
		if note == nil {
			select {
			case <-wait:
			case <-c.Done():
				return
			}
			continue
		}
		select {
		case <-streamsOf(c).out.put(note):
		case <-c.Done():
			return
		}
		if note.End != nil {
			return
		}
	}
}

func (s *Server) ack(_ context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p ackNote
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: ack: %v", errParams, err)
	}
	if sub, ok := lookupSubscription(c, p.Sub); ok && sub.g.ack(sub.d, p.Upto) {
		// Everything was delivered. The connection drops its reference, and the generation is kept
		// only as long as a caller may ask for its end again.
		sub.g.detach(sub.d)
		s.unsubscribe(c, sub.d)
	}
	return nil, nil
}

func (s *Server) cancel(_ context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p cancelNote
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: cancel: %v", errParams, err)
	}
	if sub, ok := lookupSubscription(c, p.Sub); ok && sub.g.abandon(sub.d, reasonCancelled) {
		s.unsubscribe(c, sub.d)
	}
	return nil, nil
}

// ErrNoGeneration is returned to a caller that asks for a generation that is not kept here, or not
// from that offset on.
var ErrNoGeneration = errors.New("no such generation or offset")

func (s *Server) resume(_ context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p resumeParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: resume: %v", errParams, err)
	}
	s.mu.Lock()
	g, ok := s.generations[p.Generation]
	s.mu.Unlock()
	if !ok || g.account != p.Account {
		return nil, ErrNoGeneration
	}
	d := &delivery{sub: p.Sub}
	if !subscribe(c, g, d, p.After) {
		return nil, ErrNoGeneration
	}
	s.rec.Note(events.StreamResumed, g.request, "generation", g.id, "after", p.After)
	go s.deliver(c, g, d)
	return generateResult{Generation: g.id, Load: s.Load(), Stamp: s.rec.Now()}, nil
}

const generationSweepPeriod = time.Second

// sweepLoop periodically deletes ended generations that can no longer be resumed, and rate limits
// of earlier incarnations.
func (s *Server) sweepLoop(ctx context.Context) {
	tick := time.NewTicker(generationSweepPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sweep()
			s.limiter.sweep()
		}
	}
}

func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.generations {
		end, at := g.ended()
		if end != nil && time.Since(at) > s.settings.KeepEnded {
			delete(s.generations, id)
		}
	}
}
