package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routing"
)

// afterUnrun chooses the next step after an engine refused an attempt without running it.
func (s *stream) afterUnrun(ctx context.Context, last step, exclude map[string]bool) (step, bool) {
	if last.from != nil {
		// A copy can be used only once, and the refusal says that the engine no longer has it.
		// The order that stopped the generation may provide another copy.
		return s.afterBreak(ctx, exclude)
	}
	if ctx.Err() != nil || s.rq.tries >= maxSends || !s.rq.run.MaySend() || !s.g.budget(s.rq.service.Name).Repeat(0) {
		return step{}, false
	}
	at, err := s.admit(ctx, exclude)
	return step{at: at, why: "refused unrun"}, err == nil
}

// handoverWithin limits the wait for an order that has stopped the generation. Copying the whole
// memory of a generation between zones takes less than half a second.
const handoverWithin = 2 * time.Second

// afterBreak chooses where a generation whose answer broke off continues: at a copy of its
// memory, or without one where the route allows that.
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
	// The caller is waiting for the rest of an answer, so a crowded engine is better than none.
	at, err := s.goOnAt(ctx, exclude)
	if errors.Is(err, errLimited) {
		s.stuck = err.Error()
	}
	return step{at: at, why: "resumed"}, err == nil
}

const (
	// goOnWithin limits how long a generation with a copy waits for the retry budget. A late
	// answer serves the caller better than a cut one, and the engine keeps the copy longer than
	// this.
	goOnWithin = 2 * time.Second
	// goOnEach is the interval between two checks of the budget.
	goOnEach = 20 * time.Millisecond
)

// mayGoOn takes an attempt from the retry budget, waiting up to goOnWithin until there is one.
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

// takeCopy removes and returns the copy to try next; each copy can be used only once. It skips
// the copies that were lost when their engine restarted: an attempt there would be refused and
// still count as a repeat.
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

// waitHandover waits until the order that stops the generation has been answered, for
// handoverWithin at most.
func (s *stream) waitHandover(ctx context.Context) {
	s.mu.Lock()
	done := s.handover
	s.mu.Unlock()
	if done == nil {
		return
	}
	timer := time.NewTimer(handoverWithin)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.C:
	}
}
