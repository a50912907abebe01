package placement

// The weights by which an upstream is chosen. They are in parts of a request
// slot for plain services and in tokens of KV memory for engines.
const (
	// failureCost makes an upstream that fails half of its requests look as
	// loaded as one with two more requests.
	failureCost = 4.0
	// otherZoneCost keeps calls in the zone unless another one has a request less:
	// a call between zones meets links that lose packets, and a packet sent again
	// comes some 200 ms later.
	otherZoneCost = 1.0
	// failingCost puts upstreams that fail many requests behind all that do not, but
	// before those whose connections broke.
	failingCost = 1e5
	// trialCost and engineTrialTokens keep requests from an upstream that runs one under which
	// another upstream ended, unless the others have about one request more: it may end as well.
	trialCost         = 2.0
	engineTrialTokens = 4000.0
	// tieNoise keeps entries that see the same load from all choosing the same.
	tieNoise = 0.2
	// avoidedCost puts upstreams that are avoided behind all others.
	avoidedCost = 1e6
	// slotsUnit is the number of slots at which one more request costs requestCost.
	slotsUnit = 6
	// requestCost is the cost of one more request at such an upstream.
	requestCost = 1.0

	// engineFailureTokens, engineColdTokens and engineNoiseTokens do the same for
	// engines; a usual generation takes some 4,000 tokens of memory.
	engineFailureTokens = 30000.0
	engineColdTokens    = 6000.0
	engineNoiseTokens   = 400.0
	// engineZoneTokens keeps generations in the zone unless an engine of another one
	// has about one generation less: packets that links between zones lose pause a
	// stream for longer than its caller allows.
	engineZoneTokens = 3000.0
	// prefillWeight is what an unread prompt token counts beside a stored one:
	// it delays the first token of whatever comes after, and four prompts in a
	// row use up the objective.
	prefillWeight = 4.0
	// overflowWeight is what a token beyond the memory counts: it preempts.
	overflowWeight = 20.0
)

// plainCost compares upstreams of a plain service, in parts of a request slot: the
// less, the better.
func (v *View) plainCost(c *Candidate) float64 {
	cost := float64(c.Load.Running)/float64(max(c.Slots, 1))*float64(slotsUnit) + failureCost*c.FailureRate()
	if c.Failing {
		cost += failingCost
	}
	if c.Trial {
		cost += trialCost
	}
	if c.Zone != v.Zone {
		cost += otherZoneCost
	}
	if v.Now.Before(c.AvoidUntil()) {
		cost += avoidedCost
	}
	return cost + tieNoise*v.Random()
}

// engineCost compares engines, in tokens of KV memory: the less, the better for
// a generation.
func (v *View) engineCost(c *Candidate, g *Generation) float64 {
	cost := float64(c.Load.Tokens) + prefillWeight*v.unread(c) + engineFailureTokens*c.FailureRate()
	if over := float64(c.Load.Tokens + g.need() - g.Engine.MemoryTokens); over > 0 {
		cost += overflowWeight * over
	}
	if c.Load.Running >= g.Engine.Slots {
		cost += float64(g.Engine.MemoryTokens)
	}
	if v.Now.Before(c.ColdUntil()) {
		cost += engineColdTokens
	}
	if c.Trial {
		cost += engineTrialTokens
	}
	if c.Zone != v.Zone {
		cost += engineZoneTokens
	}
	if v.Now.Before(c.AvoidUntil()) {
		cost += avoidedCost
	}
	return cost + engineNoiseTokens*v.Random()
}

// unread is the number of prompt tokens that an engine still has to read: while the news
// of its load was on the way it read on. What that brings does not show in the model of
// TestOldNewsDoesNotCrowdEngines: 26 of 7,600 late with news of 350 ms, 22 without.
func (v *View) unread(c *Candidate) float64 {
	meanwhile := float64(v.Delay(c.Zone)) / float64(max(v.ReadToken, 1))
	return max(float64(c.Load.Prefill)-meanwhile, 0)
}
