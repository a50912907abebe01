package gossip

import (
	"net"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

// Peer is the exported part of what a Node stores about another entry.
type Peer struct {
	Address string
	// Size is the capacity of its machine; zero if it is not known.
	Size  roster.Size
	State State
	// Heard is the arrival time of the latest message from the entry itself.
	Heard time.Time
}

// peer is another entry: one from the list of entries, one that has sent a message, or one that
// another entry has named.
type peer struct {
	Peer
	addr net.Addr
	// echoSent is the send time of its latest message, by its own clock, to be echoed to it.
	echoSent    int64
	incarnation string
	// silent is whether no message has arrived within its silence timeout, or none at all. Peers that
	// are not silent are called live.
	silent bool
	// hasEntry is whether entry is set.
	hasEntry bool
	// newestSent is the send time of its stored state, by its own clock.
	newestSent int64
	// entry is what the list of entries, or another entry, gives for it. addedAt is when it became known
	// that way.
	entry   roster.Entry
	addedAt time.Time
	// digest is the hash of its name and its size, as of digestOf.
	digest uint64
	// unverified is whether only another entry has named it so far: it is not in the list of entries,
	// and no message from it has arrived.
	unverified bool
	// delegate is whether it is a delegate of its zone, as far as this entry can tell. reportedSilent
	// is whether another entry has reported it silent since its latest message.
	delegate       bool
	reportedSilent bool
	silentSince    time.Time
}

// SetListed adds or updates the entries of the list of entries, by name. It drops silent peers that are not
// in the list.
func (n *Node) SetListed(listed map[string]roster.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, entry := range listed {
		if name != n.settings.Name {
			n.addEntry(name, entry, false)
		}
	}
	for name, p := range n.peers {
		if _, present := listed[name]; !present && p.silent {
			delete(n.peers, name)
		}
	}
	n.countGroups()
}

// addEntry adds or updates an entry, and sends the own state to a new one. unverified is whether it was
// named by another entry and not read from the list of entries. The caller must hold n.mu.
func (n *Node) addEntry(name string, entry roster.Entry, unverified bool) {
	addr, err := net.ResolveUDPAddr("udp4", entry.Address)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", name, "error", err)
		return
	}
	p, ok := n.peers[name]
	if !ok {
		p = &peer{silent: true, addedAt: n.now()}
		n.peers[name] = p
		n.greetSoon(name)
	}
	p.addr, p.Address, p.entry, p.hasEntry, p.unverified = addr, entry.Address, entry, true, unverified
	p.setSize(name, entry.Size)
}

// setSize stores the capacity of the peer's machine and updates its digest.
func (p *peer) setSize(name string, size roster.Size) { p.Size, p.digest = size, digestOf(name, size) }

// Each calls f for each live peer. f must neither keep p nor call the Node, whose lock is held.
func (n *Node) Each(f func(name string, p *Peer)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, p := range n.peers {
		if !p.silent {
			f(name, &p.Peer)
		}
	}
}

// Peers returns the live peers by name.
func (n *Node) Peers() map[string]Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Peer, len(n.peers))
	for name, p := range n.peers {
		if !p.silent {
			out[name] = p.Peer
		}
	}
	return out
}

// expectedPeriod is how long an entry that was listed or named, and has sent nothing yet, counts as one
// that may exist. It allows for some round trips, a busy processor and a lost message.
const expectedPeriod = 2 * time.Second

// Expected returns the entries that were listed or named less than expectedPeriod ago and have sent
// nothing yet.
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

// isExpected reports whether Expected returns a peer. The caller must hold n.mu.
func (n *Node) isExpected(p *peer, now time.Time) bool {
	return p.silent && p.hasEntry && p.Heard.IsZero() && now.Sub(p.addedAt) < expectedPeriod
}

// group returns the group of a peer. Peers of the own zone are near. If this entry is a delegate, all
// other delegates are near too. A peer whose zone is not known yet is far. The caller must hold n.mu.
func (n *Node) group(p *peer) group {
	if p.State.Zone != "" && p.State.Zone == n.settings.Zone || n.delegate && p.delegate {
		return near
	}
	return far
}

// groupSizes returns the number of peers in each group.
func (n *Node) groupSizes() [groups]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sizes
}

// countGroups updates the number of peers in each group. The caller must hold n.mu.
func (n *Node) countGroups() {
	n.sizes = [groups]int{}
	for _, p := range n.peers {
		if !p.unverified {
			n.sizes[n.group(p)]++
		}
	}
}
