package replay

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/placement"
)

// engine is one place of the pool; each start of an engine there is a new lifetime.
type engine struct {
	id    string
	model *enginemodel.Engine
	slow  float64
	// busyUntil ends the step that runs, whose tokens are out at that time.
	busyUntil time.Duration
	tokens    []enginemodel.Token
	// leavesAt is when it ends, and backAt when the place is filled again; 0 for never.
	leavesAt, backAt time.Duration
	// copyUntil ends the copy that its link carries.
	copyUntil time.Duration
}

// newEngine starts an engine at a place of the pool.
func (p *play) newEngine(place int) *engine {
	p.lives++
	slow := 1.0
	if place%3 == 2 {
		slow += p.load.Slow
	}
	const block = 16
	return &engine{id: fmt.Sprintf("e%d", p.lives), slow: slow, model: enginemodel.New(enginemodel.Settings{
		Blocks: p.load.MemoryTokens / block, BlockTokens: block, MaxBatch: p.load.Slots,
		StepBase: 7 * time.Millisecond, StepPerStream: 120 * time.Microsecond, StepPerPrefill: 71 * time.Microsecond, PrefillChunk: 112,
	})}
}

// wave tells a part of the engines to leave, and orders the copies of what runs there.
func (p *play) wave() {
	var serving []*engine
	for _, e := range p.engines {
		if e.leavesAt == 0 && e.backAt == 0 {
			serving = append(serving, e)
		}
	}
	p.random.Shuffle(len(serving), func(i, j int) { serving[i], serving[j] = serving[j], serving[i] })
	for _, e := range serving[:int(p.load.LeaveShare*float64(len(p.engines)))] {
		e.leavesAt, e.backAt = p.now+p.load.Notice, p.now+p.load.Back
	}
}

// moveFrom orders copies of the generations that have begun at a leaving engine, the
// longest first; its link carries one at a time.
func (p *play) moveFrom(e *engine) {
	var here []*generation
	for _, id := range p.order {
		if g := p.running[id]; g.at == e && g.target == nil && g.made > 0 && g.kind.MostOutput-g.made > eventTokens*eventTokens {
			here = append(here, g)
		}
	}
	slices.SortStableFunc(here, func(a, b *generation) int { return cmp.Compare(b.made, a.made) })
	for _, g := range here {
		held := g.prompt + g.made
		rest := &placement.Generation{Engine: p.described(), Prompt: held, Output: max(g.expected()-g.made, eventTokens), Repeats: true}
		u, ok := p.view().Target(p.candidates(e), rest, "")
		if !ok {
			continue
		}
		target := p.engine(u.ID)
		room := target.model.Hold(held)
		p.moveRoom.Note(room, p.start.Add(p.now))
		if !room {
			continue
		}
		e.copyUntil = max(e.copyUntil, p.now) + time.Duration(held)*copyToken
		g.target, g.movesAt, g.copied = target, e.copyUntil, held
	}
}

// step plays one tick of all engines.
func (p *play) step() {
	for i, e := range p.engines {
		if e.leavesAt > 0 {
			p.moveFrom(e)
		}
		if e.leavesAt > 0 && p.now >= e.leavesAt {
			p.end(e)
		}
		if e.leavesAt < 0 && p.now >= e.backAt {
			p.result.Preempted += e.model.Preemptions()
			p.engines[i] = p.newEngine(i)
			continue
		}
		if p.now >= e.busyUntil && e.leavesAt >= 0 {
			p.deliver(e)
			if !e.model.Idle() {
				took, tokens := e.model.Step()
				e.busyUntil, e.tokens = p.now+time.Duration(e.slow*float64(took)), slices.Clone(tokens)
			}
		}
	}
	for _, id := range slices.Clone(p.order) {
		if g := p.running[id]; g.target != nil && p.now >= g.movesAt {
			// The engine knows the generation, which runs there.
			_ = g.at.model.Cancel(g.id)
			g.target.model.Drop(g.copied)
			p.send(g, g.target, g.copied)
		}
	}
}

// end ends an engine: what runs there is cut.
func (p *play) end(e *engine) {
	e.leavesAt, e.tokens = -1, nil
	for _, id := range slices.Clone(p.order) {
		if g := p.running[id]; g.at == e {
			p.count(g.kind, func(o *Outcome) { o.Cut++ })
			p.forget(g)
		}
	}
}

// deliver passes on the tokens of the step that has ended.
func (p *play) deliver(e *engine) {
	for _, t := range e.tokens {
		g, ok := p.running[t.ID()]
		if !ok || g.at != e {
			continue
		}
		if g.made == 0 {
			g.first = p.now
		} else if p.now-g.latest > longestPause {
			g.paused = true
		}
		g.made, g.latest = g.before+t.N(), p.now
		if t.Last() {
			p.finish(g)
		}
	}
	e.tokens = nil
}
