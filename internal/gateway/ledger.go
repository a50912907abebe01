package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/placement"
)

// loadTracker tracks the load of this entry and the others in flight at each upstream.
type loadTracker struct {
	mu    sync.Mutex
	own   map[string]gossip.Load
	peers map[string]map[string]gossip.Load
	// totals are the sums over this entry and the others. They are maintained and not computed on
	// demand, since a placement decision reads those of every upstream of a service.
	totals map[string]gossip.Load
	// placements counts the requests that other entries recently reported to have placed at each
	// upstream.
	placements map[string]placement.Decaying
	now        func() time.Time
}

func newLoadTracker(now func() time.Time) *loadTracker {
	return &loadTracker{own: map[string]gossip.Load{}, peers: map[string]map[string]gossip.Load{}, totals: map[string]gossip.Load{}, placements: map[string]placement.Decaying{}, now: now}
}

// placementDecay is the time constant of the decay of placement counts. It is long enough for some
// tens of placements in a zone of 24 engines, and short enough to follow a burst.
const placementDecay = 2 * time.Second

// loadClaim is the load of one request at an upstream, from the request's start to its end.
type loadClaim struct {
	tracker  *loadTracker
	upstream string
	load     gossip.Load
	released bool
}

// add adds the load of a request to an upstream.
func (l *loadTracker) add(upstream string, load gossip.Load) *loadClaim {
	c := &loadClaim{tracker: l, upstream: upstream, load: load}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addOwn(upstream, load)
	return c
}

// update replaces the load of the request.
func (c *loadClaim) update(load gossip.Load) {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.released {
		return
	}
	c.tracker.addOwn(c.upstream, load.Sub(c.load))
	c.load = load
}

// release removes the load of the request. Repeated calls have no effect.
func (c *loadClaim) release() {
	c.tracker.mu.Lock()
	defer c.tracker.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	c.tracker.addOwn(c.upstream, gossip.Load{}.Sub(c.load))
}

func (l *loadTracker) addOwn(upstream string, load gossip.Load) {
	addLoad(l.own, upstream, load)
	addLoad(l.totals, upstream, load)
}

// addLoad adds to the load of an upstream. Upstreams without load are deleted from loads.
func addLoad(loads map[string]gossip.Load, upstream string, load gossip.Load) {
	sum := loads[upstream].Add(load)
	if sum == (gossip.Load{}) {
		delete(loads, upstream)
		return
	}
	loads[upstream] = sum
}

// setPeer replaces the load of another entry; nil removes it.
func (l *loadTracker) setPeer(name string, loads map[string]gossip.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replacePeer(name, loads)
}

func (l *loadTracker) replacePeer(name string, loads map[string]gossip.Load) {
	previous, reportedBefore := l.peers[name]
	for upstream, load := range previous {
		addLoad(l.totals, upstream, gossip.Load{}.Sub(load))
	}
	now := l.now()
	for upstream, load := range loads {
		addLoad(l.totals, upstream, load)
		if added := load.Running - previous[upstream].Running; reportedBefore && added > 0 {
			l.placements[upstream] = l.placements[upstream].Add(float64(added), now, placementDecay)
		}
	}
	if loads == nil {
		delete(l.peers, name)
		return
	}
	l.peers[name] = loads
}

// loadAndRate returns the load of all entries at an upstream, and how many requests a second the
// other entries recently placed there.
func (l *loadTracker) loadAndRate(upstream string, now time.Time) (load gossip.Load, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[upstream], l.placements[upstream].Value(now, placementDecay) / placementDecay.Seconds()
}

// minPlacementCount is the count below which a decayed count is dropped.
const minPlacementCount = 0.01

// keepPeers drops the load of entries that are not known, and decayed placement counts.
func (l *loadTracker) keepPeers(known func(name string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.peers {
		if !known(name) {
			l.replacePeer(name, nil)
		}
	}
	now := l.now()
	maps.DeleteFunc(l.placements, func(_ string, d placement.Decaying) bool { return d.Value(now, placementDecay) < minPlacementCount })
}

// total returns the load of all entries at an upstream.
func (l *loadTracker) total(upstream string) gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[upstream]
}

// snapshot returns this entry's load by upstream.
func (l *loadTracker) snapshot() map[string]gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.own)
}
