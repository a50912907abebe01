package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// stream is a generation while it is relayed.
type stream struct {
	g  *Gateway
	rq *request
	// began is set once the head of the answer is on its way to the caller.
	began bool
	flush func() error
	// firstIn is the time to the first event.
	firstIn time.Duration
	// pausedFor is the longest pause between two events so far, which ended at
	// pausedAt; lastAt is when the last event was passed on.
	pausedFor time.Duration
	pausedAt  int
	lastAt    time.Time
	// stuck tells why the generation could not go on although it might have.
	stuck string

	mu sync.Mutex
	// at is the engine that runs the generation.
	at fleet.Upstream
	// lastEvent and events tell how far the caller has the answer.
	lastEvent string
	events    int
	claim     *claim
	// toRead is the number of prompt tokens that the engine had to read when it got
	// the generation, with those that came before.
	toRead int
	// copies are the copies of the memory that can serve, the one to try first
	// at the front.
	copies []heldCopy
	// handover is set from the decision to stop the generation for a move until
	// it goes on; it is closed when the engine has answered.
	handover chan struct{}
	ended    bool
}

// heldCopy is a copy of a generation's memory and the engine that holds it.
type heldCopy struct {
	copy protocol.Copy
	at   fleet.Upstream
}

// step is one attempt of a generation: where it runs and from what it goes on.
type step struct {
	at   fleet.Upstream
	from *protocol.Copy
	why  string
}

// outcome is how one attempt ended.
type outcome int

const (
	// streamWhole: the caller has the whole answer.
	streamWhole outcome = iota
	// streamUnrun: the engine did not run the attempt.
	streamUnrun
	// streamBroken: the attempt ended before its answer was whole.
	streamBroken
	// streamFailed: the engine answered with a failure.
	streamFailed
)

// generate serves a request for a model engine.
func (g *Gateway) generate(ctx context.Context, rq *request) {
	s := &stream{g: g, rq: rq, flush: http.NewResponseController(rq.w).Flush, lastEvent: rq.call.LastEvent}
	defer s.end()
	exclude := map[string]bool{}
	at, err := g.admitEngine(s, nil)
	if err != nil {
		g.reject(rq, err)
		return
	}
	next, ok := step{at: at, why: "first"}, true
	for ok {
		o := s.attempt(ctx, next)
		exclude[next.at.ID] = true
		switch o {
		case streamWhole, streamFailed:
			return
		case streamUnrun:
			next, ok = s.afterUnrun(ctx, next, exclude)
		case streamBroken:
			next, ok = s.afterBreak(ctx, exclude)
		}
	}
	s.lost(ctx)
}

// need is the KV memory that the generation is expected to take in the end, in
// tokens.
func (s *stream) need() int {
	return s.rq.call.Prompt + expectedOutput(&s.rq.call)
}

// held is the KV memory that the generation takes by now, in tokens. It needs the
// lock of s.
func (s *stream) held() int {
	return s.rq.call.Prompt + s.events*s.rq.service.Engine.EventTokens
}

// hintMargin covers that a caller's guess of the length is right only in half
// of the cases.
const hintMargin = 1.25

// defaultOutput is the length in tokens of an answer of which nothing is stated.
const defaultOutput = 256

// expectedOutput is the length of an answer, in tokens, that a caller's guess and
// bound let expect. Sizes that are not stated are 0.
func expectedOutput(c *protocol.Call) int {
	guess := int(hintMargin * float64(c.Hint))
	switch {
	case c.Hint > 0 && c.MaxOutput > 0:
		return min(guess, c.MaxOutput)
	case c.Hint > 0:
		return guess
	case c.MaxOutput > 0:
		return c.MaxOutput / 2
	default:
		return defaultOutput
	}
}

// afterUnrun chooses where to go after an engine refused an attempt unrun.
func (s *stream) afterUnrun(ctx context.Context, last step, exclude map[string]bool) (step, bool) {
	if last.from != nil {
		// A copy serves once; the refusal tells that it is not there. The order
		// that stopped the generation may name another.
		return s.afterBreak(ctx, exclude)
	}
	if ctx.Err() != nil || s.rq.tries >= maxSends || !s.g.budget(s.rq.service.Name).Repeat(0) {
		return step{}, false
	}
	at, err := s.g.admitEngine(s, exclude)
	return step{at: at, why: "refused unrun"}, err == nil
}

