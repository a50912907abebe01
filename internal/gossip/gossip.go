// Package gossip lets the entries of a deployment tell each other, by small
// datagrams some times a second, what each has sent to which upstream, which
// upstreams leave, and how old each one's route table is. Every message holds
// the whole state of its sender, so a lost one only costs freshness.
package gossip

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
)

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

// New returns a Node. collect gives the own state; heard gets each peer's. What limited upstreams
// take is told and heard by set.
func New(settings Settings, conn net.PacketConn, collect func() State, heard func(from string, s State), set *limits.Set, rec *events.Recorder, now func() time.Time) *Node {
	return &Node{
		settings: settings, conn: conn, collect: collect, heard: heard, limits: set, rec: rec, now: now, start: now(),
		nudged: make(chan struct{}, 1), urged: make(chan struct{}, 1), each: make(chan struct{}, 1), greeting: make(chan struct{}, 1), passing: make(chan struct{}, 1),
		peers: map[string]*peer{}, greet: map[string]bool{}, out: newOutbox(),
	}
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
