package gossip

import (
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// group is a set of peers that get messages equally often.
type group int

const (
	// near peers are of the own zone: they compete for the same upstreams most.
	near group = iota
	// far peers are of other zones.
	far
	groups
)

// Settings are the fixed numbers of a Node.
type Settings struct {
	// Name is unique in the deployment; Zone is the availability zone.
	Name string
	Zone string
	// Entry is how this entry is listed.
	Entry roster.Entry
	// Life is different for each start of the process.
	Life string
	// Every is the time between two messages to one peer while nothing happens.
	Every time.Duration
	// Least is the least time between two messages to one peer.
	Least time.Duration
	// Urgent is the least time between two urgent messages to all peers.
	Urgent time.Duration
	// Rate bounds the messages a second to the peers of the own zone, and as many to
	// those of other zones; with many peers the times above and below grow to keep to
	// it. Urgent messages are not counted.
	Rate int
	// UrgentRate bounds the urgent messages a second to each group; 0 for no bound.
	UrgentRate int
	// Forget is the silence after which a peer's state is no longer used.
	Forget time.Duration
}

// round is the time that a message to each of a number of peers takes under the
// bound on all messages.
func (s Settings) round(peers int) time.Duration {
	return time.Duration(peers) * time.Second / time.Duration(max(s.Rate, 1))
}

// urgentRound is the time that an urgent message to each of a number of peers takes under the
// bound on those.
func (s Settings) urgentRound(peers int) time.Duration {
	if s.UrgentRate == 0 {
		return 0
	}
	return time.Duration(peers) * time.Second / time.Duration(s.UrgentRate)
}

// timing returns the times between messages for a number of peers, and the
// silence after which one is forgotten.
func (s Settings) timing(peers int) (every, least, forget time.Duration) {
	round := s.round(peers)
	every, least = max(s.Every, round), max(s.Least, round)
	return every, least, time.Duration(float64(s.Forget) * float64(every) / float64(s.Every))
}

// asked is what was asked for since the latest message to a group.
type asked int

const (
	nothing asked = iota
	nudge
	urge
)

// schedule tells when the groups get their next messages.
type schedule struct {
	sent  [groups]time.Time
	asked [groups]asked
}

// ask notes that a message is wanted soon.
func (s *schedule) ask(a asked) {
	for g := range s.asked {
		s.asked[g] = max(s.asked[g], a)
	}
}

// at is when a group of a number of peers gets its next message.
func (s *schedule) at(g group, settings Settings, peers int) time.Time {
	every, least, _ := settings.timing(peers)
	switch s.asked[g] {
	case urge:
		return s.sent[g].Add(max(min(settings.Urgent, least), settings.urgentRound(peers)))
	case nudge:
		return s.sent[g].Add(least)
	default:
		return s.sent[g].Add(every)
	}
}

// due returns the groups whose message is due, and takes them as sent.
func (s *schedule) due(settings Settings, peers [groups]int, now time.Time) []group {
	var out []group
	for g := range groups {
		if !now.Before(s.at(g, settings, peers[g])) {
			s.sent[g], s.asked[g] = now, nothing
			out = append(out, g)
		}
	}
	return out
}

// next is when the next message is due.
func (s *schedule) next(settings Settings, peers [groups]int) time.Time {
	at := s.at(near, settings, peers[near])
	if other := s.at(far, settings, peers[far]); other.Before(at) {
		return other
	}
	return at
}

// meanWeight is the weight of a new message in the means of what was measured: with ten
// messages a second from each of four peers they follow a change within seconds.
const meanWeight = 0.02

// measure takes over how long messages take and how far apart they are. It needs the
// lock.
func (n *Node) measure(m message, p *peer, now time.Time) {
	if g := n.group(p); !p.lost {
		n.between[g] = mean(n.between[g], now.Sub(p.Heard))
	}
	if n.echoed(m) {
		sent := n.start.Add(time.Duration(m.echo.Sent))
		n.way = mean(n.way, max(now.Sub(sent)-time.Duration(m.echo.HeldUS)*time.Microsecond, 0))
	}
}

// mean moves a mean towards a new value.
func mean(of, value time.Duration) time.Duration {
	return of + time.Duration(meanWeight*float64(value-of))
}

// Delay is how long after the state of an entry of a zone changed it is expected to be
// known here: half of the time between two messages, and the way. An entry that was
// nudged sends as soon as the least time since its latest message is over.
func (n *Node) Delay(zone string, nudged bool) time.Duration {
	g := far
	if zone == n.settings.Zone {
		g = near
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	wait := n.between[g]
	if nudged {
		_, least, _ := n.settings.timing(n.sizes[g])
		wait = min(wait, least)
	}
	return (wait + n.way) / 2
}

// Told is the time within which all others know of a change that they were urged to
// hear of, even if one message is lost, and the silence after which one must not be counted
// on any more.
func (n *Node) Told() (told, silence time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if roster.ByZone(n.entriesHeard()) {
		return n.settings.Urgent + spreadWithin + n.way, n.silence()
	}
	return n.toldEach(), n.silence()
}

// ToldEach is the same for what goes to each other one directly.
func (n *Node) ToldEach() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.toldEach()
}

// toldEach needs the lock.
func (n *Node) toldEach() time.Duration {
	most := max(n.sizes[near], n.sizes[far])
	return max(n.settings.Urgent, n.settings.urgentRound(most)) + n.every() + n.way
}

// entriesHeard is the number of entries, this one included. It needs the lock.
func (n *Node) entriesHeard() int { return n.sizes[near] + n.sizes[far] + 1 }

// Way is how long a message takes there and back, as a mean of the latest ones.
func (n *Node) Way() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.way
}

// silence is the time without a message after which a peer must not be counted on. It needs
// the lock.
func (n *Node) silence() time.Duration { return tellsMissed * n.every() }

// silenceOf is the same for the peers of a group. It needs the lock.
func (n *Node) silenceOf(g group) time.Duration {
	every, _, _ := n.settings.timing(n.sizes[g])
	return tellsMissed * every
}

// every is the time between two messages of a peer of the larger group while nothing happens.
// It needs the lock.
func (n *Node) every() time.Duration {
	every, _, _ := n.settings.timing(max(n.sizes[near], n.sizes[far]))
	return every
}

// tellsMissed is the number of regular messages whose loss shows that an entry is not
// heard.
const tellsMissed = 3
