package placement

import (
	"github.com/sparshore/sparshore/internal/fleet"
)

// minRelocationGain is by how much a move has to lower the probability that a stream pauses too long. A
// move costs the copy of the stream's memory and one attempt of the retry budget, and an engine may
// refuse it.
const minRelocationGain = 0.2

// WorthLeaving reports whether a generation at an engine is so likely to pause too long that Relocate can find a
// better one. It is much cheaper than the loads of all engines, which Relocate needs.
func (v *View) WorthLeaving(from fleet.Upstream, g *Generation) bool {
	return v.Pace.LateRisk(from.ID, g.MaxPause, g.events()) >= minRelocationGain
}

// Relocate draws the engine to which a running generation moves because it is likely to pause too long where
// it runs. It answers streams that began on a slow engine before its speed was known, or while the others
// were full. ok is false if no engine with room lowers that risk by minRelocationGain.
func (v *View) Relocate(list []Candidate, g *Generation, from fleet.Upstream, usable float64) (u fleet.Upstream, ok bool) {
	if !v.WorthLeaving(from, g) {
		return fleet.Upstream{}, false
	}
	limit := v.Pace.LateRisk(from.ID, g.MaxPause, g.events()) - minRelocationGain
	return v.drawTarget(list, from.Zone, func(c *Candidate) float64 {
		if !v.Pace.Known(c.ID) || v.Pace.LateRisk(c.ID, g.MaxPause, g.events()) > limit || Room(c.Load, g, 0, usable, v.readToken(c)) != nil {
			return 0
		}
		return v.targetWeight(c, g)
	})
}
