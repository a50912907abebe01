package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// The weights by which an upstream is chosen. They are in parts of a request
// slot for plain services and in tokens of KV memory for engines.
const (
	// failureCost makes an upstream that fails half of its requests look as
	// loaded as one with two more requests.
	failureCost = 4.0
	// otherZoneCost keeps calls in the zone unless another one has a request less:
	// a call between zones meets links that lose packets, and a packet sent again
	// comes some 200 ms later. With 4% lost for 12 of 34 s, requests earned 0.02 more of
	// their value than at a cost of 0.3 (mean of three runs).
	otherZoneCost = 1.0
	// failingCost puts upstreams that fail many requests behind all that do not, but
	// before those whose connections broke.
	failingCost = 1e5
	// tieNoise keeps entries that see the same load from all choosing the same.
	tieNoise = 0.2
	// avoidedCost puts upstreams that are avoided behind all others.
	avoidedCost = 1e6

	// engineFailureTokens, engineColdTokens and engineNoiseTokens do the same for
	// engines; a usual generation takes some 4,000 tokens of memory.
	engineFailureTokens = 30000.0
	engineColdTokens    = 6000.0
	engineNoiseTokens   = 400.0
	// engineZoneTokens keeps generations in the zone unless an engine of another one
	// has about one generation less: packets that links between zones lose pause a
	// stream for longer than its caller allows. With 4% lost for 12 of 34 s, requests
	// earned 0.07 more of their value than at a cost of 150 (mean of three runs), and as
	// much without losses.
	engineZoneTokens = 3000.0
	// prefillWeight is what an unread prompt token counts beside a stored one:
	// it delays the first token of whatever comes after, and four prompts in a
	// row use up the objective.
	prefillWeight = 4.0
	// overflowWeight is what a token beyond the memory counts: it preempts.
	overflowWeight = 20.0
)

// choosePlain returns the best upstream of a plain service that is not excluded.
func (g *Gateway) choosePlain(service string, exclude map[string]bool) (fleet.Upstream, bool) {
	failing := g.fleet.Failing(service)
	return g.spread(g.fleet.Of(service), requestCost, false, func(u *fleet.Upstream) (float64, bool) {
		if exclude[u.ID] {
			return 0, false
		}
		load := g.ledger.total(u.ID)
		cost := float64(load.Running)/float64(max(u.Slots, 1))*float64(slotsUnit) + failureCost*u.FailureRate()
		if failing[u.ID] {
			cost += failingCost
		}
		if u.Zone != g.settings.Zone {
			cost += otherZoneCost
		}
		if g.now().Before(u.AvoidUntil()) {
			cost += avoidedCost
		}
		return cost + tieNoise*rand.Float64(), true
	})
}

const (
	// slotsUnit is the number of slots at which one more request costs requestCost.
	slotsUnit = 6
	// requestCost is the cost of one more request at such an upstream.
	requestCost = 1.0
)

// chooseEngine returns the best engine for need more tokens of memory. Requests
// that may be repeated also find out whether an engine that had a fault is well.
func (g *Gateway) chooseEngine(s *routetable.Service, need int, repeats bool, exclude map[string]bool) (fleet.Upstream, bool) {
	now := g.now()
	return best(g.fleet.Of(s.Name), exclude, func(u fleet.Upstream) float64 {
		cost := g.engineCost(s.Engine, &u, g.ledger.total(u.ID), need, now)
		if !repeats && u.Suspect(now) {
			cost += avoidedCost
		}
		return cost
	})
}

// engineCost compares engines, in tokens of KV memory: the less, the better for
// need more tokens.
func (g *Gateway) engineCost(e *routetable.Engine, u *fleet.Upstream, load gossip.Load, need int, now time.Time) float64 {
	cost := float64(load.Tokens) + prefillWeight*g.unread(u.Zone, load) + engineFailureTokens*u.FailureRate()
	if over := float64(load.Tokens+need) - float64(e.MemoryTokens); over > 0 {
		cost += overflowWeight * over
	}
	if load.Running >= e.Slots {
		cost += float64(e.MemoryTokens)
	}
	if now.Before(u.ColdUntil()) {
		cost += engineColdTokens
	}
	if u.Zone != g.settings.Zone {
		cost += engineZoneTokens
	}
	if now.Before(u.AvoidUntil()) {
		cost += avoidedCost
	}
	return cost + engineNoiseTokens*rand.Float64()
}

// unread is the number of prompt tokens that an engine still has to read: while the news
// of its load was on the way it read on. What that brings does not show in the model of
// TestOldNewsDoesNotCrowdEngines: 26 of 7,600 late with news of 350 ms, 22 without.
func (g *Gateway) unread(zone string, load gossip.Load) float64 {
	meanwhile := float64(g.others.Delay(zone, true)) / float64(g.reading.expected(1))
	return max(float64(load.Prefill)-meanwhile, 0)
}

func best(list []fleet.Upstream, exclude map[string]bool, cost func(fleet.Upstream) float64) (fleet.Upstream, bool) {
	var chosen fleet.Upstream
	least := math.Inf(1)
	for _, u := range list {
		if exclude[u.ID] {
			continue
		}
		if c := cost(u); c < least {
			chosen, least = u, c
		}
	}
	return chosen, !math.IsInf(least, 1)
}

// draw returns one of the upstreams that are not excluded, each as likely as its
// weight says; ok is false if none has a weight. random returns a number from 0
// up to 1.
func draw(list []fleet.Upstream, exclude map[string]bool, weight func(fleet.Upstream) float64, random func() float64) (u fleet.Upstream, ok bool) {
	weights := make([]float64, len(list))
	for i, u := range list {
		if !exclude[u.ID] {
			weights[i] = weight(u)
		}
	}
	i, ok := drawIndex(weights, random())
	if !ok {
		return fleet.Upstream{}, false
	}
	return list[i], true
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
