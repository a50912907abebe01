package gateway

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// attempt sends the generation to an engine and relays the engine's answer to the caller.
func (s *stream) attempt(ctx context.Context, st step) outcome {
	g, rq := s.g, s.rq
	a := rq.attemptFor(st.at)
	a.From = st.from
	if st.from != nil || s.headSent {
		a.LastEvent = s.lastEvent
	}
	req := g.proto.Forward(&rq.call, a, g.now())
	req.Body = rq.body
	rq.attempts++
	s.logAttempt(st)
	ctx, abandon := context.WithCancelCause(ctx)
	defer abandon(nil)
	s.enter(st, abandon)
	defer s.leave()
	rq.run.SentTo(st.at.ID)
	sentAt := g.now()
	s.sentAt = sentAt
	startEnded := func(bool) {}
	if st.from == nil {
		startEnded = s.awaitStart(st.at, sentAt)
	}
	defer startEnded(false)
	unreadTokens := s.unreadTokens
	var started atomic.Bool
	startTimer := time.AfterFunc(startTimeout(rq.route), func() { g.checkLateStart(rq, st.at, unreadTokens, &started) })
	defer startTimer.Stop()
	answer, err := g.exchange(ctx, st.at, req)
	if err != nil {
		return s.handleNoAnswer(ctx, st, err)
	}
	defer answer.Close()
	g.applyLimit(rq, st.at, head{sentAt: sentAt, status: answer.Status, header: answer.Header, complete: answer.Status == http.StatusOK && answer.Framed && g.proto.Complete(answer.Status, answer.Header)})
	if o, done := s.judge(ctx, st, answer); done {
		return o
	}
	return s.relay(ctx, st, answer, sentAt, func() {
		started.Store(true)
		startEnded(true)
		startTimer.Stop()
	})
}

// startTimeout returns the time within which a healthy engine starts a generation: the route's
// objective, or defaultStartTimeout if there is none.
func startTimeout(route *routetable.Route) time.Duration {
	if route.Objective > 0 {
		return route.Objective
	}
	return defaultStartTimeout
}

// crowdedMemory is the fraction of an engine's memory above which a late start is attributed to
// memory: a queued generation waits until as much memory is free as its prompt takes.
const crowdedMemory = 0.94

// checkLateStart handles a generation that the engine has not started within startTimeout. It marks
// the engine as faulty unless the delay is explained by the prompts that the engine had to read
// first, by its memory use, or by its own report of waiting requests or of prompts being read.
// The report matters under overload: without it, at 1.5 times the load that the engines can
// carry, 41 late starts behind such queues made all entries treat healthy engines as faulty. started
// is set once the generation has started, which may happen while the engine is queried.
func (g *Gateway) checkLateStart(rq *request, at fleet.Upstream, unreadTokens int, started *atomic.Bool) {
	upstream := at.ID
	load := g.loads.total(upstream)
	prefillTime := g.readTime.expected(unreadTokens)
	queued := unreadTokens > rq.call.Prompt && prefillTime > startTimeout(rq.route)/2
	memory := rq.service.Engine.MemoryTokens
	full := memory > 0 && load.Held > int(crowdedMemory*float64(memory))
	crowded := queued || full
	g.rec.Note(events.StreamStartsLate, rq.call.ID, "upstream", upstream, "after", g.now().Sub(rq.start), "reading", prefillTime, "held", load.Held, "crowded", crowded)
	if u, known := g.fleet.Get(upstream); crowded || known && u.InBackOff(g.now()) {
		return
	}
	// Without a report, the late start alone marks the engine as faulty.
	state, err := g.query(context.Background(), at, "a generation starts late")
	if !started.Load() && (err != nil || state.Waiting+state.Prefilling == 0) {
		g.markFaulty(upstream)
	}
}

// markFaulty marks an engine as faulty and informs the other entries without delay.
func (g *Gateway) markFaulty(upstream string) {
	g.fleet.RecordOutcome(upstream, fleet.Faulty)
	g.peers.SendNow()
}

// logAttempt logs the choice of an engine and the data that it was based on.
func (s *stream) logAttempt(st step) {
	g, rq := s.g, s.rq
	load := g.loads.total(st.at.ID)
	g.met.attempted(st.why)
	rq.note(g.rec)(events.RequestRouted, rq.call.ID, "route", rq.route.Name, "account", rq.account, "fingerprint", rq.fingerprint, "upstream", st.at.ID, "software", st.at.Software, "why", st.why, "resumes", rq.call.Resumes, "parts", partIDs(rq.call.Shared),
		"prompt", rq.call.Prompt, "most-output", rq.call.MaxOutput, "hint", rq.call.Hint, "running", load.Running, "tokens", load.Tokens, "unread", load.Prefill, "news-delay", g.peers.Delay(st.at.Zone, true), "limit", g.limits.Rate(st.at.ID), "slowdown", g.Slowdown(st.at.ID),
		"after-event", s.lastEvent, "routes", rq.table.Version(), "routes-row", rq.tableRow, "routes-age", rq.tableAge, "routes-from", rq.evidence)
}

