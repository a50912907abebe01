package gossip

import (
	"context"
	"net"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/guard"
	"github.com/sparshore/sparshore/internal/roster"
)

// send sends the own state to the peers of some groups.
func (n *Node) send(to ...group) {
	n.sendTo(func(_ string, p *peer) bool { return !p.named && slices.Contains(to, n.group(p)) })
}

// greetSoon sends the own state to one entry at once: one that appears needs the state of each
// other one, and they need no more than its own. It needs the lock.
func (n *Node) greetSoon(name string) {
	n.greet[name] = true
	ask(n.greeting)
}

// sendGreetings sends the own state to those that are due to be greeted.
func (n *Node) sendGreetings() {
	n.mu.Lock()
	greet := n.greet
	n.greet = map[string]bool{}
	n.mu.Unlock()
	n.sendTo(func(name string, _ *peer) bool { return greet[name] })
}

// sendTo sends the own state to the peers that are chosen.
func (n *Node) sendTo(chosen func(name string, p *peer) bool) {
	s := n.collect()
	now := n.now()
	version, body, err := encodeBody(n.settings, s, now.Sub(n.start), now)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return
	}
	told := n.limits.Round(n.entries)
	n.mu.Lock()
	defer n.mu.Unlock()
	if now.Sub(n.markedAt) >= n.settings.Every {
		n.markDelegates(now)
	}
	for name, p := range n.peers {
		if !p.lost && now.Sub(p.Heard) > n.silenceToForget(p) {
			n.lose(name, p, now)
		}
		if !chosen(name, p) {
			continue
		}
		n.write(p, version, body, now)
		if m, ok := told[name]; ok {
			n.writeLimits(p, m, now)
		}
	}
}

// write sends a body to a peer. It needs the lock.
func (n *Node) write(p *peer, version int, body []byte, now time.Time) {
	b, err := encode(version, echo{Sent: p.echo, Life: p.life, HeldUS: now.Sub(p.Heard).Microseconds()}, body)
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	// A datagram that cannot be sent is as good as a lost one; the peer's silence is what
	// is noted.
	_, _ = n.conn.WriteTo(b, p.addr)
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
	if err := guard.Do(func() error { return n.read(b, addr) }); err != nil {
		n.reject(addr, err)
	}
}

// read reads a datagram and takes over what it tells.
func (n *Node) read(b []byte, addr net.Addr) error {
	d, err := decodeDatagram(b)
	if err != nil {
		return err
	}
	switch d.Format {
	case formatLimits:
		return n.takeLimits(d)
	case formatMembers:
		return n.takeMembers(d)
	case formatBundle:
		return n.takeBundle(d, addr)
	}
	m, err := decodeState(d)
	if err != nil {
		return err
	}
	n.take(m, addr)
	return nil
}

// take stores a peer's state. Its confirmation holds for the time of the echo,
// less the age that the peer gave: both bounds lie on the safe side.
func (n *Node) take(m message, addr net.Addr) {
	now := n.now()
	s := m.state(now)
	if m.body.AgeMS >= 0 && n.echoed(m) {
		s.Confirmed = n.start.Add(time.Duration(m.echo.Sent) - time.Duration(m.body.AgeMS)*time.Millisecond)
	}
	if n.echoed(m) {
		s.HeardUs = n.start.Add(time.Duration(m.echo.Sent))
	}
	if n.keep(m, s, addr, now) {
		n.heard(m.body.From, s)
	}
}

// keep takes over a peer's state, unless a newer one came before.
func (n *Node) keep(m message, s State, addr net.Addr, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.body.From]
	if !ok {
		p = &peer{lost: true}
		p.resize(m.body.From, roster.Size{})
		n.peers[m.body.From] = p
	}
	appeared := p.lost
	if appeared {
		n.rec.Note(events.EntryHeard, "", "peer", m.body.From, "routes", m.body.Routes)
		n.greetSoon(m.body.From)
	}
	first := n.sizes == [groups]int{}
	n.measure(m, p, now)
	overtaken := m.body.Life == p.life && m.body.Sent < p.newest
	p.lost, p.doubted, p.named, p.addr, p.Address, p.Heard, p.echo, p.life = false, false, false, addr, addr.String(), now, m.body.Sent, m.body.Life
	if !overtaken {
		p.State, p.newest = s, m.body.Sent
	}
	if appeared {
		n.count()
	}
	if appeared && first {
		// It may know of many others, which an entry that starts has to.
		n.writeMembers(p, membersBody{From: n.settings.Name, Sum: n.sum(), Marks: n.marks()})
	}
	return !overtaken
}

// echoed reports whether a message tells which one of this process its sender had last.
func (n *Node) echoed(m message) bool {
	return m.echo.Sent > 0 && m.echo.Life == n.settings.Life
}
