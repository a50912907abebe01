package placement

import (
	"time"
)

// lateWeight is the cost of a token of a stream that pauses for longer than its caller allows, relative to
// a stored token. A late stream is worth a seventh of one in time to its caller, while a stored token only
// delays others, so any engine with room that keeps its streams in time comes before one that does not.
const lateWeight = 20.0

// pauseCost returns the expected cost of pauses that are longer than callers allow, in tokens of KV
// memory, if an engine takes a generation. It answers a load of long streams on engines of different speeds:
// while a slow engine reads a prompt, the events of all its streams are too far apart. The generation
// itself may pause too long, and its prompt delays the streams that the engine has. Generations of few
// events thus go to slow engines without streams, and long ones to fast engines.
func (v *View) pauseCost(c *Candidate, g *Generation) float64 {
	bound := v.Pace.Bound()
	if bound == 0 {
		return 0
	}
	own := 0.0
	if g.MaxPause > 0 {
		own = v.Pace.LateRisk(c.ID, g.MaxPause, g.events()) * float64(g.totalTokens())
	}
	reading := time.Duration(max(g.unread(c), 0)) * v.readToken(c)
	delayed := v.Pace.DelayRisk(c.ID, bound, reading) * float64(c.Load.Tokens)
	return lateWeight * (own + delayed)
}

// startCost returns the expected cost of a late first event if an engine takes a generation, in tokens of KV
// memory. Large prompts thus go to engines that read them in time even during a slow moment, or behind
// a prompt of which this entry has not heard.
func (v *View) startCost(c *Candidate, g *Generation) float64 {
	usual := time.Duration(v.remainingPrefill(c)+float64(g.unread(c))) * v.readToken(c)
	return lateWeight * v.Pace.StartRisk(usual, g.StartBy) * float64(g.totalTokens())
}

// readToken returns the time in which an engine prefills one prompt token.
func (v *View) readToken(c *Candidate) time.Duration {
	return time.Duration(float64(v.ReadToken) * v.Pace.Slowdown(c.ID))
}

// events returns the expected number of events of the answer.
func (g *Generation) events() int {
	if g.Engine.EventTokens <= 0 {
		return g.Output
	}
	return g.Output / g.Engine.EventTokens
}

// unread returns the number of prompt tokens that an engine has to read; 0 for one that gets a copy of the
// generation's memory.
func (g *Generation) unread(c *Candidate) int {
	if g.Copied {
		return 0
	}
	return g.Prompt - c.CachedTokens
}