// maxPartBytes bounds the IDs of prompt parts in one log line.
const maxPartBytes = 256

// partIDs returns the IDs of the parts of a prompt that others may share, separated by spaces.
func partIDs(parts []protocol.PromptPart) string {
	ids := make([]string, len(parts))
	for i, p := range parts {
		ids[i] = p.ID
	}
	return events.Excerpt(strings.Join(ids, " "), maxPartBytes)
}

// judge evaluates the head of an answer. done is false if an event stream follows.
func (s *stream) judge(ctx context.Context, st step, answer *link.Answer) (o outcome, done bool) {
	g, rq := s.g, s.rq
	if answer.Header.Get(g.proto.IDHeader) != rq.call.ID {
		rq.sent = true
		g.rec.NoteReserved(events.AnswerRejected, rq.call.ID, "upstream", st.at.ID, "status", answer.Status, "error", errOtherAnswer, "connection", answer.Connection, "late", answer.Late)
		return streamBroken, true
	}
	switch g.proto.Verdict(answer.Status, answer.Header) {
	case protocol.NotRun:
		g.markBusy(st.at.ID, answer.Header)
		g.noteRefusal(rq, st.at, answer)
		return streamNotRun, true
	case protocol.WrongUpstream:
		g.noteRefusal(rq, st.at, answer)
		g.fleet.MarkLeaving(st.at.ID, "another upstream has its address")
		return streamNotRun, true
	case protocol.Ran:
	}
	rq.sent = true
	switch {
	case answer.Status != http.StatusOK:
		return s.handleErrorAnswer(ctx, st, answer), true
	case !g.proto.Complete(answer.Status, answer.Header):
		g.rec.Note(events.AnswerRejected, rq.call.ID, "upstream", st.at.ID, "status", answer.Status, "error", errMissingProof)
		return streamBroken, true
	}
	return streamComplete, false
}

// handleNoAnswer handles an attempt that ended before the head of an answer arrived.
func (s *stream) handleNoAnswer(ctx context.Context, st step, err error) outcome {
	if upstreamFailed(ctx) {
		s.g.fleet.RecordOutcome(st.at.ID, fleet.Broken)
		s.g.recordBrokenAnswer(s.rq, st.at, err)
	}
	s.g.rec.NoteReserved(events.AnswerRejected, s.rq.call.ID, "upstream", st.at.ID, "error", err, "unreachable", errors.Is(context.Cause(ctx), errUnreachable))
	if errors.Is(err, link.ErrNotSent) {
		if ctx.Err() == nil && s.rq.route.MaxPause > 0 {
			s.g.engineUnreachable(st.at)
		}
		return streamNotRun
	}
	s.rq.sent = true
	return streamBroken
}

// handleErrorAnswer handles an error response of the engine. Before the first event of an answer,
// the response is passed on to the caller unless the generation is retried. Later the caller has
// already received a success status, so the attempt counts as broken.
func (s *stream) handleErrorAnswer(ctx context.Context, st step, answer *link.Answer) outcome {
	// A 504, which means that the time limit passed at the engine, is not a fault of the engine,
	// nor is a request to back off.
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout && !s.g.asksBackOff(answer.Status, answer.Header) {
		s.g.markFaulty(st.at.ID)
	}
	body, err := s.g.readResponse(s.rq, answer)
	proof := unproven
	if err == nil {
		if proof = s.g.proveEnd(ctx, s.rq.service, st.at, answer); proof == unproven {
			err = errEndUnproven
		}
	}
	if errors.Is(err, link.ErrTooLong) && ctx.Err() == nil {
		s.g.fleet.RecordOutcome(st.at.ID, fleet.Broken)
		s.g.recordBrokenAnswer(s.rq, st.at, err)
		s.g.rec.Note(events.AnswerRejected, s.rq.call.ID, "upstream", st.at.ID, "status", answer.Status, "error", err)
	}
	if err == nil && !s.g.asksBackOff(answer.Status, answer.Header) {
		s.rq.run.AnsweredWithError()
	}
	retryable := s.rq.route.Repeats() && s.rq.attempts < s.rq.route.MaxAttempts && answer.Status >= http.StatusInternalServerError
	if s.headSent || err != nil || retryable && ctx.Err() == nil {
		s.rq.discard(body)
		return streamBroken
	}
	s.g.forwardAnswer(s.rq, result{upstream: st.at.ID, status: answer.Status, header: answer.Header, body: body, proof: proof})
	return streamFailed
}
