package gossip

import (
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// group is a set of peers that get messages at the same interval.
type group int

const (
	// near peers are in the own zone. They get messages more often because they compete for the same
	// upstreams most. Between delegates the delegates of other zones are near too.
	near group = iota
	// far peers are all others.
	far
	groups
)

// Settings holds the identity and the timing of a Node.
type Settings struct {
	// Name is the name of the entry, unique in the deployment, and Zone its availability zone.
	Name string
	Zone string
	// Entry is the record of this entry in the list of entries.
	Entry roster.Entry
	// Incarnation identifies the incarnation; it is different for each start of the process.
	Incarnation string
	// Interval is the regular interval between two messages to one peer.
	Interval time.Duration
	// MinInterval is the minimum interval between two messages to one peer after SendSoon.
	MinInterval time.Duration
	// UrgentInterval is the minimum interval between two rounds of urgent messages.
	UrgentInterval time.Duration
	// Rate bounds the messages per second to each group, urgent ones not counted. With many peers
	// Interval, MinInterval and SilenceTimeout grow to keep to it.
	Rate int
	// UrgentRate bounds the urgent messages per second to each group; 0 for no bound.
	UrgentRate int
	// SilenceTimeout is the silence timeout: the time without a message after which a peer is silent and its
	// state is no longer used.
	SilenceTimeout time.Duration
}

// roundTime returns the time that one message to each of a number of peers takes at Rate.
func (s Settings) roundTime(peers int) time.Duration {
	return time.Duration(peers) * time.Second / time.Duration(max(s.Rate, 1))
}

// urgentRoundTime returns the time that one message to each of a number of peers takes at UrgentRate.
func (s Settings) urgentRoundTime(peers int) time.Duration {
	if s.UrgentRate == 0 {
		return 0
	}
	return time.Duration(peers) * time.Second / time.Duration(s.UrgentRate)
}

// timing returns Interval, MinInterval and SilenceTimeout, adapted to a number of peers. The silence
// timeout grows in proportion to the regular interval, so that the number of missed messages is the same.
func (s Settings) timing(peers int) (interval, minInterval, silenceTimeout time.Duration) {
	roundTime := s.roundTime(peers)
	interval, minInterval = max(s.Interval, roundTime), max(s.MinInterval, roundTime)
	return interval, minInterval, time.Duration(float64(s.SilenceTimeout) * float64(interval) / float64(s.Interval))
}

// urgency is how soon the next message to a group is wanted.
type urgency int

const (
	regular urgency = iota
	soon
	urgent
)

// schedule determines when the groups get their next messages.
type schedule struct {
	sent    [groups]time.Time
	urgency [groups]urgency
}

// request raises the urgency of the next message to all groups.
func (s *schedule) request(u urgency) {
	for g := range s.urgency {
		s.urgency[g] = max(s.urgency[g], u)
	}
}

// sendAt returns when a group with a number of peers gets its next message.
func (s *schedule) sendAt(g group, settings Settings, peers int) time.Time {
	every, least, _ := settings.timing(peers)
	switch s.urgency[g] {
	case urgent:
		return s.sent[g].Add(max(min(settings.UrgentInterval, least), settings.urgentRoundTime(peers)))
	case soon:
		return s.sent[g].Add(least)
	default:
		return s.sent[g].Add(every)
	}
}

// due returns the groups whose message is due, and marks the message as sent.
func (s *schedule) due(settings Settings, peers [groups]int, now time.Time) []group {
	var out []group
	for g := range groups {
		if !now.Before(s.sendAt(g, settings, peers[g])) {
			s.sent[g], s.urgency[g] = now, regular
			out = append(out, g)
		}
	}
	return out
}

// next returns when the next message to any group is due.
func (s *schedule) next(settings Settings, peers [groups]int) time.Time {
	at := s.sendAt(near, settings, peers[near])
	if other := s.sendAt(far, settings, peers[far]); other.Before(at) {
		return other
	}
	return at
}

// averageWeight is the weight of a new sample in the moving averages. With ten messages per second from
// each of four peers the averages follow a change within seconds.
const averageWeight = 0.02

// measure updates the moving averages of the round-trip time and of the message interval. The caller
// must hold n.mu.
func (n *Node) measure(m message, p *peer, now time.Time) {
	if g := n.group(p); !p.silent {
		n.meanInterval[g] = movingAverage(n.meanInterval[g], now.Sub(p.Heard))
	}
	if n.echoesOwn(m) && m.echo.HeldUS >= 0 {
		sent := n.start.Add(time.Duration(m.echo.Sent))
		n.roundTrip = movingAverage(n.roundTrip, max(now.Sub(sent)-time.Duration(m.echo.HeldUS)*time.Microsecond, 0))
	}
}

// movingAverage returns the exponential moving average after a new value.
func movingAverage(average, value time.Duration) time.Duration {
	return average + time.Duration(averageWeight*float64(value-average))
}

// Delay returns the expected time from a change of the state of an entry in a zone until the change is
// known here: half of the message interval plus half of the round-trip time. After SendSoon the interval
// is at most Settings.MinInterval, adapted to the number of peers.
func (n *Node) Delay(zone string, sentSoon bool) time.Duration {
	g := far
	if zone == n.settings.Zone {
		g = near
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	interval := n.meanInterval[g]
	if sentSoon {
		_, least, _ := n.settings.timing(n.sizes[g])
		interval = min(interval, least)
	}
	return (interval + n.roundTrip) / 2
}

// DeliveryTime returns the time after SendNow within which all other entries know of a change, even if one
// message is lost, and the time without a message after which a peer must not be relied on any more.
func (n *Node) DeliveryTime() (within, staleAfter time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if roster.ByZone(n.entryCount()) {
		return n.settings.UrgentInterval + spreadTimeout + n.roundTrip, n.staleAfter()
	}
	return n.directTimeout(), n.staleAfter()
}

// BroadcastTime returns the time after Broadcast within which all other entries know of a change, even if one
// message is lost.
func (n *Node) BroadcastTime() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.directTimeout()
}

// directTimeout is BroadcastTime for callers that hold n.mu.
func (n *Node) directTimeout() time.Duration {
	peers := max(n.sizes[near], n.sizes[far])
	return max(n.settings.UrgentInterval, n.settings.urgentRoundTime(peers)) + n.regularInterval() + n.roundTrip
}

// entryCount returns the number of entries, this one and silent ones included and unverified ones not.
// The caller must hold n.mu.
func (n *Node) entryCount() int { return n.sizes[near] + n.sizes[far] + 1 }

// RoundTrip returns the moving average of the round-trip time to the peers.
func (n *Node) RoundTrip() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.roundTrip
}

// staleAfter returns the time without a message after which a peer must not be relied on. The caller
// must hold n.mu.
func (n *Node) staleAfter() time.Duration { return maxMissed * n.regularInterval() }

// groupStaleAfter is staleAfter for the peers of one group. The caller must hold n.mu.
func (n *Node) groupStaleAfter(g group) time.Duration {
	every, _, _ := n.settings.timing(n.sizes[g])
	return maxMissed * every
}

// regularInterval returns the regular interval between two messages of a peer of the larger group. The
// caller must hold n.mu.
func (n *Node) regularInterval() time.Duration {
	every, _, _ := n.settings.timing(max(n.sizes[near], n.sizes[far]))
	return every
}

// maxMissed is the number of consecutive regular messages without which a peer counts as stale.
const maxMissed = 3
