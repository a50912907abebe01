package gossip

import (
	"net"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

// Peer is what is known of another entry.
type Peer struct {
	Address string
	// Size is what its machine can bear, as far as it is listed.
	Size  roster.Size
	State State
	// Heard is when the newest message came.
	Heard time.Time
}

type peer struct {
	Peer
	addr  net.Addr
	echo  int64
	life  string
	lost  bool
	known bool
	// newest is the time at which its newest state was sent, by its own clock.
	newest int64
	// entry is how it is listed, and listed since when.
	entry  roster.Entry
	listed time.Time
	// mark is of its name and its size.
	mark uint64
	// named tells that only another entry has named it so far: it is not in the list of entries,
	// and has not been heard.
	named bool
	// delegate tells that it is one of its zone, as far as known here, and doubted that one does
	// not hear it any more.
	delegate bool
	doubted  bool
	lostAt   time.Time
}

// Know makes the other entries known, by name, as they are listed; those not in the list and
// silent are forgotten.
func (n *Node) Know(listed map[string]roster.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, entry := range listed {
		if name != n.settings.Name {
			n.know(name, entry, false)
		}
	}
	for name, p := range n.peers {
		if _, there := listed[name]; !there && p.lost {
			delete(n.peers, name)
		}
	}
	n.count()
}

// know takes over how an entry is listed, and greets one that is not heard. named tells that it is
// not in the list of entries, but named by another one. It needs the lock.
func (n *Node) know(name string, entry roster.Entry, named bool) {
	addr, err := net.ResolveUDPAddr("udp4", entry.Address)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", name, "error", err)
		return
	}
	p, ok := n.peers[name]
	if !ok {
		p = &peer{lost: true, listed: n.now()}
		n.peers[name] = p
		n.greetSoon(name)
	}
	p.addr, p.Address, p.entry, p.known, p.named = addr, entry.Address, entry, true, named
	p.resize(name, entry.Size)
}

// resize takes over what the machine of an entry can bear.
func (p *peer) resize(name string, size roster.Size) { p.Size, p.mark = size, markOf(name, size) }

// Each calls f for each entry that is heard, which must not keep it or call the Node.
func (n *Node) Each(f func(name string, p *Peer)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, p := range n.peers {
		if !p.lost {
			f(name, &p.Peer)
		}
	}
}

// Peers returns the entries heard lately.
func (n *Node) Peers() map[string]Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Peer, len(n.peers))
	for name, p := range n.peers {
		if !p.lost {
			out[name] = p.Peer
		}
	}
	return out
}

// expectedFor is how long a listed entry that was never heard counts as one that may be: some
// round trips, a busy processor and a lost message.
const expectedFor = 2 * time.Second

// Expected returns the entries that were listed lately and have not been heard yet.
func (n *Node) Expected() map[string]roster.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, now := map[string]roster.Entry{}, n.now()
	for name, p := range n.peers {
		if n.isExpected(p, now) {
			out[name] = p.entry
		}
	}
	return out
}

// isExpected needs the lock.
func (n *Node) isExpected(p *peer, now time.Time) bool {
	return p.lost && p.known && p.Heard.IsZero() && now.Sub(p.listed) < expectedFor
}

// group returns the group that a peer belongs to. One whose zone is not known yet
// counts as far.
func (n *Node) group(p *peer) group {
	if p.State.Zone != "" && p.State.Zone == n.settings.Zone || n.delegate && p.delegate {
		return near
	}
	return far
}

// counts is the number of peers in each group.
func (n *Node) counts() [groups]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sizes
}

// count counts the peers in each group. It needs the lock.
func (n *Node) count() {
	n.sizes = [groups]int{}
	for _, p := range n.peers {
		if !p.named {
			n.sizes[n.group(p)]++
		}
	}
}
