package gateway

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// overloadEnds is the time without a refusal after which an overload is over:
	// longer than the pauses between refusals of one entry while half as much again
	// is asked as the engines can do.
	overloadEnds = 2 * time.Second
	// backLeast is the least time after which a caller that found all engines taken
	// is told to come back: about the time in which one of some ten streams ends.
	backLeast = time.Second
	// backSpread is the part by which the times told are spread to both sides, so
	// that callers refused together do not come back together.
	backSpread = 0.25
)

// overload knows since when a service has had to refuse generations.
type overload struct {
	mu sync.Mutex
	// since and last are the first and the latest refusal of the overload.
	since, last time.Time
}

// refused notes a refusal and returns the time after which the caller should come
// back. How long an overload lasts is not known; one that has lasted for a time can
// be expected to last as long again. Callers have one or two tries: with three times
// the load, 306 of 617 were refused for good when they were told to come back after
// 250 ms, and 184 when after 10 s.
func (o *overload) refused(now time.Time, random float64) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Sub(o.last) > overloadEnds {
		o.since = now
	}
	o.last = now
	back := max(now.Sub(o.since), backLeast)
	return time.Duration(float64(back) * (1 - backSpread + 2*backSpread*random))
}

// backAfterOverload is the time after which a caller that found no room should
// come back.
func (g *Gateway) backAfterOverload(service string) time.Duration {
	g.mu.Lock()
	o, ok := g.overloads[service]
	if !ok {
		o = &overload{}
		g.overloads[service] = o
	}
	g.mu.Unlock()
	return o.refused(g.now(), rand.Float64())
}
