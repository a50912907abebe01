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

// Entries find those that the list of entries did not show them through each other: each
// compares, at times, with one that it draws, which entries both hear.

const (
	// compareEach is the mean time between two comparisons of an entry.
	compareEach = time.Second
	// mostMembers bounds the entries that one message names, some 60 bytes each, so that it fits
	// in a datagram; of more, each message names others.
	mostMembers = 500
	// mostNamed bounds the entries that others named and that have not been heard yet: a peer that
	// claims many takes no memory, and makes this entry speak to few.
	mostNamed = 2048
	// longestName bounds the names in bytes.
	longestName = 128
)

// membersBody tells which entries the sender hears, itself included.
type membersBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Sum is of the entries. To who told another sum their marks are told, and to who told marks
	// the entries that lack in them.
	Sum     uint64
	Marks   []uint32
	Entries []wireEntry
	// Asks wants to be told the entries that lack in the marks, and marks in return.
	Asks bool
}

// wireEntry is a roster.Entry.
type wireEntry struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Address string
	Relay   string
	Zone    string
	// MilliCores and LinkMbps are the size of its machine.
	MilliCores int64
	LinkMbps   int64
}

func wireOf(name string, e roster.Entry) wireEntry {
	return wireEntry{Name: name, Address: e.Address, Relay: e.Relay, Zone: e.Zone, MilliCores: e.Size.MilliCores(), LinkMbps: int64(e.Size.LinkMbps)}
}

func (e wireEntry) entry() roster.Entry {
	return roster.Entry{Address: e.Address, Relay: e.Relay, Zone: e.Zone, Size: roster.NewSize(float64(e.MilliCores)/roster.Milli, float64(e.LinkMbps))}
}

// compareMembers compares with one peer after another until ctx ends.
func (n *Node) compareMembers(ctx context.Context) {
	for {
		t := time.NewTimer(compareEach/2 + rand.N(compareEach))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			n.compare()
		}
	}
}

// compare tells a peer that is drawn the sum of the names, and sees to those that others named.
func (n *Node) compare() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tryNamed(n.now())
	if p := n.draw(); p != nil {
		n.writeMembers(p, membersBody{From: n.settings.Name, Sum: n.sum()})
	}
}

// draw draws a peer that is heard; nil if there is none. It needs the lock.
func (n *Node) draw() *peer {
	var drawn *peer
	heard := 0
	for _, p := range n.peers {
		if p.lost {
			continue
		}
		heard++
		if rand.N(heard) == 0 {
			drawn = p
		}
	}
	return drawn
}

// sum is the same at entries that hear the same ones and know the same of their machines,
// whatever the order. It needs the lock.
func (n *Node) sum() uint64 {
	sum := markOf(n.settings.Name, n.settings.Entry.Size)
	for _, p := range n.peers {
		if !p.lost {
			sum ^= p.mark
		}
	}
	return sum
}

// marks are those of the entries that are heard, and of this one, in 32 bits. It needs the lock.
func (n *Node) marks() []uint32 {
	out := []uint32{uint32(markOf(n.settings.Name, n.settings.Entry.Size))}
	for _, p := range n.peers {
		if !p.lost {
			out = append(out, uint32(p.mark))
		}
	}
	return out
}

// markOf tells entries apart, and what is known of their machines.
func markOf(name string, size roster.Size) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d %.0f", name, size.MilliCores(), size.LinkMbps)
	return h.Sum64()
}

// members names the entries that are heard, and this one, as far as they lack in marks. Those that
// the list of entries showed a moment ago are named as well: entries that start together learn of
// each other by the first that reads it. It needs the lock.
func (n *Node) members(marks []uint32) []wireEntry {
	there := make(map[uint32]bool, len(marks))
	for _, m := range marks {
		there[m] = true
	}
	var out []wireEntry
	if own := markOf(n.settings.Name, n.settings.Entry.Size); !there[uint32(own)] {
		out = append(out, wireOf(n.settings.Name, n.settings.Entry))
	}
	now := n.now()
	for name, p := range n.peers {
		switch {
		case there[uint32(p.mark)] || len(out) >= mostMembers:
		case !p.lost:
			out = append(out, wireOf(name, roster.Entry{Address: p.Address, Relay: p.State.Relay, Zone: p.State.Zone, Size: p.Size}))
		case !p.named && n.isExpected(p, now):
			out = append(out, wireOf(name, p.entry))
		}
	}
	return out
}

// takeMembers takes over which entries a peer hears.
func (n *Node) takeMembers(d datagram) error {
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
	n.learn(b.Entries)
	answer := membersBody{From: n.settings.Name, Sum: n.sum()}
	switch {
	case len(b.Marks) > 0:
		if answer.Entries = n.members(b.Marks); b.Asks {
			answer.Marks = n.marks()
		}
		if len(answer.Entries) == 0 && len(answer.Marks) == 0 {
			return nil
		}
	case len(b.Entries) == 0 && b.Sum != answer.Sum:
		answer.Marks, answer.Asks = n.marks(), true
	default:
		return nil
	}
	n.writeMembers(p, answer)
	return nil
}

// learn takes over entries that a peer names, as far as they are not known. Only what such an
// entry says itself shows that it is there. It needs the lock.
func (n *Node) learn(named []wireEntry) {
	pending := n.pending()
	for _, e := range named[:min(len(named), mostMembers)] {
		p, known := n.peers[e.Name]
		switch {
		case e.Name == "" || len(e.Name) > longestName || e.Name == n.settings.Name || !addressable(e.Address):
		case !known && pending < mostNamed:
			n.know(e.Name, e.entry(), true)
			pending++
		case known && p.Size == roster.Size{}:
			p.resize(e.Name, e.entry().Size)
		}
	}
	n.count()
}

// pending is the number of entries that others named and that are not heard. It needs the lock.
func (n *Node) pending() (pending int) {
	for _, p := range n.peers {
		if p.named {
			pending++
		}
	}
	return pending
}

// tryNamed speaks again to the entries that others named, and forgets those that do not answer. It
// needs the lock.
func (n *Node) tryNamed(now time.Time) {
	for name, p := range n.peers {
		switch {
		case !p.named:
		case now.Sub(p.listed) > expectedFor:
			delete(n.peers, name)
		default:
			n.greetSoon(name)
		}
	}
}

// addressable reports whether datagrams can be sent to an address; names are not looked up.
func addressable(address string) bool {
	a, err := netip.ParseAddrPort(address)
	return err == nil && a.Port() != 0 && a.Addr().Is4()
}

// writeMembers tells a peer which entries are heard. It needs the lock.
func (n *Node) writeMembers(p *peer, b membersBody) {
	body, err := cbor.Marshal(b)
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	n.write(p, formatMembers, body, n.now())
}
