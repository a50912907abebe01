package placement

import (
	"cmp"
	"math"
	"slices"

	"github.com/sparshore/sparshore/internal/fleet"
)

// choice is a candidate that can take a request, and what it costs there by what is known
// of its load.
type choice struct {
	candidate *Candidate
	cost      float64
}

// choices are the upstreams of one zone that can take a request.
type choices struct {
	list []choice
	// rate is the number of requests a second that other entries place there, and
	// unheard the number that they are expected to have placed without this entry
	// knowing yet.
	rate    float64
	unheard float64
}

// unheardMargin is the number of requests that are expected where one is: how many there
// are varies. With news of 100 ms 71 of 7,600 generations left their zone with it, and 143
// without; late starts are the same, 1 and 1 (TestOldNewsDoesNotCrowdEngines, one run each).
const unheardMargin = 2

// spread chooses an upstream for a request that costs unit once it is placed. Entries
// that learn of each other's placements after a delay see the same upstream as the best
// one and would all take it, most of all one that has just begun and holds nothing. So the
// requests that the others placed meanwhile are expected where they cost least, and an
// upstream is taken with the probability of its part in that. With news of no age that is
// the upstream that costs least.
//
// Entries keep to their zone, so in the own zone the others' requests of that zone are
// expected. A zone that looks better from here looks so to all entries; it is taken if
// it still does with the requests of all of them.
//
// cost reports false for upstreams that cannot take the request.
//
// With news of 50, 100 and 350 ms 0, 1 and 26 of 7,600 generations begin late, behind
// others' prompts; 290, 977 and 3,498 when each entry takes the best engine (model of 144
// engines that read half of the time, TestOldNewsDoesNotCrowdEngines, one run each).
func (v *View) spread(list []Candidate, unit float64, cost func(c *Candidate) (float64, bool)) (fleet.Upstream, bool) {
	zones := map[string]*choices{}
	for i := range list {
		c := &list[i]
		amount, ok := cost(c)
		if !ok {
			continue
		}
		z := zones[c.Zone]
		if z == nil {
			z = &choices{}
			zones[c.Zone] = z
		}
		z.list = append(z.list, choice{candidate: c, cost: amount})
		z.rate += c.Rate
	}
	all := 0.0
	for zone, z := range zones {
		z.unheard = unheardMargin * z.rate * v.Delay(zone).Seconds()
		all += z.unheard
	}
	var chosen *choices
	least := math.Inf(1)
	for zone, z := range zones {
		if zone != v.Zone {
			z.unheard = all
		}
		slices.SortFunc(z.list, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
		if l := z.level(unit); l < least {
			chosen, least = z, l
		}
	}
	if chosen == nil {
		return fleet.Upstream{}, false
	}
	return chosen.pick(least, v.Random()).candidate.Upstream, true
}

// level is the cost up to which the requests that are not heard of yet fill the
// upstreams that cost least. The list is in order of cost.
func (c *choices) level(unit float64) float64 {
	amount := c.unheard * unit
	sum, level := 0.0, c.list[0].cost
	for i, u := range c.list {
		if i > 0 && u.cost >= level {
			break
		}
		sum += u.cost
		level = (sum + amount) / float64(i+1)
	}
	return level
}

// pick returns an upstream under a level, each with the probability of what it lacks to
// it; random is a number from 0 up to 1.
func (c *choices) pick(level, random float64) choice {
	lacks := make([]float64, len(c.list))
	for i, u := range c.list {
		lacks[i] = max(level-u.cost, 0)
	}
	if i, ok := drawIndex(lacks, random); ok {
		return c.list[i]
	}
	return c.list[0]
}
