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

// Settings are the fixed numbers of one sidecar.
type Settings struct {
	// Upstream is the upstream's name in the configuration.
	Upstream string
	// URL is where the upstream listens.
	URL string
	// Decision describes the engine; unused beside a plain service.
	Decision decision.Settings
	// Grace is how long a generation without a caller is kept.
	Grace time.Duration
	// Kept is how long the end of a stream can be asked for again.
	Kept time.Duration
	// UnackedBytes and RetainedBytes bound the buffer of one stream.
	UnackedBytes  int
	RetainedBytes int
	// CallWindow is how long a call identifier is remembered.
	CallWindow time.Duration
	// AnswerBytes bounds the kept answers of all calls.
	AnswerBytes int
	// Skew bounds how much two clocks differ.
	Skew time.Duration
	// CallTimeout bounds one call to a plain service.
	CallTimeout time.Duration
	// LimitHeader is the header of the upstream's answers by which it says how many
	// requests a second it takes; empty if it says nothing of that.
	LimitHeader string
	// LeavingHeader is the header of the upstream's answers by which it says that it leaves;
	// empty if it says nothing of that.
	LeavingHeader string
}

// Server is the part of the sidecar that entries talk to.
type Server struct {
	settings Settings
	identity membership.Identity
	rec      *events.Recorder
	met      *Metrics
	active   func() *config.Active
	now      func() time.Time
	lease    *lease.Lease
	runner   *runner
	book     *callBook
	service  *serviceLink
	starts   *starts
	takes    *takes
	// OnBehind may be set before use; it is called when a request shows a
	// configuration higher than the own one, and returns when that was fetched
	// or cannot be.
	OnBehind func(c *peer.Conn)
	policies atomic.Pointer[policy.Set]
	// after calls f in its own goroutine once d has passed.
	after func(d time.Duration, f func())

	draining atomic.Bool
	serial   atomic.Int64
	inFlight inflight.Counter

	mu          sync.Mutex
	generations map[string]*generation
}

// New returns a Server. active is the configuration in force, now the wall
// clock.
func New(settings Settings, identity membership.Identity, l *lease.Lease, rec *events.Recorder, met *Metrics, active func() *config.Active, now func() time.Time) *Server {
	link := newEngineLink(settings.URL, l.Fence)
	starts := newStarts(settings.URL, identity.Incarnation())
	takes := newTakes(settings.LimitHeader, starts, rec, now)
	takes.notices.leavingHeader = settings.LeavingHeader
	link.heard, link.noticed = takes.heard, takes.notices.heard
	service := newServiceLink(settings.URL, l.Fence)
	service.heard, service.noticed = takes.heard, takes.notices.heard
	return &Server{
		settings:    settings,
		identity:    identity,
		rec:         rec,
		met:         met,
		active:      active,
		now:         now,
		lease:       l,
		runner:      newRunner(link, starts, settings.Decision, rec, met, now),
		book:        newCallBook(settings.CallWindow, settings.AnswerBytes, now),
		service:     service,
		starts:      starts,
		takes:       takes,
		after:       func(d time.Duration, f func()) { time.AfterFunc(d, f) },
		generations: map[string]*generation{},
	}
}

// Methods returns the handlers for entries.
func (s *Server) Methods() peer.Methods {
	return peer.Methods{
		methodGenerate: s.generate,
		methodResume:   s.resume,
		methodAck:      s.ack,
		methodCancel:   s.cancel,
		methodInvoke:   s.answering(s.invoke),
		methodSettle:   s.answering(s.settle),
		methodDrain:    s.drainOrder,
	}
}

// answering counts a call as in flight until its answer is out: a stop that goes on at
// the handler's return closes the connection under the answer.
func (s *Server) answering(h peer.Handler) peer.Handler {
	return func(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
		s.inFlight.Enter()
		answered := false
		defer func() {
			// A fault leaves nothing to be sent.
			if !answered {
				s.inFlight.Leave()
			}
		}()
		result, err := h(ctx, c, raw)
		answered = true
		return peer.Answer{Result: result, Sent: s.inFlight.Leave}, err
	}
}

// Run drives the periodic work until ctx ends.
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

// Draining reports whether the sidecar takes no new work.
func (s *Server) Draining() bool { return s.draining.Load() }

// Drain takes no new work from now on.
func (s *Server) Drain(by string) {
	if s.draining.CompareAndSwap(false, true) {
		s.rec.Note(events.DrainStarted, "", "by", by)
	}
}

// Idle waits until nothing is in flight; it returns false if ctx ends first.
func (s *Server) Idle(ctx context.Context) bool {
	return s.inFlight.Idle(ctx) && s.delivered(ctx)
}

const deliveredPoll = 20 * time.Millisecond

// delivered waits until every held stream has its end acknowledged.
func (s *Server) delivered(ctx context.Context) bool {
	for {
		if s.undelivered() == 0 {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(deliveredPoll):
		}
	}
}

