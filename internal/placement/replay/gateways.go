package replay

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/placement"
)

// gatewayState is what one gateway keeps for its decisions.
type gatewayState struct {
	overload placement.Overload
	forecast placement.BriefForecast
	paces    *pace.Set
	// readTime is the mean time in which an engine of typical pace reads a prompt token; 0 until measured.
	readTime time.Duration
	// relocating is the generation that is being moved away from a slow engine.
	relocating *generation
}

// warmUp lets the gateways count the arrivals of the time before the load. Nothing runs then.
func (s *simulation) warmUp() {
	if s.load.WarmUp == 0 {
		return
	}
	r, before := rand.New(rand.NewPCG(s.load.Seed, warmUpStream)), s.load
	before.Duration, before.Kinds = s.load.WarmUp, slices.Clone(s.load.Kinds)
	for i := range before.Kinds {
		before.Kinds[i].Surge = Surge{}
	}
	arrivals := before.arrivals(r)
	slices.SortFunc(arrivals, func(a, b arrival) int { return cmp.Compare(a.due, b.due) })
	for _, a := range arrivals {
		g := &generation{arrival: a, firstArrival: a.due - s.load.WarmUp}
		s.now = g.firstArrival
		s.gateways[r.IntN(len(s.gateways))].forecast.Arrived(s.want(g), g.expectedHold(), s.start.Add(s.now))
	}
	s.now = 0
}

// warmUpStream selects the random numbers of the time before the load.
const warmUpStream = 7

// placementDecay is the time constant of the counts of recent placements, as in a gateway.
const placementDecay = 2 * time.Second

// snapshotInterval is the time between two snapshots of the load, from which gateways learn of the
// others.
const snapshotInterval = 50 * time.Millisecond

// snapshot is the load in flight at one time.
type snapshot struct {
	at time.Duration
	// total is the load of all gateways by engine, and byGateway the part of each gateway.
	total     map[*engine]gossip.Load
	byGateway []map[*engine]gossip.Load
	// rates are the placements a second by engine.
	rates map[*engine]float64
}

// takeSnapshot records the current load if one is due, and drops those that are no longer needed.
func (s *simulation) takeSnapshot() {
	if len(s.gateways) == 1 || s.now%snapshotInterval != 0 {
		return
	}
	snap := snapshot{at: s.now, total: map[*engine]gossip.Load{}, byGateway: make([]map[*engine]gossip.Load, len(s.gateways)), rates: map[*engine]float64{}}
	s.eachLoad(func(g *generation, e *engine, load gossip.Load) {
		snap.total[e] = snap.total[e].Add(load)
		if snap.byGateway[g.gateway] == nil {
			snap.byGateway[g.gateway] = map[*engine]gossip.Load{}
		}
		snap.byGateway[g.gateway][e] = snap.byGateway[g.gateway][e].Add(load)
	})
	for _, e := range s.engines {
		snap.rates[e] = e.placements.Value(s.start.Add(s.now), placementDecay) / placementDecay.Seconds()
	}
	s.snapshots = append(s.snapshots, snap)
	for len(s.snapshots) > 1 && s.snapshots[1].at <= s.now-s.load.StateAge {
		s.snapshots = s.snapshots[1:]
	}
}

// eachLoad calls f with the load of each generation at its engine, and at the engine to which it
// is being copied.
func (s *simulation) eachLoad(f func(g *generation, e *engine, load gossip.Load)) {
	for _, g := range s.inOrder {
		load := g.load()
		f(g, g.host, load)
		if g.target != nil {
			load.Prefill = 0
			f(g, g.target, load)
		}
	}
}

// knownLoads returns the load by engine as a gateway knows it: its own now, and that of the others
// as it was StateAge ago.
func (s *simulation) knownLoads(gateway int) (loads map[*engine]gossip.Load, rates map[*engine]float64) {
	loads = map[*engine]gossip.Load{}
	s.eachLoad(func(g *generation, e *engine, load gossip.Load) {
		if len(s.gateways) == 1 || g.gateway == gateway {
			loads[e] = loads[e].Add(load)
		}
	})
	if len(s.gateways) == 1 || len(s.snapshots) == 0 || s.snapshots[0].at > s.now-s.load.StateAge {
		return loads, nil
	}
	old := &s.snapshots[0]
	for e, l := range old.total {
		loads[e] = loads[e].Add(l).Sub(old.byGateway[gateway][e])
	}
	return loads, old.rates
}

// enqueue lets a generation wait at its gateway for room.
func (s *simulation) enqueue(g *generation) {
	i, _ := slices.BinarySearchFunc(s.queue, g, func(a, b *generation) int { return cmp.Compare(a.startBy(), b.startBy()) })
	s.queue = slices.Insert(s.queue, i, g)
}

// queueInterval is the time between two attempts to place the generations of the queue.
const queueInterval = 20 * time.Millisecond

// serveQueue places the generations that wait, in the order of their deadlines, and refuses those
// that can no longer begin in time.
func (s *simulation) serveQueue() {
	if len(s.queue) == 0 || s.now%queueInterval != 0 {
		return
	}
	var waiting []*generation
	for _, g := range s.queue {
		switch {
		case s.place(g) == nil:
		case s.now+time.Duration(g.prompt)*readTimePerToken > g.startBy():
			s.refuse(g)
		default:
			waiting = append(waiting, g)
		}
	}
	s.queue = waiting
}