// handoverWithin bounds the wait for an order that has stopped the generation;
// copying a whole memory between zones takes less than half a second.
const handoverWithin = 2 * time.Second

// afterBreak chooses where a generation goes on whose answer broke off: at the
// copy of its memory, or anew where the route allows that.
func (s *stream) afterBreak(ctx context.Context, exclude map[string]bool) (step, bool) {
	held, ok := s.takeCopy()
	if !ok {
		s.waitHandover(ctx)
		held, ok = s.takeCopy()
	}
	if ctx.Err() != nil {
		return step{}, false
	}
	budget := s.g.budget(s.rq.service.Name)
	if ok {
		if !s.mayGoOn(ctx, budget) {
			s.stuck = "the retry budget is used up"
			return step{}, false
		}
		return step{at: held.at, from: &held.copy, why: "copy"}, true
	}
	if !s.rq.route.Repeats() || s.rq.tries >= s.rq.route.MaxAttempts || !budget.Repeat(0) {
		return step{}, false
	}
	// The caller waits for the rest of an answer, so a crowded engine is better than
	// none.
	at, ok := s.g.chooseEngine(s.rq.service, s.need(), s.rq.route.Repeats(), exclude)
	return step{at: at, why: "resumed"}, ok
}

const (
	// goOnWithin is how long a generation whose copy is there waits for the retry
	// budget: a late answer serves the caller better than a cut one. The engine
	// holds the copy longer.
	goOnWithin = 2 * time.Second
	// goOnEach is the pause between two looks at the budget.
	goOnEach = 20 * time.Millisecond
)

// mayGoOn takes an attempt out of the retry budget; it waits a while for one.
func (s *stream) mayGoOn(ctx context.Context, budget *routing.Window) bool {
	deadline := s.g.now().Add(goOnWithin)
	for !budget.Repeat(0) {
		if ctx.Err() != nil || s.g.now().After(deadline) {
			return false
		}
		time.Sleep(goOnEach)
	}
	s.g.nudge()
	return true
}

// takeCopy takes the copy to try next; each serves once.
func (s *stream) takeCopy() (held heldCopy, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.copies) == 0 {
		return heldCopy{}, false
	}
	held = s.copies[0]
	s.copies = s.copies[1:]
	return held, true
}

// waitHandover waits until an order that stops the generation has ended.
func (s *stream) waitHandover(ctx context.Context) {
	s.mu.Lock()
	wait := s.handover
	s.mu.Unlock()
	if wait == nil {
		return
	}
	t := time.NewTimer(handoverWithin)
	defer t.Stop()
	select {
	case <-wait:
	case <-ctx.Done():
	case <-t.C:
	}
}

// attempt sends the generation to an engine and relays its answer.
func (s *stream) attempt(ctx context.Context, st step) outcome {
	g, rq := s.g, s.rq
	a := rq.attempt(st.at.ID)
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
	sent := g.now()
	toRead := s.toRead
	silent := time.AfterFunc(startWithin(rq.route), func() { g.startsLate(rq, st.at.ID, toRead) })
	defer silent.Stop()
	answer, err := g.link.Do(ctx, st.at.Address, req)
	if err != nil {
		return s.noAnswer(ctx, st, err)
	}
	defer answer.Close()
	if o, done := s.judge(ctx, st, answer); done {
		return o
	}
	return s.relay(ctx, st, answer, sent, func() { silent.Stop() })
}

// startWithin is the time by which a sound engine has begun a generation.
func startWithin(route *routetable.Route) time.Duration {
	if route.Objective > 0 {
		return route.Objective
	}
	return defaultStart
}

