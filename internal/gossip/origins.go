package gossip

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/origin"
)

// originBody is a message about the software versions that began streams.
type originBody struct {
	_       struct{} `cbor:",toarray"`
	From    string
	Message origin.Message
}

// SendOrigins sends a message about the origins of streams to a peer. Like any datagram it may be lost.
func (n *Node) SendOrigins(to string, m origin.Message) {
	n.writeTo(to, formatOrigins, originBody{From: n.settings.Name, Message: m}, n.now())
}

// LivePeerNames returns the names of the live peers.
func (n *Node) LivePeerNames() []string { return n.peerNames(func(p *peer) bool { return !p.silent }) }

// PeerNames returns the names of all peers that are listed or have sent a message.
func (n *Node) PeerNames() []string { return n.peerNames(func(p *peer) bool { return !p.unverified }) }

func (n *Node) peerNames(include func(p *peer) bool) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]string, 0, len(n.peers))
	for name, p := range n.peers {
		if include(p) {
			out = append(out, name)
		}
	}
	return out
}

// receiveOrigins passes a peer's message about the origins of streams to the Set.
func (n *Node) receiveOrigins(d datagram) error {
	var b originBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: origins: %v", ErrMessage, err)
	}
	if b.From == "" || b.From == n.settings.Name {
		return fmt.Errorf("%w: the sender is missing or is this entry", ErrMessage)
	}
	n.origins.Receive(b.From, b.Message)
	return nil
}
