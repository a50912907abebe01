package gossip

import (
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
)

// limitsBody is a message about rate limits of upstreams. It has a datagram of its own, so that state
// messages stay small and entries of the previous release can still decode them.
type limitsBody struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Message limits.Message
}

// Send sends a message about rate limits of upstreams, whose ages are as of the given time, to a peer. Like
// any datagram it may be lost.
func (n *Node) Send(to string, m limits.Message, at time.Time) {
	n.writeTo(to, formatLimits, limitsBody{From: n.settings.Name, Message: m}, at)
}

// limitEntries returns all peers, silent ones included.
func (n *Node) limitEntries() []limits.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]limits.Entry, 0, len(n.peers))
	for name, p := range n.peers {
		out = append(out, limitEntry(name, p))
	}
	return out
}

func limitEntry(name string, p *peer) limits.Entry {
	return limits.Entry{Name: name, Life: p.incarnation, Stops: !p.State.StopBy.IsZero()}
}

// LivePeers returns the live peers whose latest message is not older than staleAfter.
func (n *Node) LivePeers() []limits.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	staleAfter, now := n.staleAfter(), n.now()
	var out []limits.Entry
	for name, p := range n.peers {
		if !p.silent && now.Sub(p.Heard) <= staleAfter {
			out = append(out, limitEntry(name, p))
		}
	}
	return out
}

// receiveLimits passes a peer's message about rate limits to the Set.
func (n *Node) receiveLimits(d datagram) error {
	var b limitsBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: limits: %v", ErrMessage, err)
	}
	if b.From == "" || b.From == n.settings.Name {
		return fmt.Errorf("%w: the sender is missing or is this entry", ErrMessage)
	}
	n.limits.Receive(b.From, b.Message, n.encodedNotBefore(d.Echo))
	return nil
}

// maxHeldUS bounds how long an echoed message can have been held, in microseconds, so that no time
// overflows.
const maxHeldUS = int64(time.Hour / time.Microsecond)

// encodedNotBefore returns the earliest time at which the body of a datagram with this echo can have been
// encoded. That may be before the echoed message arrived: then HeldUS is negative. It is zero if the echo
// does not refer to a message of this incarnation.
func (n *Node) encodedNotBefore(e echo) time.Time {
	if e.Sent <= 0 || e.Life != n.settings.Incarnation || e.HeldUS < -maxHeldUS || e.HeldUS > maxHeldUS {
		return time.Time{}
	}
	at := n.start.Add(time.Duration(e.Sent) + time.Duration(e.HeldUS)*time.Microsecond)
	if now := n.now(); at.After(now) {
		// The monotonic clocks of two machines differ by microseconds.
		return now
	}
	return at
}

// reject records an invalid datagram, or a message that could not be encoded.
func (n *Node) reject(addr net.Addr, err error) {
	n.rec.Note(events.GossipRejected, "", "peer", addr, "error", err)
}
