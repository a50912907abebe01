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

// recipient is a peer that gets a message, with the peer's latest message, which is echoed.
type recipient struct {
	addr net.Addr
	// sent and incarnation identify the message to echo, and heard is when it arrived.
	sent        int64
	incarnation string
	heard       time.Time
}

// recipient returns the peer as the recipient of a message. The caller must hold n.mu.
func (p *peer) recipient() recipient {
	return recipient{addr: p.addr, sent: p.echoSent, incarnation: p.incarnation, heard: p.Heard}
}

// sendTo sends the own state, and limit messages where there are any, to the peers for which include
// returns true. The messages to echo are taken before the state: otherwise the state might be older than
// a message that it echoes, and the receiver would take it for more recent than it is.
func (n *Node) sendTo(include func(name string, p *peer) bool) {
	to := n.recipients(include)
	s := n.collect()
	now := n.now()
	version, body, err := encodeBody(n.settings, s, now.Sub(n.start), now)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return
	}
	limitMessages := n.limits.Round(n.limitEntries)
	for name, r := range to {
		n.write(r, version, body, now)
		if m, ok := limitMessages[name]; ok {
			n.writeEncoded(r, formatLimits, limitsBody{From: n.settings.Name, Message: m}, now)
		}
	}
}

// recipients returns the peers for which include returns true, by name. It also marks the peers as silent whose
// silence timeout has passed.
func (n *Node) recipients(include func(name string, p *peer) bool) map[string]recipient {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	if now.Sub(n.delegatesUpdated) >= n.settings.Interval {
		n.updateDelegates(now)
	}
	out := map[string]recipient{}
	for name, p := range n.peers {
		if !p.silent && now.Sub(p.Heard) > n.silenceTimeout(p) {
			n.markSilent(name, p, now)
		}
		if include(name, p) {
			out[name] = p.recipient()
		}
	}
	return out
}

// write sends a body that was encoded at the given time.
func (n *Node) write(to recipient, version int, body []byte, at time.Time) {
	b, err := encodeDatagram(version, echo{Sent: to.sent, Life: to.incarnation, HeldUS: at.Sub(to.heard).Microseconds()}, body)
	if err != nil {
		n.reject(to.addr, err)
		return
	}
	// A datagram that cannot be sent is treated like a lost one: if it lasts, the peer becomes silent,
	// and that is recorded.
	_, _ = n.conn.WriteTo(b, to.addr)
}

// writeEncoded encodes a body, whose ages are as of the given time, and sends it.
func (n *Node) writeEncoded(to recipient, version int, body any, at time.Time) {
	b, err := cbor.Marshal(body)
	if err != nil {
		n.reject(to.addr, err)
		return
	}
	n.write(to, version, b, at)
}

// writeTo sends a body, whose ages are as of the given time, to a peer by its name, if its address is known.
func (n *Node) writeTo(name string, version int, body any, at time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p, ok := n.peers[name]; ok && p.addr != nil {
		n.writeEncoded(p.recipient(), version, body, at)
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
// computed as the earliest time at which the state can have been encoded, less the age that the peer
// reports. So the routes may look older than they are, but never newer.
func (n *Node) receiveState(m message, addr net.Addr) {
	now := n.now()
	s := m.state(now)
	if encoded := n.encodedNotBefore(m.echo); m.body.AgeMS >= 0 && !encoded.IsZero() {
		s.Confirmed = encoded.Add(-time.Duration(min(m.body.AgeMS, maxAgeMS)) * time.Millisecond)
	}
	if n.echoesOwn(m) {
		s.LastReceived = n.start.Add(time.Duration(m.echo.Sent))
	}
	if n.storeState(m, s, addr, now) {
		n.received(m.body.From, s)
	}
}

// maxAgeMS bounds an age that another entry states, in milliseconds, so that no time overflows.
const maxAgeMS = int64(time.Hour / time.Millisecond)

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
