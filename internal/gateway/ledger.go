package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/placement"
)

// ledger tracks the load of this entry and the others in flight at each upstream.
type ledger struct {
	mu    sync.Mutex
	own   map[string]gossip.Load
	peers map[string]map[string]gossip.Load
	// totals are the sums over this entry and the others. They are maintained and not computed on
	// demand, since a placement decision reads those of every upstream of a service.
	totals map[string]gossip.Load
	// placed counts the requests that other entries recently reported to have placed at each
	// upstream.
	placed map[string]placement.Decaying
	now    func() time.Time
}

func newLedger(now func() time.Time) *ledger {
	return &ledger{own: map[string]gossip.Load{}, peers: map[string]map[string]gossip.Load{}, totals: map[string]gossip.Load{}, placed: map[string]placement.Decaying{}, now: now}
}

// placedFor is the time constant of the decay of placement counts. It is long enough for some
// tens of placements in a zone of 24 engines, and short enough to follow a burst.
const placedFor = 2 * time.Second

// claim is the load of one request at an upstream, from the request's start to its end.
type claim struct {
	ledger   *ledger
	upstream string
	load     gossip.Load
	released bool
}

// take adds the load of a request to an upstream.
func (l *ledger) take(upstream string, load gossip.Load) *claim {
	c := &claim{ledger: l, upstream: upstream, load: load}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addOwn(upstream, load)
	return c
}

// change replaces the load of the request.
func (c *claim) change(load gossip.Load) {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.released {
		return
	}
	c.ledger.addOwn(c.upstream, load.Sub(c.load))
	c.load = load
}

// release removes the load of the request. Repeated calls have no effect.
func (c *claim) release() {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	c.ledger.addOwn(c.upstream, gossip.Load{}.Sub(c.load))
}

func (l *ledger) addOwn(upstream string, load gossip.Load) {
	add(l.own, upstream, load)
	add(l.totals, upstream, load)
}

// add adds to the load of an upstream. Upstreams without load are deleted from loads.
func add(loads map[string]gossip.Load, upstream string, load gossip.Load) {
	sum := loads[upstream].Add(load)
	if sum == (gossip.Load{}) {
		delete(loads, upstream)
		return
	}
	loads[upstream] = sum
}

// setPeer replaces the load of another entry; nil removes it.
func (l *ledger) setPeer(name string, loads map[string]gossip.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(name, loads)
}

func (l *ledger) replace(name string, loads map[string]gossip.Load) {
	previous, reportedBefore := l.peers[name]
	for upstream, load := range previous {
		add(l.totals, upstream, gossip.Load{}.Sub(load))
	}
	now := l.now()
	for upstream, load := range loads {
		add(l.totals, upstream, load)
		if added := load.Running - previous[upstream].Running; reportedBefore && added > 0 {
			l.placed[upstream] = l.placed[upstream].Add(float64(added), now, placedFor)
		}
	}
	if loads == nil {
		delete(l.peers, name)
		return
	}
	l.peers[name] = loads
}

// known returns the load of all entries at an upstream, and how many requests a second the other
// entries recently placed there.
func (l *ledger) known(upstream string, now time.Time) (load gossip.Load, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[upstream], l.placed[upstream].Value(now, placedFor) / placedFor.Seconds()
}

// placedLeast is the count below which a decayed count is dropped.
const placedLeast = 0.01

// keepPeers drops the load of entries that are not known, and decayed placement counts.
func (l *ledger) keepPeers(known func(name string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.peers {
		if !known(name) {
			l.replace(name, nil)
		}
	}
	now := l.now()
	maps.DeleteFunc(l.placed, func(_ string, d placement.Decaying) bool { return d.Value(now, placedFor) < placedLeast })
}

// total returns the load of all entries at an upstream.
func (l *ledger) total(upstream string) gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[upstream]
}

// snapshot returns this entry's load by upstream.
func (l *ledger) snapshot() map[string]gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.own)
}
