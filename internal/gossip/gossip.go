// Package gossip lets the entries of a deployment tell each other, by small
// datagrams some times a second, what each has sent to which upstream, which
// upstreams leave, and how old each one's route table is. Every message holds
// the whole state of its sender, so a lost one only costs freshness.
package gossip

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
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
}

// Peer is what is known of another entry.
type Peer struct {
	Address string
	State   State
	// Heard is when the newest message came.
	Heard time.Time
}

// message is the datagram. Times are steady and only mean something to the
// process that made them.
type message struct {
	From string `json:"from"`
	// Life tells the starts of the sender apart.
	Life string `json:"life"`
	// Sent is the sender's steady time in nanoseconds.
	Sent int64 `json:"sent"`
	// Echo is the newest Sent that the sender had from the receiver. It proves
	// that the message is younger than that moment, however long it lay in a
	// buffer. EchoLife is the receiver's life that Echo belongs to.
	Echo     int64  `json:"echo"`
	EchoLife string `json:"echo_life"`
	// EchoHeldUS is the time between the arrival of that message and the sending of
	// this one, in microseconds.
	EchoHeldUS int64 `json:"echo_held_us"`
	// AgeMS is the time since the route table was confirmed, -1 for never.
	AgeMS int64  `json:"age_ms"`
	Zone  string `json:"zone"`
	Relay string `json:"relay"`
	// StopsInMS is the time until a planned stop ends it, at least 1; 0 for none.
	StopsInMS int64               `json:"stops_in_ms,omitempty"`
	Routes    int64               `json:"routes"`
	Lost      bool                `json:"store_lost,omitempty"`
	Loads     map[string]wireLoad `json:"loads,omitempty"`
	Leaving   []string            `json:"leaving,omitempty"`
	// FaultAgesMS is the time since the latest fault of upstreams.
	FaultAgesMS map[string]int64   `json:"fault_ages_ms,omitempty"`
	Failures    map[string]int     `json:"failures,omitempty"`
	Retries     map[string]wireUse `json:"retries,omitempty"`
}

// wireLoad holds requests, tokens, tokens not read yet and tokens held by now.
type wireLoad [4]int

// wireUse holds requests and repeats.
type wireUse [2]int

// Settings are the fixed numbers of a Node.
type Settings struct {
	// Name is unique in the deployment.
	Name string
	// Life is different for each start of the process.
	Life string
	// Every is the time between two messages to one peer while nothing happens.
	Every time.Duration
	// Least is the least time between two messages to one peer.
	Least time.Duration
	// Rate bounds the messages a second to all peers together; with many peers
	// the times above and below grow to keep to it.
	Rate int
	// Forget is the silence after which a peer's state is no longer used.
	Forget time.Duration
}

// round is the time that a message to each of a number of peers takes under the
// bound on all messages.
func (s Settings) round(peers int) time.Duration {
	return time.Duration(peers) * time.Second / time.Duration(max(s.Rate, 1))
}

// timing returns the times between messages for a number of peers, and the
// silence after which one is forgotten.
func (s Settings) timing(peers int) (every, least, forget time.Duration) {
	round := s.round(peers)
	every, least = max(s.Every, round), max(s.Least, round)
	return every, least, time.Duration(float64(s.Forget) * float64(every) / float64(s.Every))
}

// Node speaks for one entry.
type Node struct {
	settings Settings
	conn     net.PacketConn
	collect  func() State
	heard    func(from string, s State)
	rec      *events.Recorder
	now      func() time.Time
	start    time.Time
	nudge    chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// way is how long a message takes to and back, and between the time between two
	// messages of one peer, as means of the latest ones.
	way     time.Duration
	between time.Duration
}

// meanWeight is the weight of a new message in these means: with ten of them a second
// from each of four peers they follow a change within seconds.
const meanWeight = 0.02

// Delay is how long after a peer's state changed it is expected to be known here: half
// of the time between its messages, and the way. A peer that was nudged sends as soon
// as the least time since its latest message is over.
func (n *Node) Delay(nudged bool) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	_, least, _ := n.settings.timing(len(n.peers))
	wait := n.between
	if nudged {
		wait = min(wait, least)
	}
	return (wait + n.way) / 2
}

// measure takes over how long messages take and how far apart they are. It needs the
// lock.
func (n *Node) measure(m message, p *peer, now time.Time) {
	if !p.lost {
		n.between = mean(n.between, now.Sub(p.Heard))
	}
	if m.Echo > 0 && m.EchoLife == n.settings.Life {
		sent := n.start.Add(time.Duration(m.Echo))
		n.way = mean(n.way, max(now.Sub(sent)-time.Duration(m.EchoHeldUS)*time.Microsecond, 0))
	}
}

// mean moves a mean towards a new value.
func mean(of, value time.Duration) time.Duration {
	return of + time.Duration(meanWeight*float64(value-of))
}

type peer struct {
	Peer
	addr  net.Addr
	echo  int64
	life  string
	lost  bool
	known bool
}

