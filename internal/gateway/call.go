package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// maxSends bounds the upstreams that one request is offered to when each states
// that it did not run it.
const maxSends = 3

// hedgeShare is the part of a route's objective after which a request that may
// run twice goes to a second upstream: the answer then still comes in time.
const hedgeShare = 0.45

// hedgeReserve is the part of the retry budget that hedges leave for retries
// after failures.
const hedgeReserve = 0.5

// maxBuffered bounds in bytes the answer that is held back until it is whole;
// a longer one is refused as broken.
const maxBuffered = 8 << 20

// lastLookWithin bounds the wait for attempts whose time is over: they return at once, unless the
// process does not get to run.
const lastLookWithin = 50 * time.Millisecond

// result is how one attempt of a plain call ended.
type result struct {
	upstream string
	status   int
	header   http.Header
	body     []byte
	verdict  protocol.Verdict
	err      error
}

// usable reports whether there is an answer and it can be passed on.
func (r result) usable() bool { return r.status != 0 && r.err == nil && r.verdict == protocol.Ran }

// good reports whether nothing better can be had from another upstream.
func (r result) good() bool {
	return r.usable() && r.status < http.StatusInternalServerError
}

// mayHaveRun reports whether the upstream may have run the request.
func (r result) mayHaveRun() bool {
	if r.err != nil {
		return !errors.Is(r.err, link.ErrNotSent)
	}
	return r.verdict == protocol.Ran
}

// serveCall serves a request for a plain service.
func (g *Gateway) serveCall(ctx context.Context, rq *request) {
	c := &callRun{g: g, rq: rq, tried: map[string]bool{}, results: make(chan result, maxSends+1)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	last, ok := c.run(ctx)
	switch {
	case ok && last.usable():
		g.passOn(rq, last)
	case ok && last.err != nil:
		g.giveUp(ctx, rq, "the upstream's answer did not come: "+last.err.Error())
	case len(c.tried) == 0 && ctx.Err() != nil:
		g.giveUp(ctx, rq, "no upstream took it in time")
	case len(c.tried) == 0 && rq.run.Isolation() == quarantine.Apart:
		g.refuse(rq, http.StatusServiceUnavailable, quarantine.ErrOnTrial.Error(), backTurn)
	case len(c.tried) == 0 && c.limited != nil:
		g.refuse(rq, http.StatusServiceUnavailable, c.limited.Error(), g.backAfterLimit(rq))
	case len(c.tried) == 0:
		g.refuse(rq, http.StatusServiceUnavailable, "no upstream", backNoUpstream)
	default:
		g.giveUp(ctx, rq, "no upstream answered")
	}
}

// callRun is a plain call while it is tried.
type callRun struct {
	g       *Gateway
	rq      *request
	tried   map[string]bool
	running int
	results chan result
	// failed are the upstreams that answered with an error of their own.
	failed []string
	// limited is the error of the latest choice if it found no upstream because of limits or back-off.
	limited error
}

// run tries upstreams until one gives a good answer or no more may be tried. It
// returns the best answer there was.
func (c *callRun) run(ctx context.Context) (best result, ok bool) {
	if !c.launch(ctx, "first") {
		return result{}, false
	}
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(c.rq.route.Objective)))
	defer hedge.Stop()
	for {
		select {
		case r := <-c.results:
			if c.take(r) {
				return r, true
			}
			if r.usable() && !c.g.asksBackOff(r.status, r.header) {
				c.failed = append(c.failed, r.upstream)
			}
			if !best.usable() {
				best = r
			}
			if !c.again(ctx, r) && c.running == 0 {
				c.blame(false)
				return best, true
			}
		case <-hedge.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return c.atTheEnd(ctx, best), true
		}
	}
}

// take notes the end of an attempt and reports whether its answer is the one to give.
func (c *callRun) take(r result) bool {
	c.running--
	c.rq.sent = c.rq.sent || r.mayHaveRun()
	if r.good() {
		c.blame(true)
	}
	return r.good()
}

