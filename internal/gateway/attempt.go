package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// attempt sends the generation to an engine and relays its answer.
func (s *stream) attempt(ctx context.Context, st step) outcome {
	g, rq := s.g, s.rq
	a := rq.attempt(st.at)
	a.From = st.from
	if st.from != nil || s.began {
		a.LastEvent = s.lastEvent
	}
	req := g.proto.Forward(&rq.call, a, g.now())
	req.Body = rq.body
	rq.tries++
	s.noteAttempt(st)
	s.enter(st)
	defer s.leave()
	rq.run.SentTo(st.at.ID)
	sent := g.now()
	toRead := s.toRead
	var begun atomic.Bool
	silent := time.AfterFunc(startWithin(rq.route), func() { g.startsLate(rq, st.at, toRead, &begun) })
	defer silent.Stop()
	answer, err := g.exchange(ctx, st.at, req)
	if err != nil {
		return s.noAnswer(ctx, st, err)
	}
	defer answer.Close()
	g.heardLimit(rq, st.at, head{sent: sent, header: answer.Header, whole: answer.Status == http.StatusOK && g.proto.Complete(answer.Status, answer.Header)})
	if o, done := s.judge(ctx, st, answer); done {
		return o
	}
	return s.relay(ctx, st, answer, sent, func() {
		begun.Store(true)
		silent.Stop()
	})
}

// startWithin is the time by which a sound engine has begun a generation.
func startWithin(route *routetable.Route) time.Duration {
	if route.Objective > 0 {
		return route.Objective
	}
	return defaultStart
}

// crowdedMemory is the part of an engine's memory beyond which a late start is laid to
// the memory: what waits there has to find as much as its prompt takes.
const crowdedMemory = 0.94

// startsLate notes that an engine has not begun a generation in time. That is a
// fault unless the prompts that it had to read before, or the memory that is taken,
// explain it, or the engine itself reports that requests wait or are being read: at one
// and a half times the load for which the engines suffice, 41 late starts behind such
// queues made sound engines suspects of all entries. begun tells that the generation has
// begun while the engine was asked.
func (g *Gateway) startsLate(rq *request, at fleet.Upstream, toRead int, begun *atomic.Bool) {
	upstream := at.ID
	load := g.ledger.total(upstream)
	reading := g.reading.expected(toRead)
	queued := toRead > rq.call.Prompt && reading > startWithin(rq.route)/2
	memory := rq.service.Engine.MemoryTokens
	full := memory > 0 && load.Held > int(crowdedMemory*float64(memory))
	crowded := queued || full
	g.rec.Note(events.StreamStartsLate, rq.call.ID, "upstream", upstream, "after", g.now().Sub(rq.start), "reading", reading, "held", load.Held, "crowded", crowded)
	if u, known := g.fleet.Get(upstream); crowded || known && u.InBackOff(g.now()) {
		return
	}
	// An engine that does not tell is judged by its silence.
	state, err := g.ask(context.Background(), at, "a generation begins late")
	if !begun.Load() && (err != nil || state.Waiting+state.Unbegun == 0) {
		g.faulty(upstream)
	}
}

// faulty notes a fault of an engine and tells the other entries soon.
func (g *Gateway) faulty(upstream string) {
	g.fleet.Note(upstream, fleet.Faulty)
	g.others.Urge()
}

// noteAttempt writes what decided where the generation goes.
func (s *stream) noteAttempt(st step) {
	g, rq := s.g, s.rq
	load := g.ledger.total(st.at.ID)
	g.met.tried(st.why)
	g.rec.Note(events.RequestRouted, rq.call.ID, "route", rq.route.Name, "account", rq.account, "fingerprint", rq.fingerprint, "upstream", st.at.ID, "why", st.why,
		"prompt", rq.call.Prompt, "most-output", rq.call.MaxOutput, "hint", rq.call.Hint, "running", load.Running, "tokens", load.Tokens, "unread", load.Prefill, "news-delay", g.others.Delay(st.at.Zone, true), "limit", g.limits.Rate(st.at.ID),
		"after-event", s.lastEvent, "routes", rq.table.Version(), "routes-age", rq.age)
}

// judge reads the head of an answer; done is false when events follow.
func (s *stream) judge(ctx context.Context, st step, answer *link.Answer) (o outcome, done bool) {
	g, rq := s.g, s.rq
	switch g.proto.Verdict(answer.Status, answer.Header) {
	case protocol.NotRun:
		g.busy(st.at.ID, answer.Header)
		g.rec.Note(events.RequestRetried, rq.call.ID, "upstream", st.at.ID, "status", answer.Status, "why", "the engine did not run it")
		return streamUnrun, true
	case protocol.WrongUpstream:
		g.fleet.MarkLeaving(st.at.ID, "another upstream has its address")
		return streamUnrun, true
	case protocol.Ran:
	}
	rq.sent = true
	switch {
	case answer.Status != http.StatusOK:
		return s.failed(ctx, st, answer), true
	case answer.Header.Get(g.proto.IDHeader) != rq.call.ID || !g.proto.Complete(answer.Status, answer.Header):
		g.rec.Note(events.AnswerRejected, rq.call.ID, "upstream", st.at.ID, "status", answer.Status, "error", errOtherAnswer)
		return streamBroken, true
	}
	return streamWhole, false
}

// noAnswer handles an attempt without the head of an answer.
func (s *stream) noAnswer(ctx context.Context, st step, err error) outcome {
	if ctx.Err() == nil {
		s.g.fleet.Note(st.at.ID, fleet.Broken)
		s.g.broke(s.rq, st.at, err)
	}
	s.g.rec.Note(events.AnswerRejected, s.rq.call.ID, "upstream", st.at.ID, "error", err)
	if errors.Is(err, link.ErrNotSent) {
		return streamUnrun
	}
	s.rq.sent = true
	return streamBroken
}

// failed handles an engine's own failure. Before the first event it is passed
// on; after it, the answer cannot become a failure any more.
func (s *stream) failed(ctx context.Context, st step, answer *link.Answer) outcome {
	// A time limit that passed at the engine is no fault of it, nor is that it asks to back off.
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout && !s.g.asksBackOff(answer.Status, answer.Header) {
		s.g.faulty(st.at.ID)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered+1))
	if len(body) > maxBuffered {
		err = errAnswerTooLong
	}
	if err == nil {
		s.rq.run.Served()
	}
	again := s.rq.route.Repeats() && s.rq.tries < s.rq.route.MaxAttempts && answer.Status >= http.StatusInternalServerError
	if s.began || err != nil || again && ctx.Err() == nil {
		return streamBroken
	}
	s.g.passOn(s.rq, result{upstream: st.at.ID, status: answer.Status, header: answer.Header, body: body})
	return streamFailed
}