func (s *Server) undelivered() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, g := range s.generations {
		g.mu.Lock()
		// The receiver lets go once it has the end, which may follow the last token. It
		// takes no end of a stream without a token: it sends the request elsewhere.
		if g.holder != nil && g.first+int64(len(g.choices)) > 1 {
			n++
		}
		g.mu.Unlock()
	}
	return n
}

// Load returns the load for heartbeats and replies.
func (s *Server) Load() membership.Load {
	load := s.runner.load()
	if at := s.takes.opensAt(); at.After(s.now()) {
		load.OpensMS = at.UnixMilli()
	}
	return load
}

func (s *Server) drainOrder(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var p drainParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("drain: %w", err)
	}
	s.Drain(p.By)
	return struct{}{}, nil
}

// errParams is wrapped when a message cannot be read.
var errParams = errors.New("malformed message")

func (s *Server) generate(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p generateParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: generate: %v", errParams, err)
	}
	s.rec.Observe(p.Stamp)
	if s.behind(c, p.Version) {
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
	act, r := s.begin(c, g, d, p)
	if r != nil {
		s.inFlight.Leave()
		s.forget(c, g, d)
		return s.refused(p.Request, r), nil
	}
	s.rec.Note(events.GenerationAdmitted, p.Request, "generation", id, "reason", act.Reason())
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	g.mu.Lock()
	g.cancel = cancel
	late := g.end != nil
	g.mu.Unlock()
	if late {
		cancel()
	}
	go func() {
		defer s.inFlight.Leave()
		defer cancel()
		s.runGuarded(runCtx, g, p)
		end, _ := g.ended()
		s.met.generations.WithLabelValues(endLabel(end)).Inc()
		s.met.tokens.Add(float64(end.Output))
	}()
	go s.deliver(c, g, d)
	return generateResult{Generation: id, Load: s.Load(), Stamp: s.rec.Now()}, nil
}

// runGuarded runs a generation; a fault of this program over it ends the generation only. It
// would end the sidecar otherwise, and the next one to which the request is sent.
func (s *Server) runGuarded(ctx context.Context, g *generation, p generateParams) {
	err := guard.Do(func() error {
		s.runner.stream(ctx, g, p)
		return nil
	})
	if err != nil {
		s.rec.Note(events.HandlerPanicked, p.Request, "generation", g.id, "error", err)
		g.finishOnce(false, reasonFault)
		s.runner.leave(g.id, false)
	}
}

// begin gives the generation its receiver and waits for the decision.
func (s *Server) begin(c *peer.Conn, g *generation, d *delivery, p generateParams) (decision.Action, *refusal) {
	if !hold(c, g, d, 0) {
		return decision.Action{}, &refusal{Reason: reasonDetached}
	}
	s.mu.Lock()
	s.generations[g.id] = g
	s.mu.Unlock()
	return s.queue(c, g, p)
}

// reasonBehind is given when the sidecar has not the request's configuration
// yet: what is in force at an entry must not be undone by a sidecar.
const reasonBehind = "configuration is not in force here yet"

// behind reports whether the own configuration is lower than a request's, after
// it has tried to fetch the higher one: a sidecar that has just restarted gets
// requests before it knows any.
func (s *Server) behind(c *peer.Conn, v config.Version) bool {
	if v <= s.active().Version() {
		return false
	}
	if s.OnBehind != nil {
		s.OnBehind(c)
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
	case s.takes.opensAt().After(s.now()):
		return s.refuseBeyond(s.takes.opensAt())
	default:
		return nil
	}
}

// refuseBeyond refuses a generation beyond what the engine takes.
func (s *Server) refuseBeyond(opensAt time.Time) *refusal {
	return &refusal{Reason: takesNoMore, RetryAt: opensAt.UnixMilli(), Elsewhere: true}
}

// queue waits for the decision. A caller that goes away leaves the queue.
func (s *Server) queue(c *peer.Conn, g *generation, p generateParams) (decision.Action, *refusal) {
	s.rec.Note(events.GenerationQueued, p.Request, "generation", g.id)
	gone := make(chan struct{})
	g.mu.Lock()
	g.cancel = sync.OnceFunc(func() { close(gone) })
	g.mu.Unlock()
	req, admitted := s.request(g, p)
	if !admitted {
		return decision.Action{}, &refusal{Reason: "policy", RetryAt: s.now().Add(policyRetry).UnixMilli()}
	}
	decided := s.runner.arrive(req)
	select {
	case a := <-decided:
		if a.Kind() == decision.Refuse {
			return a, &refusal{Reason: a.Reason(), RetryAt: a.RetryAt().UnixMilli(), Elsewhere: true}
		}
		if end, _ := g.ended(); end != nil {
			s.runner.leave(g.id, false)
			return a, &refusal{Reason: end.Reason}
		}
		// The engine gets it now, however long it was queued.
		if opensAt, ok := s.takes.take(context.Background()); !ok {
			s.runner.leave(g.id, false)
			return a, s.refuseBeyond(opensAt)
		}
		return a, nil
	case <-gone:
		s.runner.leave(g.id, false)
		return decision.Action{}, &refusal{Reason: reasonCancelled}
	case <-c.Done():
		s.runner.leave(g.id, false)
		return decision.Action{}, &refusal{Reason: reasonDetached}
	}
}