// atTheEnd returns the best answer that is there when the time is over, if there is any:
// an answer and the end of the time are due at once in a process that did not get to run
// for a while, and an upstream's own failure says more than that the time is over. Attempts
// under way take a last look at what has come.
func (c *callRun) atTheEnd(ctx context.Context, best result) result {
	wait := time.NewTimer(lastLookWithin)
	defer wait.Stop()
	for c.running > 0 {
		select {
		case r := <-c.results:
			if c.take(r) {
				return r
			}
			if !best.usable() {
				best = r
			}
			continue
		case <-wait.C:
		}
		break
	}
	c.rq.sent = c.rq.sent || c.running > 0
	if best.usable() {
		return best
	}
	return result{err: ctx.Err()}
}

// blame tells the fleet which upstreams failed the request; served says that another
// one did better. If several failed it and none served it, that is taken for the
// request's own fault: half of the failing calls of the users' services fail at
// every upstream.
func (c *callRun) blame(served bool) {
	if len(c.failed) > 1 && !served {
		return
	}
	for _, id := range c.failed {
		c.g.fleet.Note(id, fleet.Failed)
	}
}

// again starts another attempt after one that failed, if that is allowed.
func (c *callRun) again(ctx context.Context, r result) bool {
	if ctx.Err() != nil {
		return false
	}
	if r.mayHaveRun() && (!c.rq.route.Repeats() || c.rq.tries >= c.rq.route.MaxAttempts || !c.rq.run.MayRepeat()) {
		return false
	}
	if len(c.tried) >= maxSends || !c.g.budget(c.rq.service.Name).Repeat(0) {
		return false
	}
	return c.launch(ctx, "retry")
}

// hedge sends a slow request to a second upstream as well.
func (c *callRun) hedge(ctx context.Context) {
	if !c.rq.route.Repeats() || c.rq.tries >= c.rq.route.MaxAttempts || c.running == 0 || c.rq.run.Suspected() {
		return
	}
	if !c.g.budget(c.rq.service.Name).Repeat(hedgeReserve) {
		return
	}
	if c.launch(ctx, "hedge") {
		c.g.rec.Note(events.HedgeSent, c.rq.call.ID, "after", c.g.now().Sub(c.rq.start))
	}
}

// launch sends the request to the best upstream that has not had it.
func (c *callRun) launch(ctx context.Context, reason string) bool {
	u, err := c.choose(ctx)
	c.limited = nil
	if errors.Is(err, errLimited) {
		c.limited = err
	}
	if err != nil || !c.rq.run.MaySend() {
		return false
	}
	if c.g.limits.Any() || c.g.fleet.AnyBackOff() {
		// Callers that are refused come back the later the smaller the part that is not.
		c.g.overload(c.rq.service.Name).Admitted(c.g.now())
	}
	c.rq.run.SentTo(u.ID)
	c.tried[u.ID] = true
	c.running++
	c.rq.tries++
	c.g.met.tried(reason)
	load := c.g.ledger.total(u.ID)
	c.g.rec.Note(events.RequestRouted, c.rq.call.ID, "route", c.rq.route.Name, "account", c.rq.account, "fingerprint", c.rq.fingerprint, "upstream", u.ID, "why", reason,
		"running", load.Running, "failure-rate", u.FailureRate(), "limit", c.g.limits.Rate(u.ID), "routes", c.rq.table.Version(), "routes-age", c.rq.age)
	claim := c.g.ledger.take(u.ID, gossip.Load{Running: 1})
	go func() {
		defer claim.release()
		r := c.attempt(ctx, u)
		c.g.noteCall(ctx, c.rq, u, r)
		c.results <- r
	}()
	return true
}

// choose returns the best upstream that has not had the request, with a permit to send it. An
// attempt beside others waits for none: the answer of another one must not wait with it.
func (c *callRun) choose(ctx context.Context) (fleet.Upstream, error) {
	service, exclude, until := c.rq.service.Name, c.g.isolated(c.rq, c.tried), c.rq.waitsUntil()
	if c.running > 0 {
		exclude, until = c.g.unlimited(exclude), time.Time{}
	}
	return c.g.permitted(ctx, service, exclude, until, func(exclude map[string]bool) (fleet.Upstream, error) {
		u, ok := c.g.choosePlain(service, exclude)
		if !ok {
			return fleet.Upstream{}, placement.ErrNone
		}
		return u, nil
	})
}

