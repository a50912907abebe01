package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/placement"
)

// ledger counts what this entry and the others have in flight at each upstream.
type ledger struct {
	mu    sync.Mutex
	own   map[string]gossip.Load
	peers map[string]map[string]gossip.Load
	// totals are the sums over this entry and the others. They are kept, not worked
	// out: a decision looks at every upstream of a service.
	totals map[string]gossip.Load
	// placed counts what the others were lately heard to place at each upstream.
	placed map[string]placement.Decaying
	now    func() time.Time
}

func newLedger(now func() time.Time) *ledger {
	return &ledger{own: map[string]gossip.Load{}, peers: map[string]map[string]gossip.Load{}, totals: map[string]gossip.Load{}, placed: map[string]placement.Decaying{}, now: now}
}

// placedFor is the time over which placements are counted: long enough for some tens of
// them in a zone of 24 engines, short enough to follow a burst.
const placedFor = 2 * time.Second

// claim is the part of an upstream that one request takes; it follows the
// request from its start to its end.
type claim struct {
	ledger   *ledger
	upstream string
	load     gossip.Load
	released bool
}

// take notes a request at an upstream.
func (l *ledger) take(upstream string, load gossip.Load) *claim {
	c := &claim{ledger: l, upstream: upstream, load: load}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addOwn(upstream, load)
	return c
}

// change replaces what the request takes.
func (c *claim) change(load gossip.Load) {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.released {
		return
	}
	c.ledger.addOwn(c.upstream, load.Sub(c.load))
	c.load = load
}

// release gives everything back; more than once is harmless.
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

// add adds to the load of an upstream; one without load takes no room.
func add(loads map[string]gossip.Load, upstream string, load gossip.Load) {
	sum := loads[upstream].Add(load)
	if sum == (gossip.Load{}) {
		delete(loads, upstream)
		return
	}
	loads[upstream] = sum
}

// setPeer replaces what another entry has in flight; nil forgets it.
func (l *ledger) setPeer(name string, loads map[string]gossip.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.replace(name, loads)
}

func (l *ledger) replace(name string, loads map[string]gossip.Load) {
	before, heard := l.peers[name]
	for upstream, load := range before {
		add(l.totals, upstream, gossip.Load{}.Sub(load))
	}
	now := l.now()
	for upstream, load := range loads {
		add(l.totals, upstream, load)
		if more := load.Running - before[upstream].Running; heard && more > 0 {
			l.placed[upstream] = l.placed[upstream].Add(float64(more), now, placedFor)
		}
	}
	if loads == nil {
		delete(l.peers, name)
		return
	}
	l.peers[name] = loads
}

// known returns what all entries have in flight at an upstream, and the number of requests
// a second that others lately placed there.
func (l *ledger) known(upstream string, now time.Time) (load gossip.Load, rate float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[upstream], l.placed[upstream].Value(now, placedFor) / placedFor.Seconds()
}

// placedLeast is the count under which it is not worth keeping.
const placedLeast = 0.01

// keepPeers forgets the entries that are not in the set, and placements long ago.
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

// total returns what all entries have in flight at an upstream.
func (l *ledger) total(upstream string) gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[upstream]
}

// snapshot returns what this entry has in flight, by upstream.
func (l *ledger) snapshot() map[string]gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.own)
}
