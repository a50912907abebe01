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
	"github.com/sparshore/sparshore/internal/roster"
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
	// Size is what its machine can bear, as far as it is listed.
	Size  roster.Size
	State State
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
	// nudged and each ask for messages to all soon, urged for the own state to be spread, greeting
	// for a message to each entry that is due to be greeted, passing for what came to be passed on.
	nudged   chan struct{}
	urged    chan struct{}
	each     chan struct{}
	greeting chan struct{}
	passing  chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// greet are the entries that get a message of their own at once.
	greet map[string]bool
	// out is what is to be passed on, and ownPassed the time of the latest own state that a
	// delegate passed on, in nanoseconds of the steady time since the start.
	out       outbox
	ownPassed int64
	// lag is how long that one took.
	lag time.Duration
	// tries counts the times in a row that no delegate passed own news on.
	tries int
	// delegate tells that this entry is a delegate of its zone, as of markedAt.
	delegate bool
	markedAt time.Time
	stats    Stats
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
	// newest is the time at which its newest state was sent, by its own clock.
	newest int64
	// entry is how it is listed, and listed since when.
	entry  roster.Entry
	listed time.Time
	// named tells that only another entry has named it so far: it is not in the list of entries,
	// and has not been heard.
	named bool
	// delegate tells that it is one of its zone, as far as known here, and doubted that one does
	// not hear it any more.
	delegate bool
	doubted  bool
	lostAt   time.Time
}

// New returns a Node. collect gives the own state; heard gets each peer's. What limited upstreams
// take is told and heard by set.
func New(settings Settings, conn net.PacketConn, collect func() State, heard func(from string, s State), set *limits.Set, rec *events.Recorder, now func() time.Time) *Node {
	return &Node{
		settings: settings, conn: conn, collect: collect, heard: heard, limits: set, rec: rec, now: now, start: now(),
		nudged: make(chan struct{}, 1), urged: make(chan struct{}, 1), each: make(chan struct{}, 1), greeting: make(chan struct{}, 1), passing: make(chan struct{}, 1),
		peers: map[string]*peer{}, greet: map[string]bool{}, out: newOutbox(),
	}
}

// Know makes the other entries known, by name, as they are listed; those not in the list and
// silent are forgotten.
func (n *Node) Know(listed map[string]roster.Entry) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for name, entry := range listed {
		if name != n.settings.Name {
			n.know(name, entry, false)
		}
	}
	for name, p := range n.peers {
		if _, there := listed[name]; !there && p.lost {
			delete(n.peers, name)
		}
	}
	n.count()
}

// know takes over how an entry is listed, and greets one that is not heard. named tells that it is
// not in the list of entries, but named by another one. It needs the lock.
func (n *Node) know(name string, entry roster.Entry, named bool) {
	addr, err := net.ResolveUDPAddr("udp4", entry.Address)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", name, "error", err)
		return
	}
	p, ok := n.peers[name]
	if !ok {
		p = &peer{lost: true, listed: n.now()}
		n.peers[name] = p
		n.greetSoon(name)
	}
	p.addr, p.Address, p.Size, p.entry, p.known, p.named = addr, entry.Address, entry.Size, entry, true, named
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

// expectedFor is how long a listed entry that was never heard counts as one that may be: some
// round trips, a busy processor and a lost message.
const expectedFor = 2 * time.Second

// Expected returns the entries that were listed lately and have not been heard yet.
func (n *Node) Expected() map[string]roster.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	out, now := map[string]roster.Entry{}, n.now()
	for name, p := range n.peers {
		if n.isExpected(p, now) {
			out[name] = p.entry
		}
	}
	return out
}

// isExpected needs the lock.
func (n *Node) isExpected(p *peer, now time.Time) bool {
	return p.lost && p.known && p.Heard.IsZero() && now.Sub(p.listed) < expectedFor
}

// Stats is how a Node is doing.
type Stats struct {
	// Heard is the number of other entries that are heard, and Silent that of those that are
	// listed, or were heard, and are not.
	Heard, Silent int
	// Delegate tells that it passes on what others of its zone tell at once.
	Delegate bool
	// PassedOn counts the messages in which it did, and NotPassedOn the own news that no
	// delegate passed on in time.
	PassedOn, NotPassedOn int
}

// Stats returns how the Node is doing.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.stats
	s.Delegate = n.delegate
	for _, p := range n.peers {
		if p.lost {
			s.Silent++
		} else {
			s.Heard++
		}
	}
	return s
}

// Nudge asks for a message soon, because the own state changed in a way that
// others should act on.
func (n *Node) Nudge() { ask(n.nudged) }

// Urge makes the own state known to all others at once: they would go wrong without it.
func (n *Node) Urge() { ask(n.urged) }

// UrgeEach asks for a message to each other one at once.
func (n *Node) UrgeEach() { ask(n.each) }

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
	go n.compareMembers(ctx)
	go n.spreadUrgent(ctx)
	go n.passOn(ctx)
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
		case <-n.each:
			s.ask(urge)
		case <-n.greeting:
			n.sendGreetings()
		case <-t.C:
		}
		t.Stop()
	}
}

// group returns the group that a peer belongs to. One whose zone is not known yet
// counts as far.
func (n *Node) group(p *peer) group {
	if p.State.Zone != "" && p.State.Zone == n.settings.Zone || n.delegate && p.delegate {
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
		if !p.named {
			n.sizes[n.group(p)]++
		}
	}
}

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
		n.writeMembers(p, membersBody{From: n.settings.Name, Sum: n.sum()})
	}
	return !overtaken
}

// echoed reports whether a message tells which one of this process its sender had last.
func (n *Node) echoed(m message) bool {
	return m.echo.Sent > 0 && m.echo.Life == n.settings.Life
}
