package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/protocol"
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
	// kept is the part of the prompt that the engine held already for others.
	kept int
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
	at, err := s.admit(ctx, nil)
	if err != nil {
		g.reject(ctx, rq, err)
		return
	}
	g.overload(rq.service.Name).Admitted(g.now())
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
	case errors.Is(context.Cause(ctx), errStopped):
		why = errStopped.Error()
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
	now := s.g.now()
	s.kept = s.g.prefixes.kept(st.at.ID, s.rq.call.Shared, now)
	s.g.prefixes.note(st.at.ID, s.rq.call.Shared, now)
	prefill := s.rq.call.Prompt - s.kept
	if st.from != nil {
		prefill = 0
	}
	s.toRead = s.g.ledger.total(st.at.ID).Prefill + prefill
	s.claim = s.g.ledger.take(st.at.ID, gossip.Load{Running: 1, Tokens: s.need(), Prefill: prefill, Held: s.held()})
	s.mu.Unlock()
	s.g.register(s, st.at.ID)
	s.g.others.Nudge()
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
