// Package gossip exchanges state between the entries of a deployment, the processes that accept
// requests: the load that each entry has placed on each upstream, the upstreams that leave, faults,
// and the age of its route table. The daemon of an entry runs one Node, which sends small datagrams to
// its peers several times a second. Each state message holds the whole state of its sender, so a lost
// message only delays an update. In a large deployment urgent states go through delegates in each zone.
package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/origin"
)

// Node sends the state of one entry to its peers and keeps the states that they send.
type Node struct {
	settings Settings
	conn     net.PacketConn
	collect  func() State
	received func(from string, s State)
	limits   *limits.Set
	origins  *origin.Set
	rec      *events.Recorder
	now      func() time.Time
	start    time.Time
	// The channels wake the loops of the Node. soonRequested and broadcastRequested request a round of
	// messages to all peers, see SendSoon and Broadcast. spreadRequested requests that the own state is
	// spread, greetDue that the entries in greet get a message, and forwardDue that the outbox is sent.
	soonRequested      chan struct{}
	spreadRequested    chan struct{}
	broadcastRequested chan struct{}
	greetDue           chan struct{}
	forwardDue         chan struct{}

	mu    sync.Mutex
	peers map[string]*peer
	// greet holds the entries that get a message outside the regular rounds.
	greet map[string]bool
	// outbox holds what is to be forwarded. ownForwarded is the send time of the latest own state that
	// came back from a delegate, in nanoseconds since start.
	outbox       outbox
	ownForwarded int64
	// forwardLag is the time that this state took to come back.
	forwardLag time.Duration
	// failedForwards counts consecutive own states that no delegate forwarded in time.
	failedForwards int
	// delegate is whether this entry is a delegate of its zone, as of delegatesUpdated.
	delegate         bool
	delegatesUpdated time.Time
	stats            Stats
	lateEchoLoggedAt time.Time
	// roundTrip is the moving average of the round-trip time to the peers.
	roundTrip time.Duration
	// meanInterval is the moving average of the time between two messages of one peer, by group.
	meanInterval [groups]time.Duration
	// sizes is the number of peers in each group, silent ones included and unverified ones not.
	sizes [groups]int
}

// New returns a Node. It calls collect for the own state and received with each new state of a peer.
// limitSet produces and handles the messages about rate limits of upstreams, and origins handles those about
// the origins of streams.
func New(settings Settings, conn net.PacketConn, collect func() State, received func(from string, s State), limitSet *limits.Set, origins *origin.Set, rec *events.Recorder, now func() time.Time) *Node {
	return &Node{
		settings: settings, conn: conn, collect: collect, received: received, limits: limitSet, origins: origins, rec: rec, now: now, start: now(),
		soonRequested: make(chan struct{}, 1), spreadRequested: make(chan struct{}, 1), broadcastRequested: make(chan struct{}, 1), greetDue: make(chan struct{}, 1), forwardDue: make(chan struct{}, 1),
		peers: map[string]*peer{}, greet: map[string]bool{}, outbox: newOutbox(),
	}
}

// SendSoon requests a round of messages to all peers as soon as Settings.MinInterval allows, because the own
// state changed in a way that the other entries should act on.
func (n *Node) SendSoon() { signal(n.soonRequested) }

// SendNow spreads the own state to all entries at once. It is for changes without which the other entries
// would make wrong decisions.
func (n *Node) SendNow() { signal(n.spreadRequested) }

// Broadcast requests a round of direct messages to all peers as soon as Settings.UrgentInterval allows.
func (n *Node) Broadcast() { signal(n.broadcastRequested) }

// signal wakes the receiver of a channel with a buffer of one; it does not block.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Run sends and receives messages until ctx is done, and then closes the connection.
func (n *Node) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = n.conn.Close() })
	defer stop()
	go n.receive(ctx)
	go n.compareMembers(ctx)
	go n.spreadUrgent(ctx)
	go n.forwardLoop(ctx)
	var s schedule
	for ctx.Err() == nil {
		now := n.now()
		counts := n.groupSizes()
		due := s.due(n.settings, counts, now)
		if len(due) > 0 {
			n.send(due...)
			continue
		}
		t := time.NewTimer(s.next(n.settings, counts).Sub(now))
		select {
		case <-ctx.Done():
		case <-n.soonRequested:
			s.request(soon)
		case <-n.broadcastRequested:
			s.request(urgent)
		case <-n.greetDue:
			n.sendGreetings()
		case <-t.C:
		}
		t.Stop()
	}
}
