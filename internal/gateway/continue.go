package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routing"
)

// afterUnrun chooses where to go after an engine refused an attempt unrun.
func (s *stream) afterUnrun(ctx context.Context, last step, exclude map[string]bool) (step, bool) {
	if last.from != nil {
		// A copy serves once; the refusal tells that it is not there. The order
		// that stopped the generation may name another.
		return s.afterBreak(ctx, exclude)
	}
	if ctx.Err() != nil || s.rq.tries >= maxSends || !s.rq.run.MaySend() || !s.g.budget(s.rq.service.Name).Repeat(0) {
		return step{}, false
	}
	at, err := s.admit(ctx, exclude)
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
	if !s.rq.run.MaySend() {
		s.stuck = quarantine.ErrHeld.Error()
		return step{}, false
	}
	budget := s.g.budget(s.rq.service.Name)
	if ok {
		if !s.mayGoOn(ctx, budget) {
			s.stuck = "the retry budget is used up"
			return step{}, false
		}
		if err := s.g.await(ctx, held.at.ID, s.g.now().Add(goOnWithin)); err != nil {
			s.stuck = err.Error()
			return step{}, false
		}
		return step{at: held.at, from: &held.copy, why: "copy"}, true
	}
	if !s.rq.route.Repeats() || s.rq.tries >= s.rq.route.MaxAttempts || !s.rq.run.MayRepeat() || !budget.Repeat(0) {
		return step{}, false
	}
	// The caller waits for the rest of an answer, so a crowded engine is better than
	// none.
	at, err := s.goOnAt(ctx, exclude)
	if errors.Is(err, errLimited) {
		s.stuck = err.Error()
	}
	return step{at: at, why: "resumed"}, err == nil
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
	s.g.others.Urge()
	return true
}

// takeCopy takes the copy to try next; each serves once. Copies that went with the start
// of their engine are passed over: an attempt there would be refused and count as a repeat.
func (s *stream) takeCopy() (held heldCopy, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.copies) > 0 {
		held = s.copies[0]
		s.copies = s.copies[1:]
		if s.g.there(held.at.ID) {
			return held, true
		}
	}
	return heldCopy{}, false
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