// attempt sends the request once. A fault of this program fails the attempt; it would end
// the process otherwise, with every request in it.
func (c *callRun) attempt(ctx context.Context, u fleet.Upstream) (r result) {
	defer func() {
		if v := recover(); v != nil {
			c.g.notePanic(c.rq, v)
			r = result{upstream: u.ID, err: errPanicked}
		}
	}()
	return c.g.tryCall(ctx, c.rq, u)
}

// tryCall sends the request once and reads the whole answer.
func (g *Gateway) tryCall(ctx context.Context, rq *request, u fleet.Upstream) result {
	sent := g.now()
	req := g.proto.Forward(&rq.call, rq.attempt(u), sent)
	req.Body = rq.body
	a, err := g.exchange(ctx, u, req)
	if err != nil {
		return result{upstream: u.ID, err: err}
	}
	defer a.Close()
	r := result{upstream: u.ID, status: a.Status, header: a.Header, verdict: g.proto.Verdict(a.Status, a.Header)}
	r.body, r.err = io.ReadAll(io.LimitReader(a, maxBuffered+1))
	switch {
	case r.err != nil:
	case len(r.body) > maxBuffered:
		r.err = errAnswerTooLong
	case a.Header.Get(g.proto.IDHeader) != rq.call.ID:
		r.err = errOtherAnswer
	case r.verdict == protocol.Ran && !g.proto.Complete(a.Status, a.Header):
		r.err = errNoProof
	}
	if r.err != nil {
		g.rec.Note(events.AnswerRejected, rq.call.ID, "upstream", u.ID, "status", a.Status, "error", r.err)
	}
	g.heardLimit(rq, u, head{sent: sent, header: a.Header, whole: r.good()})
	return r
}

// The reasons for which an upstream's answer is not passed on.
var (
	errAnswerTooLong = errors.New("answer is too long")
	errOtherAnswer   = errors.New("answer names another request")
	errNoProof       = errors.New("answer is not the upstream's own body")
	errPanicked      = errors.New("a fault of this entry")
)

// noteCall tells the fleet how an upstream served. An attempt that was given up
// tells nothing about its upstream.
func (g *Gateway) noteCall(ctx context.Context, rq *request, u fleet.Upstream, r result) {
	if r.usable() {
		rq.run.Served()
	}
	switch {
	case r.err != nil && ctx.Err() != nil:
	case r.err != nil:
		g.fleet.Note(r.upstream, fleet.Broken)
		g.broke(rq, u, r.err)
	case r.verdict == protocol.NotRun:
		g.busy(r.upstream, r.header)
	case r.verdict == protocol.WrongUpstream:
		g.fleet.MarkLeaving(r.upstream, "another upstream has its address")
	case r.status >= http.StatusInternalServerError:
		// The run notes it once it knows whether another upstream does better.
	default:
		g.fleet.Note(r.upstream, fleet.Served)
	}
}

// busy notes that an upstream refused a request unrun, and until when it wants no others.
func (g *Gateway) busy(upstream string, header http.Header) {
	g.fleet.Note(upstream, fleet.Busy)
	if at := g.proto.ComeBack(header, g.now()); !at.IsZero() {
		g.fleet.BusyUntil(upstream, at)
	}
}

// passOn gives the caller an upstream's answer unchanged.
func (g *Gateway) passOn(rq *request, r result) {
	h := rq.w.Header()
	g.proto.PassHeader(r.header, h)
	h.Set("Content-Length", strconv.Itoa(len(r.body)))
	rq.w.WriteHeader(r.status)
	// What cannot be written is noted by the connection, after the last flush.
	_, _ = rq.w.Write(r.body)
	took := g.now().Sub(rq.start)
	g.met.ended(strconv.Itoa(r.status))
	g.met.answered(took)
	g.rec.Note(events.RequestEnded, rq.call.ID, "status", r.status, "upstream", r.upstream, "tries", rq.tries, "took", took, "bytes", len(r.body))
}