// New returns a Node. collect gives the own state; heard gets each peer's.
func New(settings Settings, conn net.PacketConn, collect func() State, heard func(from string, s State), rec *events.Recorder, now func() time.Time) *Node {
	return &Node{settings: settings, conn: conn, collect: collect, heard: heard, rec: rec, now: now, start: now(), nudge: make(chan struct{}, 1), peers: map[string]*peer{}}
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
		}
		p.addr, p.Address, p.known = addr, address, true
	}
	for name, p := range n.peers {
		if _, listed := addresses[name]; !listed && p.lost {
			delete(n.peers, name)
		}
	}
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
func (n *Node) Nudge() {
	select {
	case n.nudge <- struct{}{}:
	default:
	}
}

// Run sends and receives until ctx ends.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	go n.receive(ctx)
	t := time.NewTimer(n.settings.Every)
	defer t.Stop()
	var sent time.Time
	for {
		every, least, _ := n.settings.timing(n.count())
		select {
		case <-ctx.Done():
			return
		case <-n.nudge:
			// A message sent a moment ago may lack the change: another follows.
			if wait := least - n.now().Sub(sent); wait > 0 {
				t.Reset(wait)
				continue
			}
		case <-t.C:
		}
		n.send()
		sent = n.now()
		t.Reset(every)
	}
}

// count is the number of peers known.
func (n *Node) count() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.peers)
}

func (n *Node) send() {
	s := n.collect()
	now := n.now()
	m := message{From: n.settings.Name, Life: n.settings.Life, Sent: now.Sub(n.start).Nanoseconds() + 1, AgeMS: -1, Routes: int64(s.Routes), Leaving: s.Leaving, Zone: s.Zone, Relay: s.Relay, Lost: s.StoreLost, Failures: s.Failures}
	if !s.Confirmed.IsZero() {
		m.AgeMS = now.Sub(s.Confirmed).Milliseconds() + 1
	}
	if !s.StopBy.IsZero() {
		m.StopsInMS = max(s.StopBy.Sub(now).Milliseconds(), 1)
	}
	m.Loads = make(map[string]wireLoad, len(s.Loads))
	for id, l := range s.Loads {
		m.Loads[id] = wireLoad{l.Running, l.Tokens, l.Prefill, l.Held}
	}
	m.FaultAgesMS = make(map[string]int64, len(s.Faults))
	for id, at := range s.Faults {
		m.FaultAgesMS[id] = now.Sub(at).Milliseconds()
	}
	m.Retries = make(map[string]wireUse, len(s.Retries))
	for service, u := range s.Retries {
		m.Retries[service] = wireUse{u.Requests, u.Repeats}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	_, _, forget := n.settings.timing(len(n.peers))
	for name, p := range n.peers {
		if !p.lost && now.Sub(p.Heard) > forget {
			p.lost = true
			n.rec.Note(events.EntrySilent, "", "peer", name, "heard-before", now.Sub(p.Heard))
		}
		m.Echo, m.EchoLife, m.EchoHeldUS = p.echo, p.life, now.Sub(p.Heard).Microseconds()
		b, err := json.Marshal(m)
		if err != nil {
			n.rec.Note(events.GossipRejected, "", "peer", name, "error", err)
			continue
		}
		// A datagram that cannot be sent is as good as a lost one; the peer's
		// silence is what is noted.
		_, _ = n.conn.WriteTo(b, p.addr)
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
	var m message
	if err := json.Unmarshal(b, &m); err != nil || m.From == "" {
		n.rec.Note(events.GossipRejected, "", "peer", addr, "error", err)
		return
	}
	n.take(m, addr)
}

// take stores a peer's state. Its confirmation holds for the time of the echo,
// less the age that the peer gave: both bounds lie on the safe side.
func (n *Node) take(m message, addr net.Addr) {
	s := State{Routes: routetable.Version(m.Routes), Leaving: m.Leaving, Zone: m.Zone, Relay: m.Relay, StoreLost: m.Lost, Failures: m.Failures, Loads: make(map[string]Load, len(m.Loads))}
	for id, l := range m.Loads {
		s.Loads[id] = Load{Running: l[0], Tokens: l[1], Prefill: l[2], Held: l[3]}
	}
	if m.StopsInMS > 0 {
		s.StopBy = n.now().Add(time.Duration(m.StopsInMS) * time.Millisecond)
	}
	s.Faults = make(map[string]time.Time, len(m.FaultAgesMS))
	for id, age := range m.FaultAgesMS {
		s.Faults[id] = n.now().Add(-time.Duration(age) * time.Millisecond)
	}
	s.Retries = make(map[string]routing.Use, len(m.Retries))
	for service, u := range m.Retries {
		s.Retries[service] = routing.Use{Requests: u[0], Repeats: u[1]}
	}
	if m.AgeMS >= 0 && m.Echo > 0 && m.EchoLife == n.settings.Life {
		s.Confirmed = n.start.Add(time.Duration(m.Echo) - time.Duration(m.AgeMS)*time.Millisecond)
	}
	n.mu.Lock()
	p, ok := n.peers[m.From]
	if !ok {
		p = &peer{lost: true}
		n.peers[m.From] = p
	}
	if p.lost {
		n.rec.Note(events.EntryHeard, "", "peer", m.From, "routes", m.Routes)
	}
	n.measure(m, p, n.now())
	p.lost, p.addr, p.Address, p.Heard, p.echo, p.life, p.State = false, addr, addr.String(), n.now(), m.Sent, m.Life, s
	n.mu.Unlock()
	n.heard(m.From, s)
}
