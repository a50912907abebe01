package gateway

import (
	"github.com/sparshore/sparshore/internal/fleet"
)

// relocationReserve is the part of the retry budget that relocations leave for moves away from engines that
// leave and for retries after failures, without which requests are lost.
const relocationReserve = 0.6

// relocateIfSlow moves the generation to another engine if it is likely to pause for longer than its caller
// allows where it runs, and would not elsewhere. An entry relocates one generation at a time, so that
// the load of one is known before the next is decided.
func (s *stream) relocateIfSlow(at fleet.Upstream) {
	g := s.g
	if s.longestPause > s.rq.route.MaxPause || !s.movable() || s.moving() || !g.relocating.CompareAndSwap(false, true) {
		return
	}
	target, ok := s.chooseRelocation(at)
	if !ok || !s.reserveAttempt() {
		g.relocating.Store(false)
		return
	}
	g.met.moved("begun from a slow engine")
	go func() {
		defer g.relocating.Store(false)
		g.moveTo(s, at, target, "its engine is slow")
	}()
}

// chooseRelocation chooses the engine to which the generation is relocated. ok is false if it should stay.
func (s *stream) chooseRelocation(at fleet.Upstream) (u fleet.Upstream, ok bool) {
	g := s.g
	if u, known := g.fleet.Get(at.ID); !known || u.State() == fleet.Leaving {
		return fleet.Upstream{}, false
	}
	view, demand := g.engineView(s.rq.service.Name), s.remainingDemand()
	if !view.WorthLeaving(at, demand) {
		return fleet.Upstream{}, false
	}
	exclude := g.excludeLimited(map[string]bool{at.ID: true})
	return view.Relocate(g.candidates(s.available(), exclude, view.Now), demand, at, g.usableMemory(s.rq.service, view.Now))
}

// reserveAttempt takes the attempt that continues the stream after its relocation from the retry budget, unless
// one was taken for an earlier relocation, which failed. It returns false if there is none.
func (s *stream) reserveAttempt() bool {
	// The lock of the gateway, which takeExtra takes, is never taken while that of a stream is held.
	reserved := s.takeReservedAttempt() || s.g.takeExtra(s.rq.service.Name, relocationReserve)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attemptTaken = reserved
	return reserved
}

// takeReservedAttempt reports whether the attempt that continues the stream was taken from the retry budget
// when its relocation was decided.
func (s *stream) takeReservedAttempt() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.attemptTaken
	s.attemptTaken = false
	return taken
}
