package gossip

import (
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

// With many entries nobody sends what is urgent to all others himself. It goes to the delegates of
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

// bundleBody holds states that are passed on.
type bundleBody struct {
	_    struct{} `cbor:",toarray"`
	From string
	// Part is the part of the way that the message goes.
	Part   int
	States []wireState
	// Silent are entries of the sender's zone that its delegate does not hear any more.
	Silent []wireSilent
}

// wireSilent is an entry that is not heard.
type wireSilent struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Life string
}

// wireState is the body of a message with a state, as its entry encoded it.
type wireState struct {
	_       struct{} `cbor:",toarray"`
	Version int
	// HeldUS is the time since the entry made it, without the ways, in microseconds.
	HeldUS int64
	Body   cbor.RawMessage
}

// news is a state on its way.
type news struct {
	version int
	body    []byte
	// made is a steady time that is not before the moment at which the state was made.
	made time.Time
}

// outbox holds what is to be passed on to the own zone and to the delegates of others: the newest
// state of each entry, and the entries that fell silent.
type outbox struct {
	zone, others parcel
}

// parcel is what is passed on to some entries, by name.
type parcel struct {
	states map[string]news
	silent map[string]wireSilent
}

func newParcel() parcel { return parcel{states: map[string]news{}, silent: map[string]wireSilent{}} }

func newOutbox() outbox { return outbox{zone: newParcel(), others: newParcel()} }

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

func (p parcel) empty() bool { return len(p.states) == 0 && len(p.silent) == 0 }

// wire is the news as it is sent now.
func (w news) wire(now time.Time) wireState {
	return wireState{Version: w.version, HeldUS: now.Sub(w.made).Microseconds(), Body: w.body}
}

// writeBundles sends a parcel to a peer in as many messages as it needs. It needs the lock.
func (n *Node) writeBundles(p *peer, part int, all parcel, now time.Time) (messages int) {
	if all.empty() {
		return 0
	}
	b := bundleBody{Part: part, Silent: slices.Collect(maps.Values(all.silent))}
	size := 0
	for _, one := range all.states {
		if size > 0 && size+len(one.body) > mostBundle {
			n.writeBundle(p, b, now)
			messages++
			b, size = bundleBody{Part: part}, 0
		}
		b.States = append(b.States, one.wire(now))
		size += len(one.body)
	}
	n.writeBundle(p, b, now)
	return messages + 1
}

// writeBundle sends a bundle to a peer. It needs the lock.
func (n *Node) writeBundle(p *peer, b bundleBody, now time.Time) {
	b.From = n.settings.Name
	body, err := cbor.Marshal(b)
	if err != nil {
		n.reject(p.addr, err)
		return
	}
	n.write(p, formatBundle, body, now)
}

// takeBundle takes over states that were passed on, and passes on those that are new.
func (n *Node) takeBundle(d datagram, addr net.Addr) error {
	var b bundleBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil {
		return fmt.Errorf("%w: bundle: %v", ErrMessage, err)
	}
	now := n.now()
	for _, s := range b.States {
		m, err := decodeState(datagram{Format: s.Version, Body: s.Body})
		if err != nil {
			n.reject(addr, err)
			continue
		}
		held := time.Duration(s.HeldUS) * time.Microsecond
		if held < 0 || held > mostHeld {
			n.reject(addr, fmt.Errorf("%w: a state of %s was held for %s", ErrMessage, m.body.From, held))
			continue
		}
		n.takePassed(m, b.Part, news{version: s.Version, body: s.Body, made: now.Add(-held)})
	}
	n.takeSilent(b)
	return nil
}

// takePassed takes over one state that was passed on.
func (n *Node) takePassed(m message, part int, one news) {
	if m.body.From == n.settings.Name {
		n.heardOwn(m)
		return
	}
	s, fresh := n.freshState(m, part, one)
	if fresh {
		n.heard(m.body.From, s)
	}
}

// heardOwn notes that a delegate has passed the own state on.
func (n *Node) heardOwn(m message) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if m.body.Life == n.settings.Life && m.body.Sent > n.ownPassed {
		n.ownPassed, n.lag = m.body.Sent, n.now().Sub(n.start)-time.Duration(m.body.Sent)
	}
}

// freshState returns what a state tells that was passed on, if it is newer than what is known of
// its entry, and has it passed on. How old the routes of that entry are, and when it heard this
// one, is proved only by what it sends itself, so that is kept as it was.
func (n *Node) freshState(m message, part int, one news) (s State, fresh bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.peers[m.body.From]
	if !ok || p.lost || p.life != m.body.Life || m.body.Sent <= p.newest || n.ahead(p, m.body.Sent) {
		return State{}, false
	}
	s = m.state(one.made)
	s.Routes, s.Confirmed, s.HeardUs = p.State.Routes, p.State.Confirmed, p.State.HeardUs
	p.State, p.newest = s, m.body.Sent
	if part == toZone {
		return s, true
	}
	n.out.zone.states[m.body.From] = one
	if part == toOwnDelegates {
		n.out.others.states[m.body.From] = one
	}
	ask(n.passing)
	return s, true
}

// silentToldFor is the time for which it is told that an entry is not heard: until the delegates
// that failed at the same moment are replaced.
const silentToldFor = 2 * time.Second

// ahead reports whether an entry cannot have sent anything yet at a time of its clock: a state of
// such a time would keep all later ones from being taken. It needs the lock.
func (n *Node) ahead(p *peer, sent int64) bool {
	return time.Duration(sent-p.echo) > n.now().Sub(p.Heard)+clockSlack
}

// tellSilent has it passed on which entries of the own zone are not heard any more: those of other
// zones would notice much later. It needs the lock.
func (n *Node) tellSilent(now time.Time) {
	for name, p := range n.peers {
		if p.lost && p.State.Zone == n.settings.Zone && now.Sub(p.lostAt) < silentToldFor {
			n.out.others.silent[name] = wireSilent{Name: name, Life: p.life}
			ask(n.passing)
		}
	}
}

// silentFor is the number of regular messages that an entry has missed when the word of others of
// its zone is believed.
const silentFor = 1.5

// takeSilent doubts the entries that others of their zone do not hear.
func (n *Node) takeSilent(b bundleBody) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range b.Silent {
		p, ok := n.peers[w.Name]
		if !ok || p.life != w.Life || !n.mayDoubt(b.From, p) {
			continue
		}
		p.doubted = true
		if b.Part == toOtherDelegates {
			n.out.zone.silent[w.Name] = w
			ask(n.passing)
		}
	}
}

// silenceToForget is the silence after which an entry is forgotten: sooner if others of its zone
// do not hear it either. It needs the lock.
func (n *Node) silenceToForget(p *peer) time.Duration {
	every, _, forget := n.settings.timing(n.sizes[n.group(p)])
	if p.doubted {
		return min(time.Duration(silentFor*float64(every)), forget)
	}
	return forget
}

// mayDoubt reports whether what an entry says of another one raises a doubt: it is of that one's
// zone, or of the own one, which passes it on. It needs the lock.
func (n *Node) mayDoubt(from string, of *peer) bool {
	p, ok := n.peers[from]
	return ok && !p.lost && (p.State.Zone == of.State.Zone || p.State.Zone == n.settings.Zone)
}

// lose forgets an entry that is not heard. It needs the lock.
func (n *Node) lose(name string, p *peer, now time.Time) {
	p.lost, p.lostAt = true, now
	n.rec.Note(events.EntrySilent, "", "peer", name, "heard-before", now.Sub(p.Heard))
}
