package gossip

import (
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
)

// limitsBody is what an entry tells of limited upstreams. It goes in datagrams of its own, so
// that states do not grow and entries of the release before understand them.
type limitsBody struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Message limits.Message
}

// Send sends a message about limited upstreams to a peer. Like any datagram it may be lost.
func (n *Node) Send(to string, m limits.Message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[to]; ok && p.addr != nil {
		n.writeLimits(p, m, n.now())
	}
}

// writeLimits writes a message about limited upstreams to a peer. It needs the lock.
func (n *Node) writeLimits(p *peer, m limits.Message, now time.Time) {
	body, err := cbor.Marshal(limitsBody{From: n.settings.Name, Message: m})
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	n.write(p, formatLimits, body, now)
}

// entries returns all peers, heard or not.
func (n *Node) entries() []limits.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]limits.Entry, 0, len(n.peers))
	for name, p := range n.peers {
		out = append(out, entryOf(name, p))
	}
	return out
}

func entryOf(name string, p *peer) limits.Entry {
	return limits.Entry{Name: name, Life: p.life, Stops: !p.State.StopBy.IsZero()}
}

// Heard returns the peers that are heard, also lately.
func (n *Node) Heard() []limits.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	silence, now := n.silence(), n.now()
	var out []limits.Entry
	for name, p := range n.peers {
		if !p.lost && now.Sub(p.Heard) <= silence {
			out = append(out, entryOf(name, p))
		}
	}
	return out
}

// takeLimits takes over what a peer tells of limited upstreams.
func (n *Node) takeLimits(d datagram) error {
	var b limitsBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: limits: %v", ErrMessage, err)
	}
	if b.From == "" || b.From == n.settings.Name {
		return fmt.Errorf("%w: no other sender", ErrMessage)
	}
	n.limits.Hear(b.From, b.Message, n.sentNotBefore(d.Echo))
	return nil
}

// sentNotBefore returns a time before which a datagram with an echo was not sent; zero if the
// echo does not tell.
func (n *Node) sentNotBefore(e echo) time.Time {
	if e.Sent <= 0 || e.Life != n.settings.Life || e.HeldUS < 0 {
		return time.Time{}
	}
	at := n.start.Add(time.Duration(e.Sent) + time.Duration(e.HeldUS)*time.Microsecond)
	if now := n.now(); at.After(now) {
		// Steady clocks do not run alike to the microsecond.
		return now
	}
	return at
}

// reject notes a datagram that cannot be used.
func (n *Node) reject(addr net.Addr, err error) {
	n.rec.Note(events.GossipRejected, "", "peer", addr, "error", err)
}