// policyRetry is when to come back after a policy's refusal.
const policyRetry = 5 * time.Second

// request turns a message into what the decision sees. admitted is false when
// the pool's policy refuses it.
func (s *Server) request(g *generation, p generateParams) (req decision.Request, admitted bool) {
	r := decision.Request{ID: g.id, Account: p.Account, Prompt: p.Prompt, MaxTokens: p.MaxTokens}
	if p.StartBy > 0 {
		r.StartBy = time.UnixMilli(p.StartBy)
	}
	if a, ok := s.active().Config().Account(p.Account); ok {
		r.Weight = a.Weight
	}
	v := s.verdict(p, r.Weight)
	r.Class, r.Rank, r.GiveWay = v.Class, v.Rank, v.GiveWay
	return r, v.Admit
}

// Compile takes the policies of a configuration into use; it is to be called
// with each one that comes into force. Staging has compiled them before.
func (s *Server) Compile(c *config.Config) {
	if set, err := policy.CompileAll(c); err == nil {
		s.policies.Store(&set)
	}
}

// verdict runs the policy of the upstream's pool.
func (s *Server) verdict(p generateParams, weight float64) policy.Verdict {
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
		s.met.policyFailures.WithLabelValues(name).Inc()
		s.rec.Note(events.PolicyFailed, p.Request, "program", name)
	}
	return v
}

type connKey struct{}

// connStreams are the deliveries of one connection by subscription number.
type connStreams struct {
	out  *outbox
	mu   sync.Mutex
	subs map[int64]heldStream
	// lost tells that the connection ended, and that what it held was let go of.
	lost bool
}

type heldStream struct {
	g *generation
	d *delivery
}

// Open prepares a new connection from an entry; it is to be called for each.
func (s *Server) Open(c *peer.Conn) {
	cs := &connStreams{subs: map[int64]heldStream{}, out: newOutbox()}
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

// hold makes d the receiver of g from the offset after the given one. It returns false
// when that is no longer kept, or when the connection has ended: what it holds is let go
// of only once.
func hold(c *peer.Conn, g *generation, d *delivery, after int64) bool {
	cs := streamsOf(c)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.lost || !g.attach(d, after) {
		return false
	}
	cs.subs[d.sub] = heldStream{g: g, d: d}
	return true
}

func (s *Server) forget(c *peer.Conn, g *generation, d *delivery) {
	s.mu.Lock()
	delete(s.generations, g.id)
	s.mu.Unlock()
	s.release(c, d)
}

func (s *Server) release(c *peer.Conn, d *delivery) {
	cs := streamsOf(c)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	delete(cs.subs, d.sub)
}

func lookup(c *peer.Conn, sub int64) (heldStream, bool) {
	cs := streamsOf(c)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	h, ok := cs.subs[sub]
	return h, ok
}

func (s *Server) connLost(c *peer.Conn) {
	cs := streamsOf(c)
	cs.mu.Lock()
	cs.lost = true
	lost := make([]heldStream, 0, len(cs.subs))
	for _, h := range cs.subs {
		lost = append(lost, h)
	}
	cs.mu.Unlock()
	for _, h := range lost {
		s.detach(h)
	}
}

// detach starts the time in which a caller may come back.
func (s *Server) detach(h heldStream) {
	if !h.g.detach(h.d) {
		return
	}
	s.after(s.settings.Grace, func() { h.g.abandon(h.d, reasonDetached) })
}

// deliver sends frames to one entry until the stream's end or a newer receiver.
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
	if h, ok := lookup(c, p.Sub); ok && h.g.ack(h.d, p.Upto) {
		// All of it was delivered: the connection lets go of it, and it is
		// kept only as long as a caller may ask for its end again.
		h.g.detach(h.d)
		s.release(c, h.d)
	}
	return nil, nil
}

func (s *Server) cancel(_ context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p cancelNote
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: cancel: %v", errParams, err)
	}
	if h, ok := lookup(c, p.Sub); ok && h.g.abandon(h.d, reasonCancelled) {
		s.release(c, h.d)
	}
	return nil, nil
}

// ErrNoGeneration is returned to a caller that asks for a stream which is not
// kept here, or not from that offset on.
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
	if !hold(c, g, d, p.After) {
		return nil, ErrNoGeneration
	}
	s.rec.Note(events.StreamResumed, g.request, "generation", g.id, "after", p.After)
	go s.deliver(c, g, d)
	return generateResult{Generation: g.id, Load: s.Load(), Stamp: s.rec.Now()}, nil
}

const generationSweep = time.Second

// sweepLoop forgets ended generations when nobody can ask for them any more.
func (s *Server) sweepLoop(ctx context.Context) {
	tick := time.NewTicker(generationSweep)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			s.sweep()
			s.takes.sweep()
		}
	}
}

func (s *Server) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, g := range s.generations {
		end, at := g.ended()
		if end != nil && time.Since(at) > s.settings.Kept {
			delete(s.generations, id)
		}
	}
}