// startsLate notes that an engine has not begun a generation in time. That is a
// fault unless the prompts that it had to read before, or the memory that is taken,
// explain it: at one and a half times the load for which the engines suffice, 41
// late starts behind such queues made sound engines suspects of all entries.
func (g *Gateway) startsLate(rq *request, upstream string, toRead int) {
	load := g.ledger.total(upstream)
	reading := g.reading.expected(toRead)
	queued := toRead > rq.call.Prompt && reading > startWithin(rq.route)/2
	memory := rq.service.Engine.MemoryTokens
	full := memory > 0 && load.Held > int(memoryUse*float64(memory))
	crowded := queued || full
	g.rec.Note(events.StreamStartsLate, rq.call.ID, "upstream", upstream, "after", g.now().Sub(rq.start), "reading", reading, "held", load.Held, "crowded", crowded)
	if !crowded {
		g.faulty(upstream)
	}
}

// faulty notes a fault of an engine and tells the other entries soon.
func (g *Gateway) faulty(upstream string) {
	g.fleet.Note(upstream, fleet.Faulty)
	g.nudge()
}

// noteAttempt writes what decided where the generation goes.
func (s *stream) noteAttempt(st step) {
	g, rq := s.g, s.rq
	load := g.ledger.total(st.at.ID)
	g.met.tried(st.why)
	g.rec.Note(events.RequestRouted, rq.call.ID, "route", rq.route.Name, "account", rq.account, "upstream", st.at.ID, "why", st.why,
		"prompt", rq.call.Prompt, "most-output", rq.call.MaxOutput, "hint", rq.call.Hint, "running", load.Running, "tokens", load.Tokens,
		"after-event", s.lastEvent, "routes", rq.table.Version(), "routes-age", rq.age)
}

