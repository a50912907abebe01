package gossip

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/guard"
	"github.com/sparshore/sparshore/internal/roster"
)

// send sends the own state to the verified peers of some groups.
func (n *Node) send(to ...group) {
	n.sendTo(func(_ string, p *peer) bool { return !p.unverified && slices.Contains(to, n.group(p)) })
}

// greetSoon schedules a message with the own state to one entry. A new entry needs the state of every
// other entry, while the others need only the state of the new one. The caller must hold n.mu.
func (n *Node) greetSoon(name string) {
	n.greet[name] = true
	signal(n.greetDue)
}

// sendGreetings sends the own state to the entries that greetSoon scheduled.
func (n *Node) sendGreetings() {
	n.mu.Lock()
	greet := n.greet
	n.greet = map[string]bool{}
	n.mu.Unlock()
	n.sendTo(func(name string, _ *peer) bool { return greet[name] })
}

// sendTo sends the own state, and limit messages where there are any, to the peers for which include
// returns true. It also marks the peers as silent whose silence timeout has passed.
func (n *Node) sendTo(include func(name string, p *peer) bool) {
	s := n.collect()
	now := n.now()
	version, body, err := encodeBody(n.settings, s, now.Sub(n.start), now)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return
	}
	limitMessages := n.limits.Round(n.limitEntries)
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.delegatesUpdated) >= n.settings.Interval {
		n.updateDelegates(now)
	}
	for name, p := range n.peers {
		if !p.silent && now.Sub(p.Heard) > n.silenceTimeout(p) {
			n.markSilent(name, p, now)
		}
		if !include(name, p) {
			continue
		}
		n.write(p, version, body, now)
		if m, ok := limitMessages[name]; ok {
			n.writeLimits(p, m, now)
		}
	}
}

// write sends a body to a peer. The caller must hold n.mu.
func (n *Node) write(p *peer, version int, body []byte, now time.Time) {
	b, err := encodeDatagram(version, echo{Sent: p.echoSent, Life: p.incarnation, HeldUS: now.Sub(p.Heard).Microseconds()}, body)
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	// A datagram that cannot be sent is treated like a lost one: if it lasts, the peer becomes silent,
	// and that is recorded.
	_, _ = n.conn.WriteTo(b, p.addr)
}

// writeEncoded encodes a body and sends it to a peer. The caller must hold n.mu.
func (n *Node) writeEncoded(p *peer, version int, body any, now time.Time) {
	b, err := cbor.Marshal(body)
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	n.write(p, version, b, now)
}

// writeTo sends a body to a peer by its name, if its address is known.
func (n *Node) writeTo(name string, version int, body any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[name]; ok && p.addr != nil {
		n.writeEncoded(p, version, body, n.now())
	}
}

// maxDatagram is the largest datagram over IPv4 in bytes.
const maxDatagram = 65507

func (n *Node) receive(ctx context.Context) {
	b := make([]byte, maxDatagram)
	for ctx.Err() == nil {
		size, addr, err := n.conn.ReadFrom(b)
		if err != nil {
			continue
		}
		n.receiveDatagram(b[:size], addr)
	}
}

func (n *Node) receiveDatagram(b []byte, addr net.Addr) {
	if err := guard.Do(func() error { return n.handle(b, addr) }); err != nil {
		n.reject(addr, err)
	}
}

// handle decodes a datagram and dispatches it by format.
func (n *Node) handle(b []byte, addr net.Addr) error {
	d, err := decodeDatagram(b)
	if err != nil {
		return err
	}
	switch d.Format {
	case formatLimits:
		return n.receiveLimits(d)
	case formatMembers:
		return n.receiveMembers(d)
	case formatOrigins:
		return n.receiveOrigins(d)
	case formatBundle:
		return n.receiveBundle(d, addr)
	}
	m, err := decodeState(d)
	if err != nil {
		return err
	}
	n.receiveState(m, addr)
	return nil
}

// receiveState stores the state that a peer sent. The time at which the peer's routes were confirmed is
// computed as the send time of the echoed message, which is earlier than the reply, less the age that
// the peer reports. So the routes may look older than they are, but never newer.
func (n *Node) receiveState(m message, addr net.Addr) {
	now := n.now()
	s := m.state(now)
	if m.body.AgeMS >= 0 && n.echoesOwn(m) {
		s.Confirmed = n.start.Add(time.Duration(m.echo.Sent) - time.Duration(m.body.AgeMS)*time.Millisecond)
	}
	if n.echoesOwn(m) {
		s.LastReceived = n.start.Add(time.Duration(m.echo.Sent))
	}
	if n.storeState(m, s, addr, now) {
		n.received(m.body.From, s)
	}
}

// storeState stores a peer's state, unless a newer one is stored, and reports whether it did.
func (n *Node) storeState(m message, s State, addr net.Addr, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.body.From]
	if !ok {
		p = &peer{silent: true}
		p.setSize(m.body.From, roster.Size{})
		n.peers[m.body.From] = p
	}
	appeared := p.silent
	if appeared {
		n.rec.Note(events.EntryHeard, "", "peer", m.body.From, "routes", m.body.Routes)
		n.greetSoon(m.body.From)
	}
	firstPeer := n.sizes == [groups]int{}
	if m.echo.HeldUS < 0 {
		n.noteLateEcho(m, now)
	}
	n.measure(m, p, now)
	outdated := m.body.Life == p.incarnation && m.body.Sent < p.newestSent
	p.silent, p.reportedSilent, p.unverified, p.addr, p.Address, p.Heard, p.echoSent, p.incarnation = false, false, false, addr, addr.String(), now, m.body.Sent, m.body.Life
	if !outdated {
		p.State, p.newestSent = s, m.body.Sent
	}
	if appeared {
		n.countGroups()
	}
	if appeared && firstPeer {
		// This entry has just started and needs the peer's list of entries.
		n.writeMembers(p, membersBody{From: n.settings.Name, Sum: n.checksum(), Marks: n.digests()})
	}
	return !outdated
}

// lateEchoLogInterval is the least time between two log lines about states that echo a later message.
const lateEchoLogInterval = time.Second

// noteLateEcho records a state that echoes a message which arrived after the state was encoded. The caller
// must hold n.mu.
func (n *Node) noteLateEcho(m message, now time.Time) {
	n.stats.LateEchoes++
	if now.Sub(n.lateEchoLoggedAt) >= lateEchoLogInterval {
		n.lateEchoLoggedAt = now
		n.rec.Note(events.GossipLateEcho, "", "peer", m.body.From, "by", -time.Duration(m.echo.HeldUS)*time.Microsecond, "routes", m.body.Routes, "late-echoes", n.stats.LateEchoes)
	}
}

// echoesOwn reports whether a message echoes a message of this incarnation.
func (n *Node) echoesOwn(m message) bool {
	return m.echo.Sent > 0 && m.echo.Life == n.settings.Incarnation
}
