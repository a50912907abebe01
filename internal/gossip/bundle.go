package gossip

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// bundleBody is the body of a message with forwarded states and reports of silent entries.
type bundleBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Part is the hop that the message travels: toOwnDelegates, toOtherDelegates or toZone.
	Part   int
	States []wireState
	// Silent lists entries of a zone from which a delegate of that zone receives no messages any more.
	Silent []wireSilent
}

// wireSilent identifies the incarnation of an entry that is reported silent.
type wireSilent struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Life string
}

// wireState is a forwarded state, in the encoding of the entry that sent it first.
type wireState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	// HeldUS is the age of the state in microseconds, without the transit times of the messages.
	HeldUS int64
	Body   cbor.RawMessage
}

// stateUpdate is an encoded state that is to be forwarded.
type stateUpdate struct {
	version int
	body    []byte
	// made is a monotonic time at or after the moment at which the state was made.
	made time.Time
}

// outbox holds what this entry forwards next to its own zone and to the delegates of other zones.
type outbox struct {
	zone, otherDelegates batch
}

// batch holds the newest state of each entry and the entries that became silent, by name.
type batch struct {
	states map[string]stateUpdate
	silent map[string]wireSilent
}

func newBatch() batch {
	return batch{states: map[string]stateUpdate{}, silent: map[string]wireSilent{}}
}

func newOutbox() outbox { return outbox{zone: newBatch(), otherDelegates: newBatch()} }

func (p batch) empty() bool { return len(p.states) == 0 && len(p.silent) == 0 }

// toWire returns the update as a message that is sent at now carries it.
func (w stateUpdate) toWire(now time.Time) wireState {
	return wireState{Version: w.version, HeldUS: now.Sub(w.made).Microseconds(), Body: w.body}
}

// writeBundles sends a batch to a peer, split into messages of about maxBundleBytes, and returns their
// number. The caller must hold n.mu.
func (n *Node) writeBundles(p *peer, hop int, content batch, now time.Time) (messages int) {
	if content.empty() {
		return 0
	}
	b := bundleBody{Part: hop, Silent: slices.Collect(maps.Values(content.silent))}
	size := 0
	for _, update := range content.states {
		if size > 0 && size+len(update.body) > maxBundleBytes {
			n.writeBundle(p, b, now)
			messages++
			b, size = bundleBody{Part: hop}, 0
		}
		b.States = append(b.States, update.toWire(now))
		size += len(update.body)
	}
	n.writeBundle(p, b, now)
	return messages + 1
}

// writeBundle sends a bundle to a peer. The caller must hold n.mu.
func (n *Node) writeBundle(p *peer, b bundleBody, now time.Time) {
	b.From = n.settings.Name
	n.writeEncoded(p.recipient(), formatBundle, b, now)
}

// receiveBundle stores the forwarded states of a bundle and forwards those that are new.
func (n *Node) receiveBundle(d datagram, addr net.Addr) error {
	var b bundleBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: bundle: %v", ErrMessage, err)
	}
	now := n.now()
	for _, s := range b.States {
		m, err := decodeState(datagram{Format: s.Version, Body: s.Body})
		if err != nil {
			n.reject(addr, err)
			continue
		}
		held := time.Duration(s.HeldUS) * time.Microsecond
		if held < 0 || held > maxForwardAge {
			n.reject(addr, fmt.Errorf("%w: forwarded state of %s has invalid age %s", ErrMessage, m.body.From, held))
			continue
		}
		n.receiveForwarded(m, b.Part, stateUpdate{version: s.Version, body: s.Body, made: now.Add(-held)})
	}
	n.receiveSilent(b)
	return nil
}

// receiveForwarded stores one forwarded state, or notes that a delegate has forwarded the own state.
func (n *Node) receiveForwarded(m message, hop int, update stateUpdate) {
	if m.body.From == n.settings.Name {
		n.noteOwnForwarded(m)
		return
	}
	s, newer := n.storeForwarded(m, hop, update)
	if newer {
		n.received(m.body.From, s)
	}
}

// noteOwnForwarded records that the own state came back from a delegate, and after which time.
func (n *Node) noteOwnForwarded(m message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.body.Life == n.settings.Incarnation && m.body.Sent > n.ownForwarded {
		n.ownForwarded, n.forwardLag = m.body.Sent, n.now().Sub(n.start)-time.Duration(m.body.Sent)
	}
}

// storeForwarded stores a forwarded state if it is newer than the stored one of its entry, and queues
// it for the next hop. Routes, Confirmed and LastReceived keep their values: only a datagram that comes
// from the entry itself proves the age of its routes and when it last received a message of this one.
func (n *Node) storeForwarded(m message, hop int, update stateUpdate) (s State, newer bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.body.From]
	if !ok || p.silent || p.incarnation != m.body.Life || m.body.Sent <= p.newestSent || n.isFromFuture(p, m.body.Sent) {
		return State{}, false
	}
	s = m.state(update.made)
	s.Routes, s.Confirmed, s.LastReceived = p.State.Routes, p.State.Confirmed, p.State.LastReceived
	p.State, p.newestSent = s, m.body.Sent
	if hop == toZone {
		return s, true
	}
	n.outbox.zone.states[m.body.From] = update
	if hop == toOwnDelegates {
		n.outbox.otherDelegates.states[m.body.From] = update
	}
	signal(n.forwardDue)
	return s, true
}

// isFromFuture reports whether the clock of an entry cannot have reached a time yet. Storing a state
// with such a time would make all later states of the entry look outdated. The caller must hold n.mu.
func (n *Node) isFromFuture(p *peer, sent int64) bool {
	return time.Duration(sent-p.echoSent) > n.now().Sub(p.Heard)+clockSlack
}
