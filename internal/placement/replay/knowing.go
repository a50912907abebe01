package replay

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/placement"
)

// Knowledge selects what the decisions know of the speeds of engines.
type Knowledge int

// The decisions of the product, and of the baseline.
const (
	// Learned is the product, which learns the speeds from streams.
	Learned Knowledge = iota
	// Speeds places each generation where the expected number of late streams grows least. It knows the speed of each
	// engine from its start and how its steps lengthen, but not the slow moments to come. It knows which streams at
	// an engine are still in time, and of the loads what a gateway knows. It leaves no headroom.
	Speeds
)

func candidateOf(e *engine) placement.Candidate {
	return placement.Candidate{Upstream: fleet.Upstream{Record: fleet.Record{ID: e.id, Service: "llm"}}}
}

// relocationGain is by how much a relocation has to lower the expected number of late streams, so that the
// number of relocations stays small.
const relocationGain = 0.05

// lateStreamCost is the cost of a stream that pauses for too long, in tokens of work: no difference in load
// counts as much as a late stream.
const lateStreamCost = 1e6

// leastLate draws an engine with room among those on which a generation makes the expected number of streams that
// pause for too long grow least. If from is not nil, it returns one only if the number is lower than at from.
func (s *simulation) leastLate(list []placement.Candidate, g *placement.Generation, from *engine, usable float64) (fleet.Upstream, error) {
	reason := placement.ErrNone
	lowest := math.Inf(1)
	if from != nil {
		load := s.exactLoad(from)
		load.Running--
		lowest = lateStreamCost * (s.ownRisk(from, load, g) - relocationGain)
	}
	var costs []pricedEngine
	unreported := 0.0
	for i := range list {
		c := &list[i]
		e := s.engine(c.ID)
		readToken := time.Duration(e.slowdown * float64(readTimePerToken))
		if err := placement.Room(c.Load, g, 0, usable, readToken); err != nil {
			reason = err
			continue
		}
		cost := lateStreamCost * (s.ownRisk(e, c.Load, g) + s.delayRisk(e, c.Load, g))
		if from == nil {
			cost += e.slowdown * (float64(c.Load.Tokens+g.Prompt+g.Output) + prefillWeight*float64(c.Load.Prefill+g.Prompt))
		}
		if from != nil && cost >= lowest {
			continue
		}
		costs = append(costs, pricedEngine{u: c.Upstream, cost: cost})
		unreported += unreportedFactor * c.Rate * s.load.StateAge.Seconds()
	}
	if len(costs) == 0 {
		return fleet.Upstream{}, reason
	}
	return s.drawBelow(costs, unreported*(float64(g.Prompt+g.Output)+prefillWeight*float64(g.Prompt))), nil
}

// The weight of a prompt token that has to be read, relative to one that is stored, and the factor of the expected
// number of unreported generations, as in package placement.
const (
	prefillWeight    = 4
	unreportedFactor = 2
)

// pricedEngine is an engine with the cost of placing a generation there.
type pricedEngine struct {
	u    fleet.Upstream
	cost float64
}

// drawBelow fills the cheapest engines with a volume of work that others placed unreported, and draws one of
// them in proportion to what it takes.
func (s *simulation) drawBelow(list []pricedEngine, volume float64) fleet.Upstream {
	slices.SortStableFunc(list, func(a, b pricedEngine) int { return cmp.Compare(a.cost, b.cost) })
	sum, level := 0.0, list[0].cost
	for i, e := range list {
		if i > 0 && e.cost >= level {
			break
		}
		sum += e.cost
		level = (sum + volume) / float64(i+1)
	}
	total := 0.0
	for _, e := range list {
		total += max(level-e.cost, 0)
	}
	at := s.random.Float64() * total
	for _, e := range list {
		if at -= max(level-e.cost, 0); at < 0 {
			return e.u
		}
	}
	return list[0].u
}

// exactLoad returns the present load of an engine.
func (s *simulation) exactLoad(e *engine) gossip.Load {
	var out gossip.Load
	s.eachLoad(func(_ *generation, at *engine, l gossip.Load) {
		if at == e {
			out = out.Add(l)
		}
	})
	return out
}

// eventTime returns the time between two events of a stream at an engine with a number of streams.
func (e *engine) eventTime(streams int, reading, slow bool, moments SlowMoments) time.Duration {
	set := e.model.Settings()
	step := set.StepBase + time.Duration(streams)*set.StepPerStream
	if reading {
		step += time.Duration(set.PrefillChunk) * set.StepPerPrefill
	}
	t := e.slowdown * float64(tokensPerEvent*step)
	if slow {
		t *= moments.Factor
	}
	return time.Duration(t)
}

// ownRisk returns the probability that a generation pauses for too long at an engine.
func (s *simulation) ownRisk(e *engine, load gossip.Load, g *placement.Generation) float64 {
	m, n := s.load.SlowMoments, load.Running+1
	if g.MaxPause == 0 {
		return 0
	}
	usual := e.eventTime(n, false, false, m)
	duration := float64(g.Output/tokensPerEvent) * usual.Seconds()
	momentsPerSecond, prompts, reading := 0.0, 0.0, 0.0
	if m.Share > 0 {
		momentsPerSecond = m.Share / m.Length.Seconds()
	}
	for _, k := range s.load.Kinds {
		prompts += k.PerSecond / float64(len(s.engines))
		reading += k.PerSecond / float64(len(s.engines)) * e.readTime(k.Prompt, n).Seconds()
	}
	rate := 0.0
	switch {
	case usual > g.MaxPause:
		return 1
	case e.eventTime(n, true, false, m) > g.MaxPause:
		rate = prompts + momentsPerSecond
	case e.eventTime(n, false, true, m) > g.MaxPause:
		rate = momentsPerSecond
	case e.eventTime(n, true, true, m) > g.MaxPause:
		// A prompt is being read when the moment begins, or one arrives during it.
		rate = momentsPerSecond * (1 - math.Exp(-prompts*m.Length.Seconds()-reading))
	}
	return 1 - math.Exp(-rate*duration)
}

// delayRisk returns the expected number of streams at an engine that pause for too long because the prompt
// of a generation is read.
func (s *simulation) delayRisk(e *engine, load gossip.Load, g *placement.Generation) float64 {
	m, n := s.load.SlowMoments, load.Running+1
	if g.Copied || e.eventTime(n, true, true, m) <= s.load.Kinds[0].MaxPause {
		return 0
	}
	streams := 0
	for _, o := range s.inOrder {
		if o.host == e && o.generated > 0 && !o.stalled {
			streams++
		}
	}
	share := 1.0
	if e.eventTime(n, true, false, m) <= s.load.Kinds[0].MaxPause {
		read := e.readTime(g.Prompt, n).Seconds()
		share = 1 - (1-m.Share)*math.Exp(-m.Share/m.Length.Seconds()*read)
	}
	return share * float64(streams)
}

// readTime returns the time in which an engine reads a prompt between the steps of its streams.
func (e *engine) readTime(prompt, streams int) time.Duration {
	chunks := float64(prompt) / float64(e.model.Settings().PrefillChunk)
	return time.Duration(chunks * float64(e.eventTime(streams, true, false, SlowMoments{})) / tokensPerEvent)
}
