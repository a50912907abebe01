package gossip

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// bundleBody holds states that are passed on.
type bundleBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Part is the part of the way that the message goes.
	Part   int
	States []wireState
	// Silent are entries of the sender's zone that its delegate does not hear any more.
	Silent []wireSilent
}

// wireSilent is an entry that is not heard.
type wireSilent struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Life string
}

// wireState is the body of a message with a state, as its entry encoded it.
type wireState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	// HeldUS is the time since the entry made it, without the ways, in microseconds.
	HeldUS int64
	Body   cbor.RawMessage
}

// news is a state on its way.
type news struct {
	version int
	body    []byte
	// made is a steady time that is not before the moment at which the state was made.
	made time.Time
}

// outbox holds what is to be passed on to the own zone and to the delegates of others: the newest
// state of each entry, and the entries that fell silent.
type outbox struct {
	zone, others parcel
}

// parcel is what is passed on to some entries, by name.
type parcel struct {
	states map[string]news
	silent map[string]wireSilent
}

func newParcel() parcel { return parcel{states: map[string]news{}, silent: map[string]wireSilent{}} }

func newOutbox() outbox { return outbox{zone: newParcel(), others: newParcel()} }

func (p parcel) empty() bool { return len(p.states) == 0 && len(p.silent) == 0 }

// wire is the news as it is sent now.
func (w news) wire(now time.Time) wireState {
	return wireState{Version: w.version, HeldUS: now.Sub(w.made).Microseconds(), Body: w.body}
}

// writeBundles sends a parcel to a peer in as many messages as it needs. It needs the lock.
func (n *Node) writeBundles(p *peer, part int, all parcel, now time.Time) (messages int) {
	if all.empty() {
		return 0
	}
	b := bundleBody{Part: part, Silent: slices.Collect(maps.Values(all.silent))}
	size := 0
	for _, one := range all.states {
		if size > 0 && size+len(one.body) > mostBundle {
			n.writeBundle(p, b, now)
			messages++
			b, size = bundleBody{Part: part}, 0
		}
		b.States = append(b.States, one.wire(now))
		size += len(one.body)
	}
	n.writeBundle(p, b, now)
	return messages + 1
}

// writeBundle sends a bundle to a peer. It needs the lock.
func (n *Node) writeBundle(p *peer, b bundleBody, now time.Time) {
	b.From = n.settings.Name
	body, err := cbor.Marshal(b)
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	n.write(p, formatBundle, body, now)
}

// takeBundle takes over states that were passed on, and passes on those that are new.
func (n *Node) takeBundle(d datagram, addr net.Addr) error {
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
		if held < 0 || held > mostHeld {
			n.reject(addr, fmt.Errorf("%w: a state of %s was held for %s", ErrMessage, m.body.From, held))
			continue
		}
		n.takePassed(m, b.Part, news{version: s.Version, body: s.Body, made: now.Add(-held)})
	}
	n.takeSilent(b)
	return nil
}

// takePassed takes over one state that was passed on.
func (n *Node) takePassed(m message, part int, one news) {
	if m.body.From == n.settings.Name {
		n.heardOwn(m)
		return
	}
	s, fresh := n.freshState(m, part, one)
	if fresh {
		n.heard(m.body.From, s)
	}
}

// heardOwn notes that a delegate has passed the own state on.
func (n *Node) heardOwn(m message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.body.Life == n.settings.Life && m.body.Sent > n.ownPassed {
		n.ownPassed, n.lag = m.body.Sent, n.now().Sub(n.start)-time.Duration(m.body.Sent)
	}
}

// freshState returns what a state tells that was passed on, if it is newer than what is known of
// its entry, and has it passed on. How old the routes of that entry are, and when it heard this
// one, is proved only by what it sends itself, so that is kept as it was.
func (n *Node) freshState(m message, part int, one news) (s State, fresh bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.body.From]
	if !ok || p.lost || p.life != m.body.Life || m.body.Sent <= p.newest || n.ahead(p, m.body.Sent) {
		return State{}, false
	}
	s = m.state(one.made)
	s.Routes, s.Confirmed, s.HeardUs = p.State.Routes, p.State.Confirmed, p.State.HeardUs
	p.State, p.newest = s, m.body.Sent
	if part == toZone {
		return s, true
	}
	n.out.zone.states[m.body.From] = one
	if part == toOwnDelegates {
		n.out.others.states[m.body.From] = one
	}
	ask(n.passing)
	return s, true
}

// ahead reports whether an entry cannot have sent anything yet at a time of its clock: a state of
// such a time would keep all later ones from being taken. It needs the lock.
func (n *Node) ahead(p *peer, sent int64) bool {
	return time.Duration(sent-p.echo) > n.now().Sub(p.Heard)+clockSlack
}
