package placement

import (
	"github.com/sparshore/sparshore/internal/fleet"
)

// Target draws the engine to which a generation moves when its engine, in the given zone,
// leaves. The more room an engine has, the likelier it is drawn. ok is false if there is no
// engine at all.
//
// All entries learn of a leaving engine at the same moment and see the same load. If each chose
// the engine with the most room, their copies would queue on the link of that engine and fill
// its memory.
func (v *View) Target(list []Candidate, g *Generation, zone string) (u fleet.Upstream, ok bool) {
	if v.Pace.Bound() > 0 {
		inTime := func(c *Candidate) float64 {
			if v.Pace.LateRisk(c.ID, g.MaxPause, g.events()) > maxTargetRisk {
				return 0
			}
			return v.targetWeight(c, g)
		}
		if u, ok := v.drawTarget(list, zone, inTime); ok {
			return u, true
		}
	}
	if u, ok := v.drawTarget(list, zone, func(c *Candidate) float64 { return v.targetWeight(c, g) }); ok {
		return u, true
	}
	return v.Cheapest(list, g)
}

// maxTargetRisk is the probability of a pause that is too long up to which an engine takes generations of
// leaving engines before others do. It is below that of an engine which nobody has observed in a
// service with one slow engine in three.
const maxTargetRisk = 0.1

// drawTarget draws an engine with a probability proportional to its weight. Engines of the given zone come
// first: a copy between zones takes twice as long, and a leaving engine has time for few of them. ok is
// false if all weights are 0.
func (v *View) drawTarget(list []Candidate, zone string, weight func(c *Candidate) float64) (u fleet.Upstream, ok bool) {
	weights := make([]float64, len(list))
	sameZone := make([]float64, len(list))
	for i := range list {
		weights[i] = weight(&list[i])
		if list[i].Zone == zone {
			sameZone[i] = weights[i]
		}
	}
	if i, ok := drawIndex(sameZone, v.Random()); ok {
		return list[i].Upstream, true
	}
	if i, ok := drawIndex(weights, v.Random()); ok {
		return list[i].Upstream, true
	}
	return fleet.Upstream{}, false
}

// targetWeight returns the weight by which an engine is drawn as the target of a move. It is 0
// for engines without room, avoided ones and those with a recent fault. Room counts squared, so
// that nearly full engines are drawn rarely, and weighs as much as the generation is likely to stay in
// time there.
func (v *View) targetWeight(c *Candidate, g *Generation) float64 {
	room := freeTokens(float64(g.Engine.MemoryTokens), c.Load, g.Prompt, g.Output)
	if room <= 0 || c.Load.Running >= g.Engine.Slots || v.Now.Before(c.AvoidUntil()) || c.Suspect(v.Now) {
		return 0
	}
	return room * room * (1 - v.Pace.LateRisk(c.ID, g.MaxPause, g.events()))
}

// drawIndex returns a random index of weights, each with a probability proportional to its
// weight; ok is false if all weights are 0. random is in [0, 1).
func drawIndex(weights []float64, random float64) (i int, ok bool) {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := random * sum
	for i, w := range weights {
		if w > 0 && at < w {
			return i, true
		}
		at -= w
	}
	return 0, false
}
