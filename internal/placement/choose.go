package placement

import (
	"math"
	"slices"

	"github.com/sparshore/sparshore/internal/fleet"
)

// Admit chooses the engine for a new generation among those with room for it; the error
// tells why there is none. Engines that are avoided or had a fault lately are only used
// when all are. usable is the memory of each that may be filled with what has to move if it
// leaves.
func (v *View) Admit(list []Candidate, g *Generation, usable float64) (fleet.Upstream, error) {
	sound := slices.ContainsFunc(list, func(c Candidate) bool { return v.sound(&c, g.Repeats) })
	why := ErrNone
	unit := float64(g.need()) + prefillWeight*float64(g.Prompt)
	u, ok := v.spread(list, unit, func(c *Candidate) (float64, bool) {
		if sound && !v.sound(c, g.Repeats) {
			return 0, false
		}
		if err := Room(c.Load, g, c.Kept, usable, v.ReadToken); err != nil {
			why = err
			return 0, false
		}
		return v.engineCost(c, g) - prefillWeight*float64(c.Kept), true
	})
	if !ok {
		return fleet.Upstream{}, why
	}
	return u, nil
}

// sound reports whether an engine may get a generation. Those that may be repeated find
// out whether an engine that had a fault is well.
func (v *View) sound(c *Candidate, repeats bool) bool {
	return !v.Now.Before(c.AvoidUntil()) && (repeats || !c.Suspect(v.Now))
}

// Plain chooses the upstream of a plain service; ok is false if there is none.
func (v *View) Plain(list []Candidate) (u fleet.Upstream, ok bool) {
	return v.spread(list, requestCost, func(c *Candidate) (float64, bool) { return v.plainCost(c), true })
}

// Anyhow chooses the engine for the rest of an answer for which a caller waits: a crowded
// engine is better than none. ok is false if there is none at all.
func (v *View) Anyhow(list []Candidate, g *Generation) (u fleet.Upstream, ok bool) {
	least := math.Inf(1)
	for i := range list {
		c := &list[i]
		cost := v.engineCost(c, g)
		if !g.Repeats && c.Suspect(v.Now) {
			cost += avoidedCost
		}
		if cost < least {
			u, least = c.Upstream, cost
		}
	}
	return u, !math.IsInf(least, 1)
}
