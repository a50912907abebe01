package gossip

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/roster"
)

// An entry may miss others in the list of entries, for instance those that started at the same time.
// Anti-entropy closes the gap: at intervals each entry compares the set of its live entries with that
// of a peer picked at random, and both exchange what the other one lacks.

const (
	// compareInterval is the mean time between two comparisons that an entry starts.
	compareInterval = time.Second
	// maxMembers bounds the entries in one message, of about 60 bytes each, so that it fits in a
	// datagram. If more are missing, each message names a different selection.
	maxMembers = 500
	// maxUnverified bounds the unverified entries, so that a peer which names many nonexistent
	// entries can neither exhaust the memory of this entry nor make it send to many addresses.
	maxUnverified = 2048
	// maxNameBytes bounds the length of the name of an entry.
	maxNameBytes = 128
)

// membersBody describes the entries that are live for the sender, itself included.
type membersBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Sum is the checksum of the entries. A receiver with a different checksum replies with Marks,
	// the digests of its entries. A receiver of Marks replies with the Entries that are missing there.
	Sum     uint64
	Marks   []uint32
	Entries []wireEntry
	// Asks requests the receiver's digests too, in addition to the entries that Marks lacks.
	Asks bool
}

// wireEntry is the encoding of a roster.Entry with its name.
type wireEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address string
	Relay   string
	Zone    string
	// MilliCores and LinkMbps are the capacity of its machine.
	MilliCores int64
	LinkMbps   int64
}

func newWireEntry(name string, e roster.Entry) wireEntry {
	return wireEntry{Name: name, Address: e.Address, Relay: e.Relay, Zone: e.Zone, MilliCores: e.Size.MilliCores(), LinkMbps: int64(e.Size.LinkMbps)}
}

func (e wireEntry) entry() roster.Entry {
	return roster.Entry{Address: e.Address, Relay: e.Relay, Zone: e.Zone, Size: roster.NewSize(float64(e.MilliCores)/roster.Milli, float64(e.LinkMbps))}
}

// compareMembers starts a comparison about once per compareInterval, with jitter, until ctx is done.
func (n *Node) compareMembers(ctx context.Context) {
	for {
		t := time.NewTimer(compareInterval/2 + rand.N(compareInterval))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			n.compare()
		}
	}
}

// compare sends the checksum to a random peer, and retries or drops the unverified entries.
func (n *Node) compare() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.retryUnverified(n.now())
	if p := n.randomPeer(); p != nil {
		n.writeMembers(p, membersBody{From: n.settings.Name, Sum: n.checksum()})
	}
}

// randomPeer returns a live peer, picked uniformly, or nil if there is none. The caller must hold n.mu.
func (n *Node) randomPeer() *peer {
	var picked *peer
	live := 0
	for _, p := range n.peers {
		if p.silent {
			continue
		}
		live++
		if rand.N(live) == 0 {
			picked = p
		}
	}
	return picked
}

// checksum returns the XOR of the digests of this entry and its live peers. It is equal for two entries
// with the same live entries and the same machine sizes. The caller must hold n.mu.
func (n *Node) checksum() uint64 {
	sum := digestOf(n.settings.Name, n.settings.Entry.Size)
	for _, p := range n.peers {
		if !p.silent {
			sum ^= p.digest
		}
	}
	return sum
}

// digests returns the digests of this entry and its live peers, cut to 32 bits. The caller must hold
// n.mu.
func (n *Node) digests() []uint32 {
	out := []uint32{uint32(digestOf(n.settings.Name, n.settings.Entry.Size))}
	for _, p := range n.peers {
		if !p.silent {
			out = append(out, uint32(p.digest))
		}
	}
	return out
}

// digestOf returns a hash of an entry's name and the size of its machine.
func digestOf(name string, size roster.Size) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d %.0f", name, size.MilliCores(), size.LinkMbps)
	return h.Sum64()
}

// missingMembers returns this entry and its live peers, as far as their digests are not among the given
// ones. It adds entries that were listed a moment ago and are still expected: entries that start
// together then find each other as soon as one of them has read the list. The caller must hold n.mu.
func (n *Node) missingMembers(digests []uint32) []wireEntry {
	present := make(map[uint32]bool, len(digests))
	for _, m := range digests {
		present[m] = true
	}
	var out []wireEntry
	if own := digestOf(n.settings.Name, n.settings.Entry.Size); !present[uint32(own)] {
		out = append(out, newWireEntry(n.settings.Name, n.settings.Entry))
	}
	now := n.now()
	for name, p := range n.peers {
		switch {
		case present[uint32(p.digest)] || len(out) >= maxMembers:
		case !p.silent:
			out = append(out, newWireEntry(name, roster.Entry{Address: p.Address, Relay: p.State.Relay, Zone: p.State.Zone, Size: p.Size}))
		case !p.unverified && n.isExpected(p, now):
			out = append(out, newWireEntry(name, p.entry))
		}
	}
	return out
}

// receiveMembers adds the entries that a peer names and replies with what the peer lacks.
func (n *Node) receiveMembers(d datagram) error {
	var b membersBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: members: %v", ErrMessage, err)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[b.From]
	if !ok {
		return nil
	}
	n.addNamed(b.Entries)
	reply := membersBody{From: n.settings.Name, Sum: n.checksum()}
	switch {
	case len(b.Marks) > 0:
		if reply.Entries = n.missingMembers(b.Marks); b.Asks {
			reply.Marks = n.digests()
		}
		if len(reply.Entries) == 0 && len(reply.Marks) == 0 {
			return nil
		}
	case len(b.Entries) == 0 && b.Sum != reply.Sum:
		reply.Marks, reply.Asks = n.digests(), true
	default:
		return nil
	}
	n.writeMembers(p, reply)
	return nil
}

// addNamed adds the unknown entries that a peer names as unverified: only a message from an entry
// itself proves that it exists. It also fills in machine sizes that are not known. The caller must hold
// n.mu.
func (n *Node) addNamed(named []wireEntry) {
	pending := n.unverifiedCount()
	for _, e := range named[:min(len(named), maxMembers)] {
		p, known := n.peers[e.Name]
		switch {
		case e.Name == "" || len(e.Name) > maxNameBytes || e.Name == n.settings.Name || !addressable(e.Address):
		case !known && pending < maxUnverified:
			n.addEntry(e.Name, e.entry(), true)
			pending++
		case known && p.Size == roster.Size{}:
			p.setSize(e.Name, e.entry().Size)
		}
	}
	n.countGroups()
}

// unverifiedCount returns the number of unverified entries. The caller must hold n.mu.
func (n *Node) unverifiedCount() (count int) {
	for _, p := range n.peers {
		if p.unverified {
			count++
		}
	}
	return count
}

// retryUnverified sends the own state to the unverified entries again, and drops those that have sent
// nothing within expectedPeriod. The caller must hold n.mu.
func (n *Node) retryUnverified(now time.Time) {
	for name, p := range n.peers {
		switch {
		case !p.unverified:
		case now.Sub(p.addedAt) > expectedPeriod:
			delete(n.peers, name)
		default:
			n.greetSoon(name)
		}
	}
}

// addressable reports whether an address is an IPv4 address with a port. Host names are not resolved.
func addressable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && a.Addr().Is4()
}

// writeMembers sends a membersBody to a peer. The caller must hold n.mu.
func (n *Node) writeMembers(p *peer, b membersBody) {
	n.writeEncoded(p.recipient(), formatMembers, b, n.now())
}