// judge reads the head of an answer; done is false when events follow.
func (s *stream) judge(ctx context.Context, st step, answer *link.Answer) (o outcome, done bool) {
	g, rq := s.g, s.rq
	switch g.proto.Verdict(answer.Status, answer.Header) {
	case protocol.NotRun:
		g.fleet.Note(st.at.ID, fleet.Busy)
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
	// A time limit that passed at the engine is no fault of it.
	if answer.Status >= http.StatusInternalServerError && answer.Status != http.StatusGatewayTimeout {
		s.g.faulty(st.at.ID)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	again := s.rq.route.Repeats() && s.rq.tries < s.rq.route.MaxAttempts && answer.Status >= http.StatusInternalServerError
	if s.began || err != nil || again && ctx.Err() == nil {
		return streamBroken
	}
	s.g.passOn(s.rq, result{upstream: st.at.ID, status: answer.Status, header: answer.Header, body: body})
	return streamFailed
}

// relay passes events on as they come until the answer ends. It calls started
// at the first one.
func (s *stream) relay(ctx context.Context, st step, answer *link.Answer, sent time.Time, started func()) outcome {
	g, r := s.g, newEventReader(answer)
	first := true
	for {
		b, err := r.next()
		if err != nil {
			return s.broke(ctx, st, answer, b, err)
		}
		id, n := lastEventID(b)
		if first {
			started()
			s.firstEvent(st, answer, sent)
			if st.from == nil {
				g.reading.note(g.now().Sub(sent), s.toRead)
			}
			first = false
			if answer.Closing() {
				go g.inquire(ctx, st.at, "it closes its connection")
			}
		}
		if _, werr := s.rq.w.Write(b); werr != nil || s.flush() != nil {
			panic(http.ErrAbortHandler)
		}
		s.advance(id, n)
		s.notePause()
	}
}

// notePause keeps the longest pause between events.
func (s *stream) notePause() {
	now := s.g.now()
	if !s.lastAt.IsZero() && now.Sub(s.lastAt) > s.pausedFor {
		s.pausedFor, s.pausedAt = now.Sub(s.lastAt), s.events
	}
	s.lastAt = now
}

// firstEvent notes the start of an attempt's events, and sends the head of the
// answer with the very first.
func (s *stream) firstEvent(st step, answer *link.Answer, sent time.Time) {
	g, now := s.g, s.g.now()
	g.fleet.Note(st.at.ID, fleet.Served)
	if st.from != nil {
		s.mu.Lock()
		s.handover, s.copies = nil, nil
		s.mu.Unlock()
		g.met.paused(now.Sub(sent))
		g.rec.Note(events.StreamMoved, s.rq.call.ID, "to", st.at.ID, "after-event", s.lastEvent, "gap", now.Sub(sent))
	}
	if s.began {
		return
	}
	s.began = true
	g.proto.PassHeader(answer.Header, s.rq.w.Header())
	s.rq.w.WriteHeader(answer.Status)
	s.firstIn = now.Sub(s.rq.start)
	g.met.began(s.firstIn)
}

// broke handles the end of an attempt's answer: whole, or broken off.
func (s *stream) broke(ctx context.Context, st step, answer *link.Answer, rest []byte, err error) outcome {
	if errors.Is(err, io.EOF) && answer.Framed && len(rest) == 0 && s.began {
		now := s.g.now()
		s.g.met.ended("stream")
		s.g.pace.note(s.firstIn, now.Sub(s.rq.start), s.events)
		s.g.rec.Note(events.RequestEnded, s.rq.call.ID, "status", answer.Status, "upstream", st.at.ID, "tries", s.rq.tries, "took", now.Sub(s.rq.start), "events", s.events,
			"first-in", s.firstIn, "longest-pause", s.pausedFor, "pause-at", s.pausedAt)
		return streamWhole
	}
	s.mu.Lock()
	moving := s.handover != nil
	s.mu.Unlock()
	if !moving {
		if ctx.Err() == nil {
			s.g.fleet.Note(st.at.ID, fleet.Broken)
		}
		s.g.rec.Note(events.AnswerRejected, s.rq.call.ID, "upstream", st.at.ID, "error", err, "after-event", s.lastEvent, "events", s.events, "framed", answer.Framed, "rest", strconv.Itoa(len(rest)))
	}
	return streamBroken
}

// lost ends a request whose generation cannot go on.
func (s *stream) lost(ctx context.Context) {
	if !s.began {
		s.g.giveUp(ctx, s.rq, "the generation did not start")
		return
	}
	why := "its engine was lost"
	switch {
	case s.stuck != "":
		why = s.stuck
	case s.g.stopsBefore(0):
		why = "this entry stopped"
	case s.rq.caller.Err() != nil:
		why = "the caller left"
	case ctx.Err() != nil:
		why = "its time was over"
	}
	s.g.met.ended("cut")
	s.g.rec.Note(events.StreamCut, s.rq.call.ID, "why", why, "upstream", s.at.ID, "after-event", s.lastEvent, "events", s.events, "took", s.g.now().Sub(s.rq.start))
	// The caller must see that the answer is not whole.
	panic(http.ErrAbortHandler)
}

// enter registers the stream with the engine that is to run it.
func (s *stream) enter(st step) {
	s.mu.Lock()
	s.at = st.at
	prefill := s.rq.call.Prompt
	if st.from != nil {
		prefill = 0
	}
	s.toRead = s.g.ledger.total(st.at.ID).Prefill + prefill
	s.claim = s.g.ledger.take(st.at.ID, gossip.Load{Running: 1, Tokens: s.need(), Prefill: prefill, Held: s.held()})
	s.mu.Unlock()
	s.g.register(s, st.at.ID)
	s.g.nudge()
}

// leave undoes enter.
func (s *stream) leave() {
	s.mu.Lock()
	s.claim.release()
	id := s.at.ID
	s.mu.Unlock()
	s.g.unregister(s, id)
}

// end notes that the request is over, and gives up the copies that it did not use.
func (s *stream) end() {
	s.mu.Lock()
	s.ended = true
	unused := s.copies
	s.copies = nil
	s.mu.Unlock()
	for _, held := range unused {
		s.g.release(s.rq.call.ID, held)
	}
}

// advance notes events that were passed on.
func (s *stream) advance(id string, n int) {
	s.mu.Lock()
	first := s.events == 0
	s.events += n
	if id != "" {
		s.lastEvent = id
	}
	held := s.held()
	tokens := max(s.need(), held+s.rq.service.Engine.EventTokens)
	claim := s.claim
	s.mu.Unlock()
	claim.change(gossip.Load{Running: 1, Tokens: tokens, Held: held})
	if first {
		s.g.startedAt(s)
	}
}
