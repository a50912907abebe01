package gateway

import (
	"sync"

	"github.com/sparshore/sparshore/internal/gossip"
)

// ledger counts what this entry and the others have in flight at each upstream.
type ledger struct {
	mu    sync.Mutex
	own   map[string]gossip.Load
	peers map[string]map[string]gossip.Load
}

func newLedger() *ledger {
	return &ledger{own: map[string]gossip.Load{}, peers: map[string]map[string]gossip.Load{}}
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
	l.add(upstream, load, 1)
	return c
}

// change replaces what the request takes.
func (c *claim) change(load gossip.Load) {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.released {
		return
	}
	c.ledger.add(c.upstream, c.load, -1)
	c.load = load
	c.ledger.add(c.upstream, load, 1)
}

// release gives everything back; more than once is harmless.
func (c *claim) release() {
	c.ledger.mu.Lock()
	defer c.ledger.mu.Unlock()
	if c.released {
		return
	}
	c.released = true
	c.ledger.add(c.upstream, c.load, -1)
}

func (l *ledger) add(upstream string, load gossip.Load, sign int) {
	o := l.own[upstream]
	o.Running += sign * load.Running
	o.Tokens += sign * load.Tokens
	o.Prefill += sign * load.Prefill
	if o == (gossip.Load{}) {
		delete(l.own, upstream)
		return
	}
	l.own[upstream] = o
}

// setPeer replaces what another entry has in flight; nil forgets it.
func (l *ledger) setPeer(name string, loads map[string]gossip.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
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
			delete(l.peers, name)
		}
	}
}

// total returns what all entries have in flight at an upstream.
func (l *ledger) total(upstream string) gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.own[upstream]
	for _, loads := range l.peers {
		p := loads[upstream]
		t.Running += p.Running
		t.Tokens += p.Tokens
		t.Prefill += p.Prefill
	}
	return t
}

// snapshot returns what this entry has in flight, by upstream.
func (l *ledger) snapshot() map[string]gossip.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]gossip.Load, len(l.own))
	for id, o := range l.own {
		out[id] = o
	}
	return out
}
