package gossip

import (
	"context"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

// In a large deployment an entry does not send an urgent state to all others itself. The state takes
// three hops: to the delegates of the own zone, from there to the delegates of the other zones, and
// from each delegate to the entries of its zone. A delegate collects the states that arrive within
// forwardInterval or longer and forwards them together. The message rate of every entry is thus
// bounded, however many entries have an urgent state at once.

// The hops of an urgent state.
const (
	// toOwnDelegates is the hop from an entry to the delegates of its zone.
	toOwnDelegates = iota
	// toOtherDelegates is the hop from a delegate to the delegates of other zones.
	toOtherDelegates
	// toZone is the hop from a delegate to the entries of its zone.
	toZone
)

const (
	// forwardInterval is the minimum time between two rounds in which a delegate forwards states.
	forwardInterval = 50 * time.Millisecond
	// maxForwardRate bounds the messages per second with which a delegate forwards states. In large
	// zones it makes the rounds less frequent.
	maxForwardRate = 1500
	// forwardTimeout is the minimum time that an entry waits for its own state to come back from a
	// delegate. It allows for three hops and a busy processor.
	forwardTimeout = 300 * time.Millisecond
	// forwardLagFactor times the latest forwardLag is the time to wait if that is longer. Delegates
	// that are only slow under load must not cause direct messages to all entries.
	forwardLagFactor = 3
	// spreadTimeout is the time within which an urgent state reaches all entries, even if the delegates
	// of the zone fail, direct messages are sent instead, and one message is lost.
	spreadTimeout = 4 * forwardTimeout
	// maxForwardAge bounds the age of a forwarded state. clockSlack bounds how far the send time of a
	// forwarded state may be ahead of the clock of its entry, as estimated from the entry's messages.
	maxForwardAge = 10 * time.Second
	clockSlack    = time.Second
	// maxBundleBytes bounds the encoded states in one bundle, unless a single state is larger.
	maxBundleBytes = 16 << 10
)

// usesDelegates reports whether the deployment is so large that urgent states go through delegates.
func (n *Node) usesDelegates() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return roster.ByZone(n.entryCount())
}

// spreadUrgent spreads the own state on each call of SendNow, through delegates or by a round of direct
// messages, until ctx is done.
func (n *Node) spreadUrgent(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.spreadRequested:
		}
		if !n.usesDelegates() {
			n.Broadcast()
			continue
		}
		n.spreadOwn(ctx)
		sleep(ctx, n.settings.UrgentInterval)
	}
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// spreadOwn sends the own state to the delegates of the zone. If it does not come back from a delegate
// in time, direct messages to all entries follow.
func (n *Node) spreadOwn(ctx context.Context) {
	s, now := n.collect(), n.now()
	uptime := now.Sub(n.start)
	version, body, err := encodeBody(n.settings, s, uptime, now)
	if err != nil {
		n.rec.Note(events.GossipRejected, "", "peer", n.settings.Name, "error", err)
		return
	}
	own := stateUpdate{version: version, body: body, made: now}
	n.mu.Lock()
	defer n.mu.Unlock()
	delegates := n.delegatesOf(n.settings.Zone, now)
	if slices.Contains(delegates, n.settings.Name) {
		n.outbox.zone.states[n.settings.Name], n.outbox.otherDelegates.states[n.settings.Name] = own, own
		signal(n.forwardDue)
		return
	}
	for _, name := range delegates {
		n.writeBundle(n.peers[name], bundleBody{Part: toOwnDelegates, States: []wireState{own.toWire(n.now())}}, now)
	}
	sent := uptime.Nanoseconds() + 1
	time.AfterFunc(max(forwardTimeout, forwardLagFactor*n.forwardLag), func() {
		if ctx.Err() != nil || n.ownStateForwarded(sent) {
			return
		}
		n.rec.Note(events.NewsNotPassedOn, "", "delegates", delegates)
		n.Broadcast()
		if n.retryForward() {
			n.SendNow()
		}
	})
}

// maxForwardRetries is the number of times that an own state is sent to the delegates again.
const maxForwardRetries = 2

// retryForward counts an own state that was not forwarded, and reports whether it is sent to the
// delegates again. Failed delegates may have been replaced by then.
func (n *Node) retryForward() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.failedForwards++
	return n.failedForwards <= maxForwardRetries
}

// ownStateForwarded reports whether the own state of a send time, or a later one, came back from a
// delegate, and counts it if not.
func (n *Node) ownStateForwarded(sent int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownForwarded < sent {
		n.stats.NotForwarded++
		return false
	}
	n.failedForwards = 0
	return true
}

// delegatesOf returns the names of the delegates of a zone, chosen among this entry and the live peers
// that are not stale. The caller must hold n.mu.
func (n *Node) delegatesOf(zone string, now time.Time) []string {
	var candidates []roster.Candidate
	if zone == n.settings.Zone {
		candidates = append(candidates, roster.Candidate{Name: n.settings.Name, Zone: zone, Size: n.settings.Entry.Size})
	}
	for name, p := range n.peers {
		if !p.silent && p.State.Zone == zone && now.Sub(p.Heard) <= n.groupStaleAfter(n.group(p)) {
			candidates = append(candidates, roster.Candidate{Name: name, Zone: zone, Size: p.Size})
		}
	}
	var out []string
	for _, c := range roster.Delegates(candidates, zone) {
		out = append(out, c.Name)
	}
	return out
}

// updateDelegates determines the delegates of all zones; a small deployment has none. If this entry is
// a delegate, it reports silent entries. Delegates are near each other, with the message interval of
// entries in one zone, so that a failed delegate is detected and replaced soon. The caller must hold
// n.mu.
func (n *Node) updateDelegates(now time.Time) {
	n.delegate, n.delegatesUpdated = false, now
	for _, p := range n.peers {
		p.delegate = false
	}
	if !roster.ByZone(n.entryCount()) {
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
	n.countGroups()
	if n.delegate {
		n.reportSilent(now)
	}
}

// forwardLoop sends the outbox whenever something is queued, until ctx is done.
func (n *Node) forwardLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.forwardDue:
		}
		messages := n.forward()
		sleep(ctx, max(forwardInterval, time.Duration(messages)*time.Second/maxForwardRate))
	}
}

// forward sends the outbox, and returns the number of messages.
func (n *Node) forward() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	out := n.outbox
	n.outbox = newOutbox()
	messages := 0
	defer func() { n.stats.Forwarded += messages }()
	for _, p := range n.peers {
		if p.silent || p.State.Zone != n.settings.Zone {
			continue
		}
		messages += n.writeBundles(p, toZone, out.zone, now)
	}
	if out.otherDelegates.empty() {
		return messages
	}
	for _, zone := range n.otherZones() {
		for _, name := range n.delegatesOf(zone, now) {
			messages += n.writeBundles(n.peers[name], toOtherDelegates, out.otherDelegates, now)
		}
	}
	return messages
}

// otherZones returns the zones of the live peers, without the own zone. The caller must hold n.mu.
func (n *Node) otherZones() []string {
	var out []string
	for _, p := range n.peers {
		if zone := p.State.Zone; !p.silent && zone != "" && zone != n.settings.Zone && !slices.Contains(out, zone) {
			out = append(out, zone)
		}
	}
	return out
}
