package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/placement"
)

// engine is one position of the pool. An engine that replaces another one there has a new id.
type engine struct {
	id       string
	model    *enginemodel.Engine
	slowdown float64
	// moments are the slow moments of the engine.
	moments momentSequence
	// busyUntil is the end of the current step, at which its tokens are delivered.
	busyUntil time.Duration
	tokens    []enginemodel.Token
	// leavesAt is when the engine stops: 0 if it does not leave, -1 once it has stopped.
	// replacedAt is when it is replaced.
	leavesAt, replacedAt time.Duration
	// linkBusyUntil is the end of the last copy that is queued on the link of the engine.
	linkBusyUntil time.Duration
	// placements counts recent placements of generations.
	placements placement.Decaying
}

// newEngine starts an engine at a position of the pool.
func (s *simulation) newEngine(position int) *engine {
	s.started++
	slowdown := 1.0
	if position%3 == 2 {
		slowdown += s.load.Slowdown
	}
	if r := s.load.Speeds; r != (Range{}) {
		slowdown = 1 / (r.Least + (r.Most-r.Least)*s.world.Float64())
	}
	const block = 16
	return &engine{id: fmt.Sprintf("e%d", s.started), slowdown: slowdown, moments: s.newMoments(), model: enginemodel.New(enginemodel.Settings{
		Blocks: s.load.MemoryTokens / block, BlockTokens: block, MaxBatch: s.load.Slots,
		StepBase: 7 * time.Millisecond, StepPerStream: 120 * time.Microsecond, StepPerPrefill: 71 * time.Microsecond, PrefillChunk: 112,
	})}
}

// beginLeaving gives a part of the serving engines the notice to leave.
func (s *simulation) beginLeaving() {
	var serving []*engine
	for _, e := range s.engines {
		if e.leavesAt == 0 && e.replacedAt == 0 {
			serving = append(serving, e)
		}
	}
	s.world.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	for _, e := range serving[:int(s.load.LeaveShare*float64(len(s.engines)))] {
		e.leavesAt, e.replacedAt = s.now+s.load.Notice, s.now+s.load.ReplacedAfter
	}
}

// moveRetryInterval is the time in which an engine without room refuses a copy, after which the
// gateway tries another engine.
const moveRetryInterval = 10 * time.Millisecond

// moveGenerations queues copies of the generations that have begun at a leaving engine, the
// longest first. The link of the engine carries one copy at a time.
func (s *simulation) moveGenerations(e *engine) {
	var movable []*generation
	for _, g := range s.inOrder {
		if g.host == e && g.target == nil && s.now >= g.moveAgainAt && g.generated > 0 && g.kind.MaxOutput-g.generated > tokensPerEvent*tokensPerEvent {
			movable = append(movable, g)
		}
	}
	slices.SortStableFunc(movable, func(a, b *generation) int { return cmp.Compare(b.generated, a.generated) })
	for _, g := range movable {
		u, ok := s.chooseTarget(g, s.rest(g))
		if !ok {
			continue
		}
		room := s.copyTo(g, s.engine(u.ID))
		s.moveRoom.Record(room, s.start.Add(s.now))
		if !room {
			g.moveAgainAt = s.now + moveRetryInterval
		}
	}
}

// rest returns the demand of the rest of a running generation.
func (s *simulation) rest(g *generation) *placement.Generation {
	return &placement.Generation{
		Engine: s.engineSpec(), Prompt: g.prompt + g.generated, Output: max(g.expected()-g.generated, tokensPerEvent),
		MaxPause: s.maxPause(g.kind), Copied: true, Repeatable: true,
	}
}

// chooseTarget returns the engine to which a generation of a leaving engine moves.
func (s *simulation) chooseTarget(g *generation, rest *placement.Generation) (fleet.Upstream, bool) {
	list := s.candidates(g.gateway, g.host)
	if s.variant.Knowledge == Speeds {
		u, err := s.leastLate(list, rest, nil, float64(s.load.MemoryTokens))
		if err == nil {
			return u, true
		}
	}
	return s.view(g.gateway).Target(list, rest, "")
}

// copyTo queues a copy of a generation on the link of its engine; false if the target has no room.
func (s *simulation) copyTo(g *generation, target *engine) bool {
	held, e := g.prompt+g.generated, g.host
	if !target.model.Reserve(held) {
		return false
	}
	e.linkBusyUntil = max(e.linkBusyUntil, s.now) + time.Duration(held)*copyTimePerToken
	g.target, g.copyDoneAt, g.copiedTokens = target, e.linkBusyUntil, held
	s.countExtra()
	return true
}

// step advances all engines by one tick.
func (s *simulation) step() {
	for i, e := range s.engines {
		if e.leavesAt > 0 {
			s.moveGenerations(e)
		}
		if e.leavesAt > 0 && s.now >= e.leavesAt {
			s.stop(e)
		}
		if e.leavesAt < 0 && s.now >= e.replacedAt {
			s.result.Preempted += e.model.Preemptions()
			s.engines[i] = s.newEngine(i)
			s.forgetPaces()
			continue
		}
		if s.now >= e.busyUntil && e.leavesAt >= 0 {
			s.deliver(e)
			if !e.model.Idle() {
				took, tokens := e.model.Step()
				e.busyUntil, e.tokens = s.now+time.Duration(e.slowdown*e.moments.factor(s.now)*float64(took)), slices.Clone(tokens)
			}
		}
	}
	for _, g := range slices.Clone(s.inOrder) {
		if g.target != nil && s.now >= g.copyDoneAt {
			// Cancel cannot fail: the generation runs at this engine.
			_ = g.host.model.Cancel(g.id)
			g.target.model.Release(g.copiedTokens)
			s.submit(g, g.target, g.copiedTokens)
		}
	}
}

// stop ends an engine and aborts what runs there.
func (s *simulation) stop(e *engine) {
	e.leavesAt, e.tokens = -1, nil
	for _, g := range slices.Clone(s.inOrder) {
		if g.host == e {
			s.updateOutcome(g, func(o *Outcome) { o.Aborted++ })
			if g.generated > 0 {
				s.updateOutcome(g, func(o *Outcome) { o.Paused++ })
			}
			s.remove(g)
		}
	}
}

// deliver delivers the tokens of the step that has ended.
func (s *simulation) deliver(e *engine) {
	for _, t := range e.tokens {
		g, ok := s.running[t.ID()]
		if !ok || g.host != e {
			continue
		}
		if g.generated == 0 {
			g.firstToken = s.now
		} else if g.kind.MaxPause == 0 && s.now-g.lastToken > maxTokenGap {
			g.stalled = true
		}
		g.generated, g.lastToken = g.generatedBefore+t.Position(), s.now
		if g.kind.MaxPause > 0 && (t.Last() || g.generated%tokensPerEvent == 0) {
			s.onEvent(g)
		}
		if t.Last() {
			s.finish(g)
		}
	}
	e.tokens = nil
}
