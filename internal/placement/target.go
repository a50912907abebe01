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
	weights := make([]float64, len(list))
	sameZone := make([]float64, len(list))
	for i := range list {
		weights[i] = v.targetWeight(&list[i], g)
		if list[i].Zone == zone {
			sameZone[i] = weights[i]
		}
	}
	// Engines of the same zone come first: a copy between zones takes twice as long, and a
	// leaving engine has time for few of them.
	if i, ok := drawIndex(sameZone, v.Random()); ok {
		return list[i].Upstream, true
	}
	if i, ok := drawIndex(weights, v.Random()); ok {
		return list[i].Upstream, true
	}
	return v.Cheapest(list, g)
}

// targetWeight returns the weight by which an engine is drawn as the target of a move. It is 0
// for engines without room, avoided ones and those with a recent fault. Room counts squared, so
// that nearly full engines are drawn rarely.
func (v *View) targetWeight(c *Candidate, g *Generation) float64 {
	room := freeTokens(float64(g.Engine.MemoryTokens), c.Load, g.Prompt, g.Output)
	if room <= 0 || c.Load.Running >= g.Engine.Slots || v.Now.Before(c.AvoidUntil()) || c.Suspect(v.Now) {
		return 0
	}
	return room * room
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
