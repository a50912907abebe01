package gossip

import (
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
)

// limitsBody is what an entry tells of upstreams in need. It goes in datagrams of its own, so
// that states do not grow and entries of the release before understand them.
type limitsBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Life tells the starts of the sender apart.
	Life    string
	Message limits.Message
}

// encodeLimits encodes a message about upstreams in need.
func encodeLimits(settings Settings, m limits.Message) ([]byte, error) {
	return cbor.Marshal(limitsBody{From: settings.Name, Life: settings.Life, Message: m})
}

// Send sends a message about upstreams in need to a peer. Like any datagram it may be lost.
func (n *Node) Send(to string, m limits.Message) {
	body, err := encodeLimits(n.settings, m)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[to]; ok && p.addr != nil {
		n.write(p, formatLimits, body, n.now())
	}
}

// tell encodes what all, or those that have told nothing of limits, are to hear of upstreams in
// need; nil for nothing.
func (n *Node) tell(t limits.Telling, now time.Time) []byte {
	if !t.Some {
		return nil
	}
	body, err := encodeLimits(n.settings, t.Encode(now))
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return nil
	}
	return body
}

// heedful reports whether this start of a peer has told of limits.
func (p *peer) heedful() bool { return p.limitsLife != "" && p.limitsLife == p.life }

// Heedful returns the peers that are heard, also lately, that have told of limits, and that do
// not stop.
func (n *Node) Heedful() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	silence := n.silence()
	var out []string
	for name, p := range n.peers {
		if !p.lost && p.heedful() && p.State.StopBy.IsZero() && n.now().Sub(p.Heard) <= silence {
			out = append(out, name)
		}
	}
	return out
}

// Heard returns how many peers are heard, also lately.
func (n *Node) Heard() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	silence, heard := n.silence(), 0
	for _, p := range n.peers {
		if !p.lost && n.now().Sub(p.Heard) <= silence {
			heard++
		}
	}
	return heard
}

// takeLimits takes over what a peer tells of upstreams in need.
func (n *Node) takeLimits(d datagram) error {
	var b limitsBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: limits: %v", ErrMessage, err)
	}
	if b.From == "" || b.From == n.settings.Name {
		return fmt.Errorf("%w: no other sender", ErrMessage)
	}
	n.mu.Lock()
	if p, ok := n.peers[b.From]; ok {
		p.limitsLife = b.Life
	}
	n.mu.Unlock()
	n.limits(b.From, b.Message, n.sentNotBefore(d.Echo))
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
