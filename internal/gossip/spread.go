package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

// With many entries no entry sends what is urgent to all others itself. It goes to the delegates of
// the own zone, from there to those of the other zones, and from each delegate to its zone. A
// delegate passes on in one message what reached it in a while, so the messages that an entry gets
// and sends are bounded, however many have something urgent to tell.

// The parts of the way.
const (
	// toOwnDelegates leads from an entry to the delegates of its zone.
	toOwnDelegates = iota
	// toOtherDelegates leads on to the delegates of other zones.
	toOtherDelegates
	// toZone leads from a delegate to the entries of its zone.
	toZone
)

const (
	// spreadLeast is the least time between two messages in which a delegate passes news on.
	spreadLeast = 50 * time.Millisecond
	// spreadRate bounds the messages a second by which a delegate passes news on: with large
	// zones they are further apart.
	spreadRate = 1500
	// echoWithin is the time in which an entry hears its own news from a delegate: three parts
	// of the way, and a busy processor.
	echoWithin = 300 * time.Millisecond
	// lagsMissed is the number of the times in which own news came back lately, after which it
	// counts as not passed on: delegates that have much to pass on are no reason to tell all
	// directly.
	lagsMissed = 3
	// spreadWithin is the time in which all hear of news, also if the delegates of the zone fail,
	// all others are told directly, and one message is lost.
	spreadWithin = 4 * echoWithin
	// mostHeld bounds how old a state may be that is passed on, and clockSlack how far the clock of
	// its entry may be ahead of what its own messages tell.
	mostHeld   = 10 * time.Second
	clockSlack = time.Second
	// mostBundle bounds a message with news, in bytes.
	mostBundle = 16 << 10
)

// byZone reports whether there are so many entries that what is urgent goes through delegates.
func (n *Node) byZone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return roster.ByZone(n.entriesHeard())
}

// spreadUrgent sends the own state on its way, or asks for a round to all others, each time it is
// urged to, until ctx ends.
func (n *Node) spreadUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urged:
		}
		if !n.byZone() {
			n.UrgeEach()
			continue
		}
		n.spreadOwn(ctx)
		pause(ctx, n.settings.Urgent)
	}
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// spreadOwn sends the own state to the delegates of the zone. If no delegate passes it on, all
// others are told directly.
func (n *Node) spreadOwn(ctx context.Context) {
	s, now := n.collect(), n.now()
	running := now.Sub(n.start)
	version, body, err := encodeBody(n.settings, s, running, now)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return
	}
	own := news{version: version, body: body, made: now}
	n.mu.Lock()
	defer n.mu.Unlock()
	delegates := n.delegatesOf(n.settings.Zone, now)
	if slices.Contains(delegates, n.settings.Name) {
		n.out.zone.states[n.settings.Name], n.out.others.states[n.settings.Name] = own, own
		ask(n.passing)
		return
	}
	for _, name := range delegates {
		n.writeBundle(n.peers[name], bundleBody{Part: toOwnDelegates, States: []wireState{own.wire(now)}}, now)
	}
	sent := running.Nanoseconds() + 1
	time.AfterFunc(max(echoWithin, lagsMissed*n.lag), func() {
		if ctx.Err() != nil || n.passedOn(sent) {
			return
		}
		n.rec.Note(events.NewsNotPassedOn, "", "delegates", delegates)
		n.UrgeEach()
		if n.again() {
			n.Urge()
		}
	})
}

// againMost is the number of times that news is given to the delegates again.
const againMost = 2

// again reports whether news that was not passed on is given to the delegates again: those that
// failed may be replaced by then.
func (n *Node) again() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tries++
	return n.tries <= againMost
}

// passedOn reports whether the own state of a moment, or a later one, came back.
func (n *Node) passedOn(sent int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownPassed < sent {
		n.stats.NotPassedOn++
		return false
	}
	n.tries = 0
	return true
}

// delegatesOf returns the names of the delegates of a zone, of those heard lately. It needs the lock.
func (n *Node) delegatesOf(zone string, now time.Time) []string {
	var in []roster.Candidate
	if zone == n.settings.Zone {
		in = append(in, roster.Candidate{Name: n.settings.Name, Zone: zone, Size: n.settings.Entry.Size})
	}
	for name, p := range n.peers {
		if !p.lost && p.State.Zone == zone && now.Sub(p.Heard) <= n.silenceOf(n.group(p)) {
			in = append(in, roster.Candidate{Name: name, Zone: zone, Size: p.Size})
		}
	}
	var out []string
	for _, c := range roster.Delegates(in, zone) {
		out = append(out, c.Name)
	}
	return out
}

// markDelegates notes who the delegates are. Those hear each other as often as entries of one zone
// do, so that one that fails is replaced soon. It needs the lock.
func (n *Node) markDelegates(now time.Time) {
	n.delegate, n.markedAt = false, now
	for _, p := range n.peers {
		p.delegate = false
	}
	if !roster.ByZone(n.entriesHeard()) {
		return
	}
	for _, zone := range append(n.otherZones(), n.settings.Zone) {
		for _, name := range n.delegatesOf(zone, now) {
			if p, other := n.peers[name]; other {
				p.delegate = true
			} else {
				n.delegate = true
			}
		}
	}
	n.count()
	if n.delegate {
		n.tellSilent(now)
	}
}

// passOn passes on what came in until ctx ends.
func (n *Node) passOn(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.passing:
		}
		messages := n.passOut()
		pause(ctx, max(spreadLeast, time.Duration(messages)*time.Second/spreadRate))
	}
}

// passOut sends what is to be passed on, and returns the number of messages.
func (n *Node) passOut() int {
	now := n.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	out := n.out
	n.out = newOutbox()
	messages := 0
	defer func() { n.stats.PassedOn += messages }()
	for _, p := range n.peers {
		if p.lost || p.State.Zone != n.settings.Zone {
			continue
		}
		messages += n.writeBundles(p, toZone, out.zone, now)
	}
	if out.others.empty() {
		return messages
	}
	for _, zone := range n.otherZones() {
		for _, name := range n.delegatesOf(zone, now) {
			messages += n.writeBundles(n.peers[name], toOtherDelegates, out.others, now)
		}
	}
	return messages
}

// otherZones returns the zones of the entries that are heard, but for the own one. It needs the lock.
func (n *Node) otherZones() []string {
	var out []string
	for _, p := range n.peers {
		if zone := p.State.Zone; !p.lost && zone != "" && zone != n.settings.Zone && !slices.Contains(out, zone) {
			out = append(out, zone)
		}
	}
	return out
}
