package placement

import (
	"github.com/sparshore/sparshore/internal/fleet"
)

// Target draws an engine with room for a generation that has to leave its engine in a
// zone, the likelier the more room it has; ok is false if there is no engine at all.
//
// The load it answers: all entries learn of a leaving engine at the same moment and see
// the same load. If each took the engine with most room, their copies would queue on that
// engine's link and fill its memory.
func (v *View) Target(list []Candidate, g *Generation, zone string) (u fleet.Upstream, ok bool) {
	weights := make([]float64, len(list))
	near := make([]float64, len(list))
	for i := range list {
		weights[i] = v.targetWeight(&list[i], g)
		if list[i].Zone == zone {
			near[i] = weights[i]
		}
	}
	// A copy between zones takes twice as long, and an engine that leaves has time for
	// few of them.
	if i, ok := drawIndex(near, v.Random()); ok {
		return list[i].Upstream, true
	}
	if i, ok := drawIndex(weights, v.Random()); ok {
		return list[i].Upstream, true
	}
	return v.Anyhow(list, g)
}

// targetWeight is the weight by which an engine is drawn as the target of a move;
// 0 for engines that are better left alone. Room counts squared, so that nearly
// full engines are drawn rarely.
func (v *View) targetWeight(c *Candidate, g *Generation) float64 {
	room := spare(float64(g.Engine.MemoryTokens), c.Load, g.Prompt, g.Output)
	if room <= 0 || c.Load.Running >= g.Engine.Slots || v.Now.Before(c.AvoidUntil()) || c.Suspect(v.Now) {
		return 0
	}
	return room * room
}

// drawIndex returns one of the places of a list of weights, each as likely as its weight
// says; ok is false if there is no weight. random is a number from 0 up to 1.
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
