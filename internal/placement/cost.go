package placement

// The weights of the costs by which upstreams are compared. For plain services the unit is one
// request at an upstream with referenceSlots slots; for engines it is one token of KV memory.
const (
	// failureCost makes an upstream that fails half of its requests as costly as one with two
	// more requests.
	failureCost = 4.0
	// otherZoneCost keeps requests in the zone of the entry unless an upstream of another zone
	// has one request less: links between zones lose packets, and a lost packet is
	// retransmitted some 200 ms later.
	otherZoneCost = 1.0
	// failingCost ranks upstreams that fail many requests behind those that do not, but ahead
	// of those that are avoided because their connections broke.
	failingCost = 1e5
	// trialCost and engineTrialTokens keep requests away from an upstream that is running a
	// suspect request, unless the others have about one request more: the suspect may crash
	// this upstream as well.
	trialCost         = 2.0
	engineTrialTokens = 4000.0
	// tieNoise keeps entries that see the same load from all choosing the same upstream.
	tieNoise = 0.2
	// avoidedCost ranks avoided upstreams behind all others.
	avoidedCost = 1e6
	// referenceSlots is the number of slots of an upstream at which one more request costs
	// requestCost.
	referenceSlots = 6
	// requestCost is the cost of one more request at an upstream with referenceSlots slots.
	requestCost = 1.0

	// engineFailureTokens, engineColdTokens and engineNoiseTokens are the costs of failures, of
	// a cold start and of the noise against ties for engines. A typical generation takes about
	// 4,000 tokens of memory.
	engineFailureTokens = 30000.0
	engineColdTokens    = 6000.0
	engineNoiseTokens   = 400.0
	// engineZoneTokens keeps generations in the zone of the entry unless an engine of another
	// zone has about one generation less: packets lost on links between zones stall a stream
	// for longer than its caller allows.
	engineZoneTokens = 3000.0
	// prefillWeight is the weight of a prompt token that is not prefilled yet, relative to a
	// stored token: it delays the first token of each later generation, and four prompts in a
	// row use up the time that a generation has to begin.
	prefillWeight = 4.0
	// overflowWeight is the weight of a token beyond the memory: the engine has to preempt a
	// stream for it.
	overflowWeight = 20.0
)

// plainCost returns the cost of sending a request to an upstream of a plain service, in the
// unit of requestCost; lower is better.
func (v *View) plainCost(c *Candidate) float64 {
	cost := float64(c.Load.Running)/float64(max(c.Slots, 1))*float64(referenceSlots) + failureCost*c.FailureRate()
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

// engineCost returns the cost of placing a generation on an engine, in tokens of KV memory;
// lower is better.
func (v *View) engineCost(c *Candidate, g *Generation) float64 {
	// A slower engine needs more time for the same work, and holds its memory for longer.
	work := float64(c.Load.Tokens+g.totalTokens()) + prefillWeight*(v.remainingPrefill(c)+float64(g.Prompt))
	cost := work*v.Pace.Slowdown(c.ID) + engineFailureTokens*c.FailureRate()
	if overflow := float64(c.Load.Tokens + g.totalTokens() - g.Engine.MemoryTokens); overflow > 0 {
		cost += overflowWeight * overflow
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
	return cost + v.pauseCost(c, g) + v.startCost(c, g) + engineNoiseTokens*v.Random()
}

// remainingPrefill estimates the number of prompt tokens that an engine still has to prefill: it
// went on prefilling while the report of its load was on the way. The correction makes no
// visible difference in the model of 144 engines in the tests of internal/gateway: with reports
// 350 ms old, 26 of 7,600 generations begin late with it and 22 without.
func (v *View) remainingPrefill(c *Candidate) float64 {
	readSince := float64(v.Delay(c.Zone)) / float64(max(v.readToken(c), 1))
	return max(float64(c.Load.Prefill)-readSince, 0)
}
