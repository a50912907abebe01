package gateway

import (
	"context"
	"errors"
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

// maxSends limits to how many upstreams a request is sent if each of them answers that it did not
// run it.
const maxSends = 3

// hedgeShare is the fraction of a route's objective after which a hedge is sent: a request that
// may be repeated goes to a second upstream too, early enough for an answer within the objective.
const hedgeShare = 0.45

// hedgeReserve is the fraction of the retry budget that hedges leave for retries after failures.
const hedgeReserve = 0.5

const (
	// maxBuffered limits the size in bytes of an answer that is buffered until it is complete. A
	// longer answer counts as broken.
	maxBuffered = 8 << 20
	// maxUnannounced limits the size in bytes of an answer whose head does not announce its length. Some
	// failing upstreams send such answers without end; 25 that did so at once took up to 32 MB with a limit
	// of 1 MiB.
	maxUnannounced = 512 << 10
	// maxUnannouncedCounted is maxUnannounced where a memory budget bounds all such answers together.
	maxUnannouncedCounted = 2 << 20
	// maxUnannouncedError is maxUnannounced for the answers to failures, which many upstreams may give at once.
	maxUnannouncedError = 256 << 10
)

// maxBody returns the size in bytes that the body of an answer may have, which is unannounced for a successful
// answer whose head does not announce its length.
func maxBody(a *link.Answer, unannounced int64) int64 {
	switch {
	case a.Length >= 0:
		return maxBuffered
	case a.Status >= http.StatusInternalServerError:
		return maxUnannouncedError
	default:
		return unannounced
	}
}

// finalAnswerWait limits the wait for running attempts once the deadline has passed. They return
// at once unless the process gets no CPU time. It is longer than the time for which the link keeps
// the connection of an ended request open, so that no answer that the link reads is lost.
const finalAnswerWait = 250 * time.Millisecond

// result is the outcome of one attempt of a plain call.
type result struct {
	upstream string
	status   int
	header   http.Header
	body     pieces
	verdict  protocol.Verdict
	// proof tells how it is known that the answer is complete.
	proof endProof
	err   error
}

// usable reports whether there is an answer that can be passed on to the caller.
func (r result) usable() bool { return r.status != 0 && r.err == nil && r.verdict == protocol.Ran }

// final reports whether the answer is usable and another upstream could not give a better one.
func (r result) final() bool {
	return r.usable() && r.status < http.StatusInternalServerError
}

// mayHaveRun reports whether the upstream may have run the request.
func (r result) mayHaveRun() bool {
	if r.err != nil {
		return !errors.Is(r.err, link.ErrNotSent)
	}
	return r.verdict == protocol.Ran
}

// serveCall serves a request for a plain service, that is, a service without model engines.
func (g *Gateway) serveCall(ctx context.Context, rq *request) {
	c := &callRun{g: g, rq: rq, tried: map[string]bool{}, results: make(chan result, maxSends+1)}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	best, ok := c.run(ctx)
	switch {
	case ok && best.usable():
		g.forwardAnswer(rq, best)
	case ok && best.err != nil:
		g.giveUp(ctx, rq, "the upstream's answer did not come: "+best.err.Error())
	case len(c.tried) == 0 && ctx.Err() != nil:
		g.giveUp(ctx, rq, "no upstream took it in time")
	case c.refused != nil && !rq.sent:
		g.refuseSend(rq, c.refused)
	case len(c.tried) == 0 && rq.run.Isolation() == quarantine.Apart:
		g.refuse(rq, http.StatusServiceUnavailable, quarantine.ErrOnTrial.Error(), suspectRetryDelay)
	case len(c.tried) == 0 && c.limited != nil:
		g.refuse(rq, http.StatusServiceUnavailable, c.limited.Error(), g.retryDelayAfterLimit(rq))
	case len(c.tried) == 0:
		g.refuse(rq, http.StatusServiceUnavailable, "no upstream", noUpstreamRetryDelay)
	default:
		g.giveUp(ctx, rq, "no upstream answered")
	}
}

// callRun is the state of a plain call and its attempts.
type callRun struct {
	g       *Gateway
	rq      *request
	tried   map[string]bool
	running int
	results chan result
	// failed lists the upstreams that answered with a server error and did not ask to back off.
	failed []string
	// limited is the error of the latest choice if rate limits or backoff left no upstream, and refused that of the
	// latest checkSend.
	limited, refused error
}

// run sends the request to upstreams until one gives a final answer or no further attempt is
// allowed. It returns the best answer.
func (c *callRun) run(ctx context.Context) (best result, ok bool) {
	if !c.launch(ctx, "first") {
		return result{}, false
	}
	hedge := time.NewTimer(time.Duration(hedgeShare * float64(c.rq.route.Objective)))
	defer hedge.Stop()
	for {
		select {
		case r := <-c.results:
			if c.record(r) {
				return r, true
			}
			if r.usable() && !c.g.asksBackOff(r.status, r.header) {
				c.failed = append(c.failed, r.upstream)
			}
			if !best.usable() {
				best = r
			}
			if !c.retry(ctx, r) && c.running == 0 {
				c.reportFailures(false)
				return best, true
			}
		case <-hedge.C:
			c.hedge(ctx)
		case <-ctx.Done():
			return c.answerAtDeadline(ctx, best), true
		}
	}
}

// record records the end of an attempt and reports whether its answer is final.
func (c *callRun) record(r result) bool {
	c.running--
	c.rq.sent = c.rq.sent || r.mayHaveRun()
	if r.final() {
		c.reportFailures(true)
	}
	return r.final()
}

// answerAtDeadline returns the best answer at the deadline. In a process that got no CPU time for a
// while, an answer and the deadline become due at the same moment, and the answer is preferred.
// An upstream's error is preferred too, since it tells the caller more than a timeout does.
// Running attempts get finalAnswerWait to return an answer that has already arrived.
func (c *callRun) answerAtDeadline(ctx context.Context, best result) result {
	timer := time.NewTimer(finalAnswerWait)
	defer timer.Stop()
	for c.running > 0 {
		select {
		case r := <-c.results:
			if c.record(r) {
				return r
			}
			if !best.usable() {
				best = r
			}
			continue
		case <-timer.C:
		}
		break
	}
	c.rq.sent = c.rq.sent || c.running > 0
	if best.usable() {
		return best
	}
	return result{err: ctx.Err()}
}

// reportFailures reports to the fleet which upstreams failed the request. served is set if another
// upstream answered it. If several upstreams failed it and none served it, the request itself
// counts as the cause: half of the failing calls to the users' services fail at every upstream.
func (c *callRun) reportFailures(served bool) {
	if len(c.failed) > 1 && !served {
		return
	}
	for _, id := range c.failed {
		c.g.fleet.RecordOutcome(id, fleet.Failed)
	}
}

// retry starts another attempt after a failed one if that is allowed.
func (c *callRun) retry(ctx context.Context, r result) bool {
	if ctx.Err() != nil || errors.Is(r.err, errMemory) {
		return false
	}
	if r.mayHaveRun() && (!c.rq.route.Repeats() || c.rq.attempts >= c.rq.route.MaxAttempts || !c.rq.run.MayRepeat()) {
		return false
	}
	if len(c.tried) >= maxSends || !c.g.takeExtra(c.rq.service.Name, 0) {
		return false
	}
	return c.launch(ctx, "retry")
}

// hedge sends a slow request to a second upstream too.
func (c *callRun) hedge(ctx context.Context) {
	if !c.rq.route.Repeats() || c.rq.attempts >= c.rq.route.MaxAttempts || c.running == 0 || c.rq.run.Suspected() {
		return
	}
	if !c.g.takeExtra(c.rq.service.Name, hedgeReserve) {
		return
	}
	if c.launch(ctx, "hedge") {
		c.g.rec.Note(events.HedgeSent, c.rq.call.ID, "after", c.g.now().Sub(c.rq.start))
	}
}

// launch sends the request to the best upstream that it has not been sent to.
func (c *callRun) launch(ctx context.Context, reason string) bool {
	u, err := c.choose(ctx)
	c.limited = nil
	if errors.Is(err, errLimited) {
		c.limited = err
	}
	if err != nil {
		return false
	}
	if c.refused = c.g.checkSend(c.rq, u); c.refused != nil {
		return false
	}
	if c.g.limits.Any() || c.g.fleet.AnyBackOff() {
		// Counted because the retry delay of refused callers grows as the share of admitted requests
		// falls.
		c.g.overload(c.rq.service.Name).Admitted(c.g.now())
	}
	c.rq.run.SentTo(u.ID)
	c.tried[u.ID] = true
	c.running++
	c.rq.attempts++
	c.g.met.attempted(reason)
	load := c.g.loads.total(u.ID)
	c.rq.note(c.g.rec)(events.RequestRouted, c.rq.call.ID, "route", c.rq.route.Name, "account", c.rq.account, "fingerprint", c.rq.fingerprint, "upstream", u.ID, "why", reason,
		"running", load.Running, "failure-rate", u.FailureRate(), "limit", c.g.limits.Rate(u.ID), "routes", c.rq.table.Version(), "routes-row", c.rq.tableRow, "routes-age", c.rq.tableAge, "routes-from", c.rq.evidence)
	claim, ended := c.g.loads.add(u.ID, gossip.Load{Running: 1}), c.g.awaitCall(c.rq, u)
	go func() {
		defer claim.release()
		r := c.attempt(ctx, u)
		ended(r.usable())
		c.g.reportOutcome(ctx, c.rq, u, r)
		c.results <- r
	}()
	return true
}

// choose returns the best upstream that the request has not been sent to, with a permit for it.
// If other attempts are running, it does not wait for a permit, since that would delay their
// answers.
func (c *callRun) choose(ctx context.Context) (fleet.Upstream, error) {
	service, exclude, until := c.rq.service.Name, c.g.excludeForIsolation(c.rq, c.tried), c.rq.permitDeadline()
	if c.running > 0 {
		exclude, until = c.g.excludeLimited(exclude), time.Time{}
	}
	return c.g.chooseWithPermit(ctx, service, exclude, until, func(exclude map[string]bool) (fleet.Upstream, error) {
		u, ok := c.g.chooseUpstream(c.rq, exclude)
		if !ok {
			return fleet.Upstream{}, placement.ErrNone
		}
		return u, nil
	})
}

// attempt is tryCall, except that a panic fails only this attempt. Unrecovered, the panic would end
// the process and all requests in it.
func (c *callRun) attempt(ctx context.Context, u fleet.Upstream) (r result) {
	defer func() {
		if v := recover(); v != nil {
			c.g.logPanic(c.rq, v)
			r = result{upstream: u.ID, err: errPanicked}
		}
	}()
	return c.g.tryCall(ctx, c.rq, u)
}

// tryCall sends the request once and reads the whole answer.
func (g *Gateway) tryCall(ctx context.Context, rq *request, u fleet.Upstream) result {
	sentAt := g.now()
	req := g.proto.Forward(&rq.call, rq.attemptFor(u), sentAt)
	req.Body = rq.body
	a, err := g.exchange(ctx, u, req)
	if err != nil {
		if ctx.Err() == nil {
			g.rec.NoteReserved(events.AnswerRejected, rq.call.ID, "upstream", u.ID, "error", err)
		}
		return result{upstream: u.ID, err: err}
	}
	defer a.Close()
	r := result{upstream: u.ID, status: a.Status, header: a.Header, verdict: g.proto.Verdict(a.Status, a.Header)}
	r.body, r.err = g.readResponse(rq, a)
	switch {
	case r.err != nil:
	case a.Header.Get(g.proto.IDHeader) != rq.call.ID:
		r.err = errOtherAnswer
	case r.verdict == protocol.Ran && !g.proto.Complete(a.Status, a.Header):
		r.err = errMissingProof
	case r.verdict == protocol.Ran:
		if r.proof = g.proveEnd(ctx, rq.service, u, a); r.proof == unproven {
			r.err = errEndUnproven
		}
	}
	if r.err != nil {
		rq.discard(r.body)
		r.body = nil
		g.rec.NoteReserved(events.AnswerRejected, rq.call.ID, "upstream", u.ID, "status", a.Status, "error", r.err, "framed", a.Framed, "connection", a.Connection, "late", a.Late)
	}
	if r.err == nil && r.verdict != protocol.Ran {
		g.noteRefusal(rq, u, a)
	}
	g.applyLimit(rq, u, head{sentAt: sentAt, status: a.Status, header: a.Header, complete: r.final() && a.Clean()})
	return r
}

// noteRefusal logs that an upstream refused a request without running it.
func (g *Gateway) noteRefusal(rq *request, u fleet.Upstream, a *link.Answer) {
	instance := g.proto.DecodeIdentity(u.Name, a.Status, a.Header, nil).Name
	g.rec.NoteReserved(events.AttemptRefused, rq.call.ID, "upstream", u.ID, "address", u.Address, "status", a.Status, "verdict", g.proto.Verdict(a.Status, a.Header), "instance", instance, "connection", a.Connection, "late", a.Late)
}

// The reasons for not passing on an upstream's answer.
var (
	errOtherAnswer  = errors.New("answer names another request")
	errMissingProof = errors.New("answer is not the upstream's own body")
	errPanicked     = errors.New("a fault of this entry")
)

// reportOutcome reports the outcome of an attempt to the fleet. An attempt that this entry cancelled
// does not count.
func (g *Gateway) reportOutcome(ctx context.Context, rq *request, u fleet.Upstream, r result) {
	if r.usable() && !g.asksBackOff(r.status, r.header) {
		rq.run.Served()
	}
	switch {
	case r.err != nil && ctx.Err() != nil:
	case errors.Is(r.err, errMemory):
		// The upstream is not at fault.
	case r.err != nil:
		g.fleet.RecordOutcome(r.upstream, fleet.Broken)
		g.recordBrokenAnswer(rq, u, r.err)
	case r.verdict == protocol.NotRun:
		g.markBusy(r.upstream, r.header)
	case r.verdict == protocol.WrongUpstream:
		g.fleet.MarkLeaving(r.upstream, "another upstream has its address")
	case r.status >= http.StatusInternalServerError:
		// callRun.reportFailures reports the error once it is known whether another upstream serves
		// the request.
	default:
		g.fleet.RecordOutcome(r.upstream, fleet.Served)
	}
}

// markBusy records that an upstream refused a request without running it, and the retry time that
// the upstream stated.
func (g *Gateway) markBusy(upstream string, header http.Header) {
	g.fleet.RecordOutcome(upstream, fleet.Busy)
	if at := g.proto.RetryAt(header, g.now()); !at.IsZero() {
		g.fleet.BusyUntil(upstream, at)
	}
}

// forwardAnswer writes an upstream's answer to the caller unchanged.
func (g *Gateway) forwardAnswer(rq *request, r result) {
	h := rq.w.Header()
	g.proto.CopyHeaders(r.header, h)
	size := r.body.size()
	h.Set("Content-Length", strconv.Itoa(size))
	g.closeIfStopping(rq)
	rq.w.WriteHeader(r.status)
	g.writeResponse(rq, r.body)
	elapsed := g.now().Sub(rq.start)
	g.met.ended(strconv.Itoa(r.status))
	g.met.observeAnswer(elapsed)
	rq.note(g.rec)(events.RequestEnded, rq.call.ID, "status", r.status, "upstream", r.upstream, "tries", rq.attempts, "took", elapsed, "bytes", size, "framed", r.proof == provenByFraming, "end-proved-by", r.proof)
}
