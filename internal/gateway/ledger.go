package gateway

import (
	"maps"
	"sync"

	"github.com/sparshore/sparshore/internal/gossip"
)

// ledger counts what this entry and the others have in flight at each upstream.
type ledger struct {
	mu    sync.Mutex
	own   map[string]gossip.Load
	peers map[string]map[string]gossip.Load
	// totals are the sums over this entry and the others. They are kept, not worked
	// out: a decision looks at every upstream of a service.
	totals map[string]gossip.Load
}

func newLedger() *ledger {
	return &ledger{own: map[string]gossip.Load{}, peers: map[string]map[string]gossip.Load{}, totals: map[string]gossip.Load{}}
}

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
	for upstream, load := range l.peers[name] {
		add(l.totals, upstream, gossip.Load{}.Sub(load))
	}
	for upstream, load := range loads {
		add(l.totals, upstream, load)
	}
	if loads == nil {
		delete(l.peers, name)
		return
	}
	l.peers[name] = loads
}

// keepPeers forgets the entries that are not in the set.
func (l *ledger) keepPeers(known func(name string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range l.peers {
		if !known(name) {
			l.replace(name, nil)
		}
	}
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
