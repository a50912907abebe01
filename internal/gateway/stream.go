package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/protocol"
)

// stream is a generation whose answer is being relayed to its caller.
type stream struct {
	g  *Gateway
	rq *request
	// headSent is set once the head of the answer has been sent to the caller.
	headSent bool
	flush    func() error
	// cancel ends the request.
	cancel context.CancelFunc
	// sentAt is when the latest attempt was sent.
	sentAt time.Time
	// endProof is the result of proveEnd if it was determined when the end of the answer was read.
	endProof *endProof
	// timeToFirstEvent is the time from the start of the request to the first event.
	timeToFirstEvent time.Duration
	// longestPause is the longest pause between two events so far, and longestPauseAt the number of
	// events passed on when it ended; lastAt is when the last event was passed on.
	longestPause   time.Duration
	longestPauseAt int
	lastAt         time.Time
	// segment measures the pace of the engine.
	segment segmentMeter
	// heardAt is when the engine was last heard of: when the attempt began, or an event arrived, in
	// nanoseconds since 1970.
	heardAt atomic.Int64
	// notResumedWhy is the reason why a generation that could have been resumed was not.
	notResumedWhy string

	mu sync.Mutex
	// software tells at which software version the stream may go on.
	software streamSoftware
	// at is the engine that runs the generation.
	at fleet.Upstream
	// lastEvent is the ID of the last event that the caller has, and events their number.
	lastEvent string
	events    int
	claim     *loadClaim
	// cachedTokens is the number of prompt tokens that the engine is expected to have cached
	// already.
	cachedTokens int
	// unreadTokens is the number of prompt tokens that the engine had to read when it got the
	// generation, including the prompts of requests that it got earlier.
	unreadTokens int
	// copies are the copies of the memory that the generation can be resumed from, in the
	// order in which they are to be tried.
	copies []heldCopy
	// handover is set from the decision to stop the generation for a move until it has
	// resumed. It is closed when the engine has answered the command to stop.
	handover chan struct{}
	// endedBeforeStop is set if the engine answered the command to stop the generation that it had ended.
	endedBeforeStop bool
	ended           bool
	// attemptTaken is set if the next attempt was already taken from the retry budget.
	attemptTaken bool
	// abandon ends the attempt in progress with a cause.
	abandon context.CancelCauseFunc
}

// heldCopy is a copy of a generation's memory and the engine that holds it.
type heldCopy struct {
	copy protocol.Copy
	at   fleet.Upstream
}

// step is one attempt to run a generation: the engine, and the copy from which the generation
// resumes, or nil.
type step struct {
	at   fleet.Upstream
	from *protocol.Copy
	why  string
}

// outcome is how one attempt ended.
type outcome int

const (
	// streamComplete means that the caller has the complete answer.
	streamComplete outcome = iota
	// streamNotRun means that the engine did not run the attempt.
	streamNotRun
	// streamBroken means that the attempt ended before its answer was complete.
	streamBroken
	// streamFailed means that the engine answered with a failure, which the caller has.
	streamFailed
)

// generate serves a request for a model engine.
func (g *Gateway) generate(ctx context.Context, rq *request) {
	s := &stream{g: g, rq: rq, flush: http.NewResponseController(rq.w).Flush, lastEvent: rq.call.LastEvent, software: rq.software}
	defer s.end()
	ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	exclude := map[string]bool{}
	at, err := s.admitOrWait(ctx, g.recordArrival(rq))
	if err != nil {
		g.refuseGeneration(ctx, rq, err)
		return
	}
	g.overload(rq.service.Name).Admitted(g.now())
	next, ok := step{at: at, why: "first"}, true
	for ok {
		if err := s.checkSend(next); err != nil {
			s.refuseAttempt(ctx, next, err)
			return
		}
		o := s.attempt(ctx, next)
		exclude[next.at.ID] = true
		switch o {
		case streamComplete, streamFailed:
			return
		case streamNotRun:
			next, ok = s.nextAfterNotRun(ctx, next, exclude)
		case streamBroken:
			next, ok = s.nextAfterBreak(ctx, exclude)
		}
	}
	s.abort(ctx)
}

// abort ends a request whose generation cannot be resumed.
func (s *stream) abort(ctx context.Context) {
	if !s.headSent {
		s.g.giveUp(ctx, s.rq, "the generation did not start")
		return
	}
	why := "its engine was lost"
	switch {
	case s.notResumedWhy != "":
		why = s.notResumedWhy
	case errors.Is(context.Cause(ctx), errStopped):
		why = errStopped.Error()
	case s.rq.caller.Err() != nil:
		why = "the caller left"
	case ctx.Err() != nil:
		why = "its time was over"
	}
	s.g.met.ended("cut")
	s.noteCut(why)
	// Aborting the connection shows the caller that the answer is incomplete.
	panic(http.ErrAbortHandler)
}

// noteCut logs that an answer was broken off, with what the request was accepted by. Times after a planned stop are
// negative before it and "-" without one.
func (s *stream) noteCut(why string) {
	g, rq := s.g, s.rq
	now := g.now()
	g.rec.NoteReserved(events.StreamCut, rq.call.ID, "why", why, "upstream", s.at.ID, "after-event", s.lastEvent, "events", s.events, "most-events", rq.call.MaxOutput/max(rq.service.Engine.EventTokens, 1), "took", now.Sub(rq.start), "first-in", s.timeToFirstEvent,
		"body-in", rq.readAt.Sub(rq.start), "sent-in", s.sentAt.Sub(rq.start), "expected", rq.expected, "expected-by", rq.forecast.basis, "read-after-stop", g.afterStop(rq.readAt), "sent-after-stop", g.afterStop(s.sentAt), "cut-after-stop", g.afterStop(now))
}

// enter registers the stream and its load with the engine that is to run it. abandon ends the attempt.
func (s *stream) enter(st step, abandon context.CancelCauseFunc) {
	s.mu.Lock()
	s.at, s.abandon = st.at, abandon
	now := s.g.now()
	s.heardAt.Store(now.UnixNano())
	s.cachedTokens = s.g.prefixes.cachedTokens(st.at.ID, s.rq.call.Shared, now)
	s.g.prefixes.note(st.at.ID, s.rq.call.Shared, now)
	prefill := s.rq.call.Prompt - s.cachedTokens
	if st.from != nil {
		prefill = 0
	}
	s.unreadTokens = s.g.loads.total(st.at.ID).Prefill + prefill
	s.claim = s.g.loads.add(st.at.ID, gossip.Load{Running: 1, Tokens: s.expectedTokens(), Prefill: prefill, Held: s.heldTokens()})
	s.mu.Unlock()
	s.g.register(s, st.at.ID)
	s.g.peers.SendSoon()
}

// leave undoes enter.
func (s *stream) leave() {
	s.mu.Lock()
	s.claim.release()
	id := s.at.ID
	s.mu.Unlock()
	s.g.unregister(s, id)
}

// end marks the request as ended and releases the copies that it did not use.
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

// advance records events that were passed on to the caller.
func (s *stream) advance(id string, n int) {
	s.mu.Lock()
	first := s.events == 0
	s.events += n
	if id != "" {
		s.lastEvent = id
	}
	held := s.heldTokens()
	tokens := max(s.expectedTokens(), held+s.rq.service.Engine.EventTokens)
	claim := s.claim
	s.mu.Unlock()
	claim.update(gossip.Load{Running: 1, Tokens: tokens, Held: held})
	if first {
		s.g.onFirstEvent(s)
	}
}
