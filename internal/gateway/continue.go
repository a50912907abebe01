package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// nextAfterNotRun chooses the next step after an engine refused an attempt without running it.
func (s *stream) nextAfterNotRun(ctx context.Context, last step, exclude map[string]bool) (step, bool) {
	if last.from != nil {
		// A copy can be used only once, and the refusal shows that the engine no longer has it.
		// The copy command that stopped the generation may provide another copy.
		return s.nextAfterBreak(ctx, exclude)
	}
	if ctx.Err() != nil || s.rq.attempts >= maxSends || !s.rq.run.MaySend() || !s.g.takeExtra(s.rq.service.Name, 0) {
		return step{}, false
	}
	at, err := s.admit(ctx, exclude)
	return step{at: at, why: "refused unrun"}, err == nil
}

// handoverTimeout limits the wait for the answer to the copy command that stops a generation.
// Copying the whole memory of a generation between zones takes less than half a second.
const handoverTimeout = 2 * time.Second

// nextAfterBreak chooses where a generation whose answer broke off continues: at a copy of its
// memory, or without one where the route allows that.
func (s *stream) nextAfterBreak(ctx context.Context, exclude map[string]bool) (step, bool) {
	s.noteRestart()
	held, ok := s.takeCopy()
	if !ok {
		s.awaitHandover(ctx)
		held, ok = s.takeCopy()
	}
	if ctx.Err() != nil {
		s.returnCopy(held)
		return step{}, false
	}
	if !s.rq.run.MaySend() {
		s.notResumedWhy = quarantine.ErrQuarantined.Error()
		s.returnCopy(held)
		return step{}, false
	}
	if ok {
		if err := s.awaitAttempt(ctx, held.at); err != nil {
			s.notResumedWhy = err.Error()
			s.returnCopy(held)
			return step{}, false
		}
		if !s.holds(held) {
			s.keepAttempt()
			return s.nextAfterBreak(ctx, exclude)
		}
		return step{at: held.at, from: &held.copy, why: "copy"}, true
	}
	if !s.rq.route.Repeats() || s.rq.attempts >= s.rq.route.MaxAttempts || !s.rq.run.MayRepeat() || !s.g.takeExtra(s.rq.service.Name, 0) {
		return step{}, false
	}
	// The caller is waiting for the rest of an answer, so a crowded engine is better than none.
	at, err := s.admitResumed(ctx, exclude)
	if errors.Is(err, errLimited) {
		s.notResumedWhy = err.Error()
	}
	if err == nil && s.rq.service.Engine.Moves {
		callID, from := s.rq.call.ID, s.at
		time.AfterFunc(dropTime, func() { s.g.stopEarlierRun(callID, from, at) })
	}
	return step{at: at, why: "resumed"}, err == nil
}

const (
	// resumeWait limits how long a generation with a copy waits for the retry budget. A late
	// answer is better for the caller than a cut one, and the engine keeps the copy longer than
	// this.
	resumeWait = 2 * time.Second
	// resumePollInterval is the interval between two checks of the budget.
	resumePollInterval = 20 * time.Millisecond
)

// errRetriesUsedUp means that the retry budget allows no attempt.
var errRetriesUsedUp = errors.New("the retry budget is used up")

// awaitAttempt waits until a generation may be resumed from a copy at an engine.
func (s *stream) awaitAttempt(ctx context.Context, at fleet.Upstream) error {
	if !s.takeReservedAttempt() && !s.awaitRetryBudget(ctx) {
		return errRetriesUsedUp
	}
	return s.g.awaitPermit(ctx, at.ID, s.g.now().Add(resumeWait))
}

// awaitRetryBudget takes an attempt from the retry budget, waiting up to resumeWait until there is
// one.
func (s *stream) awaitRetryBudget(ctx context.Context) bool {
	deadline := s.g.now().Add(resumeWait)
	for !s.g.takeExtra(s.rq.service.Name, 0) {
		if ctx.Err() != nil || s.g.now().After(deadline) {
			return false
		}
		time.Sleep(resumePollInterval)
	}
	s.g.peers.SendNow()
	return true
}

// takeCopy removes and returns the copy to try next; each copy can be used only once. It skips
// the copies that were lost when their engine restarted, where an attempt would be refused and still
// count as a repeat, and those at engines of another software version.
func (s *stream) takeCopy() (held heldCopy, ok bool) {
	for {
		s.mu.Lock()
		if len(s.copies) == 0 {
			s.mu.Unlock()
			return heldCopy{}, false
		}
		held = s.copies[0]
		s.copies = s.copies[1:]
		s.mu.Unlock()
		if s.holds(held) {
			return held, true
		}
	}
}

// holds reports whether an engine still has a copy of the generation that it can go on from.
func (s *stream) holds(held heldCopy) bool {
	return s.g.incarnationKnown(held.at.ID) && s.fits(held.at)
}

// keepAttempt keeps an attempt that was taken from the retry budget and not used for the next one.
func (s *stream) keepAttempt() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptTaken = true
}

// returnCopy undoes takeCopy for a copy that was not used, so that it is tried next or released. It ignores the zero value.
func (s *stream) returnCopy(held heldCopy) {
	if held == (heldCopy{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copies = slices.Insert(s.copies, 0, held)
}

// awaitHandover waits until the copy command that stops the generation has been answered, for
// handoverTimeout at most.
func (s *stream) awaitHandover(ctx context.Context) {
	s.mu.Lock()
	done := s.handover
	s.mu.Unlock()
	if done == nil {
		return
	}
	timer := time.NewTimer(handoverTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-ctx.Done():
	case <-timer.C:
	}
}
