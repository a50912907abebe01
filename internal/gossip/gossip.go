// Package gossip lets the entries of a deployment tell each other, by small
// datagrams some times a second, what each has sent to which upstream, which
// upstreams leave, and how old each one's route table is. Every message holds
// the whole state of its sender, so a lost one only costs freshness.
package gossip

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/guard"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// Load is what one entry has in flight at one upstream.
type Load struct {
	// Running counts requests.
	Running int
	// Tokens is the KV memory that they are expected to take, in tokens.
	Tokens int
	// Prefill is the part of the prompts not read yet, in tokens.
	Prefill int
	// Held is the KV memory that they take by now, prompts counted whole, in tokens.
	Held int
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{Running: l.Running + o.Running, Tokens: l.Tokens + o.Tokens, Prefill: l.Prefill + o.Prefill, Held: l.Held + o.Held}
}

// Sub returns the load without o.
func (l Load) Sub(o Load) Load {
	return Load{Running: l.Running - o.Running, Tokens: l.Tokens - o.Tokens, Prefill: l.Prefill - o.Prefill, Held: l.Held - o.Held}
}

// State is what an entry tells the others.
type State struct {
	// Zone is the availability zone it runs in.
	Zone string
	// Relay is the IP:port at which it passes on what the store told it.
	Relay string
	// Routes is the version of its route table.
	Routes routetable.Version
	// Confirmed is the steady time at which that version was known to be the
	// newest; zero if it never was.
	Confirmed time.Time
	// StopBy is the steady time at which a planned stop ends it; zero while none is
	// under way.
	StopBy time.Time
	// StoreLost tells that it does not reach the platform's store itself.
	StoreLost bool
	// Loads are by upstream.
	Loads map[string]Load
	// Leaving are upstreams known to leave.
	Leaving []string
	// Faults are the upstreams at which its requests met a fault lately, and the
	// steady time of the latest one.
	Faults map[string]time.Time
	// Failures are the numbers of requests that upstreams lately failed it.
	Failures map[string]int
	// Retries is what it took of the retry budgets, by service.
	Retries map[string]routing.Use
	// Suspects is what it knows of requests under which upstreams ended.
	Suspects []quarantine.Word
	// HeardUs is when the latest message was sent that it had of this entry, by the steady
	// clock of this one; zero for none. It is not part of what is sent: an echo tells it.
	HeardUs time.Time
}

// Peer is what is known of another entry.
type Peer struct {
	Address string
	State   State
	// Heard is when the newest message came.
	Heard time.Time
}

// Node speaks for one entry.
type Node struct {
	settings Settings
	conn     net.PacketConn
	collect  func() State
	heard    func(from string, s State)
	limits   *limits.Set
	rec      *events.Recorder
	now      func() time.Time
	start    time.Time
	// nudged and urged ask for messages soon.
	nudged chan struct{}
	urged  chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// way is how long a message takes to and back, as a mean of the latest ones.
	way time.Duration
	// between is the same of the time between two messages of one peer, by group.
	between [groups]time.Duration
	// sizes is the number of peers in each group, as of the latest change or message.
	sizes [groups]int
}

type peer struct {
	Peer
	addr  net.Addr
	echo  int64
	life  string
	lost  bool
	known bool
}

// New returns a Node. collect gives the own state; heard gets each peer's. What limited upstreams
// take is told and heard by set.
func New(settings Settings, conn net.PacketConn, collect func() State, heard func(from string, s State), set *limits.Set, rec *events.Recorder, now func() time.Time) *Node {
	return &Node{settings: settings, conn: conn, collect: collect, heard: heard, limits: set, rec: rec, now: now, start: now(), nudged: make(chan struct{}, 1), urged: make(chan struct{}, 1), peers: map[string]*peer{}}
}

// Know makes the addresses of the other entries known, by name; those not in
// the list and silent are forgotten.
func (n *Node) Know(addresses map[string]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, address := range addresses {
		if name == n.settings.Name {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp4", address)
		if err != nil {
			n.rec.Note(events.GossipRejected, "", "peer", name, "error", err)
			continue
		}
		p, ok := n.peers[name]
		if !ok {
			p = &peer{lost: true}
			n.peers[name] = p
			n.Urge()
		}
		p.addr, p.Address, p.known = addr, address, true
	}
	for name, p := range n.peers {
		if _, listed := addresses[name]; !listed && p.lost {
			delete(n.peers, name)
		}
	}
	n.count()
}

// Peers returns the entries heard lately.
func (n *Node) Peers() map[string]Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make(map[string]Peer, len(n.peers))
	for name, p := range n.peers {
		if !p.lost {
			out[name] = p.Peer
		}
	}
	return out
}

// Nudge asks for a message soon, because the own state changed in a way that
// others should act on.
func (n *Node) Nudge() { ask(n.nudged) }

// Urge asks for a message to all others at once: they would go wrong without it.
func (n *Node) Urge() { ask(n.urged) }

func ask(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	go n.receive(ctx)
	var s schedule
	for ctx.Err() == nil {
		now := n.now()
		counts := n.counts()
		due := s.due(n.settings, counts, now)
		if len(due) > 0 {
			n.send(due...)
			continue
		}
		t := time.NewTimer(s.next(n.settings, counts).Sub(now))
		select {
		case <-ctx.Done():
		case <-n.nudged:
			s.ask(nudge)
		case <-n.urged:
			s.ask(urge)
		case <-t.C:
		}
		t.Stop()
	}
}

// group returns the group that a peer belongs to. One whose zone is not known yet
// counts as far.
func (n *Node) group(p *peer) group {
	if p.State.Zone != "" && p.State.Zone == n.settings.Zone {
		return near
	}
	return far
}

// counts is the number of peers in each group.
func (n *Node) counts() [groups]int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.sizes
}

// count counts the peers in each group. It needs the lock.
func (n *Node) count() {
	n.sizes = [groups]int{}
	for _, p := range n.peers {
		n.sizes[n.group(p)]++
	}
}

// send sends the own state to the peers of some groups.
func (n *Node) send(to ...group) {
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
	for name, p := range n.peers {
		g := n.group(p)
		if _, _, forget := n.settings.timing(n.sizes[g]); !p.lost && now.Sub(p.Heard) > forget {
			p.lost = true
			n.rec.Note(events.EntrySilent, "", "peer", name, "heard-before", now.Sub(p.Heard))
		}
		if !slices.Contains(to, g) {
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
	if d.Format == formatLimits {
		return n.takeLimits(d)
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
	n.keep(m, s, addr, now)
	n.heard(m.body.From, s)
}

// keep takes over a peer's state.
func (n *Node) keep(m message, s State, addr net.Addr, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.body.From]
	if !ok {
		p = &peer{lost: true}
		n.peers[m.body.From] = p
	}
	appeared := p.lost
	if appeared {
		n.rec.Note(events.EntryHeard, "", "peer", m.body.From, "routes", m.body.Routes)
		n.Urge()
	}
	n.measure(m, p, now)
	p.lost, p.addr, p.Address, p.Heard, p.echo, p.life, p.State = false, addr, addr.String(), now, m.body.Sent, m.body.Life, s
	if appeared {
		n.count()
	}
}

// echoed reports whether a message tells which one of this process its sender had last.
func (n *Node) echoed(m message) bool {
	return m.echo.Sent > 0 && m.echo.Life == n.settings.Life
}
