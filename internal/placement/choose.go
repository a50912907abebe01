package placement

import (
	"errors"
	"math"
	"slices"

	"github.com/sparshore/sparshore/internal/fleet"
)

// Admit chooses an engine with room for a new generation; if there is none, the error tells
// why. Engines that are avoided or had a recent fault are used only if all engines of the list
// are. usable is the memory of each engine, in tokens, that may be filled with generations that
// have to move if the engine leaves. ErrHeadroom takes precedence over other reasons, since without
// the reserve the generation would have found room.
func (v *View) Admit(list []Candidate, g *Generation, usable float64) (fleet.Upstream, error) {
	anyHealthy := slices.ContainsFunc(list, func(c Candidate) bool { return v.healthy(&c, g.Repeatable) })
	reason := ErrNone
	unreported := v.unreportedLoad(list, g, usable)
	costPerRequest := float64(g.totalTokens()) + prefillWeight*float64(g.Prompt)
	if g.Headroom.contended {
		costPerRequest *= contendedSpread
	}
	u, ok := v.spread(list, costPerRequest, func(c *Candidate) (float64, bool) {
		if anyHealthy && !v.healthy(c, g.Repeatable) {
			return 0, false
		}
		if err := v.roomBeside(c, g, usable, unreported); err != nil {
			if !errors.Is(reason, ErrHeadroom) {
				reason = err
			}
			return 0, false
		}
		return v.engineCost(c, g) - prefillWeight*float64(c.CachedTokens), true
	})
	if !ok {
		return fleet.Upstream{}, reason
	}
	return u, nil
}

// healthy reports whether an engine may get a generation: it is not avoided and had no recent
// fault. Generations that may be repeated are also sent to an engine that had a fault, to probe
// whether it has recovered.
func (v *View) healthy(c *Candidate, repeats bool) bool {
	return !v.Now.Before(c.AvoidUntil()) && (repeats || !c.Suspect(v.Now))
}

// ChoosePlain chooses the upstream for a request to a plain service; ok is false if there is none.
func (v *View) ChoosePlain(list []Candidate) (u fleet.Upstream, ok bool) {
	return v.spread(list, requestCost, func(c *Candidate) (float64, bool) { return v.plainCost(c), true })
}

// Cheapest chooses the cheapest engine for the rest of an answer that a caller is waiting for,
// whether or not it has room: a crowded engine is better than none. ok is false if there is no
// engine at all.
func (v *View) Cheapest(list []Candidate, g *Generation) (u fleet.Upstream, ok bool) {
	lowest := math.Inf(1)
	for i := range list {
		c := &list[i]
		cost := v.engineCost(c, g)
		if !g.Repeatable && c.Suspect(v.Now) {
			cost += avoidedCost
		}
		if cost < lowest {
			u, lowest = c.Upstream, cost
		}
	}
	return u, !math.IsInf(lowest, 1)
}
