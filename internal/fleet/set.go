// Package fleet is what an entry believes about the upstreams it sends requests
// to: who is there, who is leaving, and how well each has served lately.
package fleet

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Record is what an upstream's own entry in the store says. An upstream may start
// again under the name that it had.
type Record struct {
	// ID is different for each start of an upstream. A Set gives it.
	ID string
	// Name is the upstream's own identifier, which is the key of its row.
	Name string
	// Born is the Unix millisecond of the start by the upstream's clock; 0 if it does
	// not say.
	Born int64
	// Version is the store's version of the row; 0 if that is not known.
	Version int64
	Service string
	Address string
	Zone    string
	Slots   int
	// Leaving marks an upstream that wants no new work.
	Leaving bool
	// ColdFor is how much longer the upstream is slow from its start, counted
	// from the time it wrote the record.
	ColdFor time.Duration
}

// Gone is an upstream whose row is no longer in the store.
type Gone struct {
	Name string
	// Version is the store's version of the removal; 0 if that is not known.
	Version int64
}

// State is what an entry believes about one upstream.
type State int

// The states of an upstream.
const (
	// Serving upstreams get new work.
	Serving State = iota
	// Lapsed upstreams vanished from the store around an outage; they get work
	// only when no other upstream can take it.
	Lapsed
	// Leaving upstreams get no new work and their streams are moved away.
	Leaving
)

// Upstream is a view of one upstream at one moment.
type Upstream struct {
	Record
	state     State
	coldUntil time.Time
	failures  float64
	avoid     time.Time
	faultAt   time.Time
	backOff   time.Time
}

// State returns whether the upstream takes new work.
func (u Upstream) State() State { return u.state }

// ColdUntil returns when the upstream is expected to run at full speed.
func (u Upstream) ColdUntil() time.Time { return u.coldUntil }

// FailureRate returns the recent part of requests that the upstream failed.
func (u Upstream) FailureRate() float64 { return u.failures }

// Suspect reports whether any entry met a fault of the upstream lately.
func (u Upstream) Suspect(now time.Time) bool {
	return !u.faultAt.IsZero() && now.Before(u.faultAt.Add(suspectFor))
}

// AvoidUntil returns until when the upstream is to be used only if no other can.
func (u Upstream) AvoidUntil() time.Time { return u.avoid }

// BackOffUntil returns until when the upstream wants no requests of this entry, by its own word; zero
// if it never asked for that.
func (u Upstream) BackOffUntil() time.Time { return u.backOff }

// InBackOff reports whether the upstream wants no requests of this entry now.
func (u Upstream) InBackOff(now time.Time) bool { return now.Before(u.backOff) }

// Set holds all upstreams.
type Set struct {
	rec *events.Recorder
	now func() time.Time

	mu   sync.Mutex
	byID map[string]*member
	// present is the latest start of each upstream, by name; it is in byID as well.
	present map[string]*member
	changed func(id string)
	// left are the times at which upstreams began to leave, by service.
	left map[string][]time.Time
	// serving lists the upstreams that serve, by service; nil after a change, until
	// it is needed.
	serving map[string][]string
	// closed are the zones whose upstreams get no new work.
	closed map[string]bool
	// restored is set while the first records after the store was restored from a copy are taken over.
	restored bool
	// backOffUntil is not before the end of any upstream's back-off.
	backOffUntil time.Time
}

type member struct {
	Upstream
	// firstHand is set when the upstream itself said that it leaves: nothing
	// brings it back. One that was missing, or of which only another entry said
	// so, serves again when its record is there.
	firstHand bool
	// saidAt is when that was learnt.
	saidAt time.Time
	// unwritten is set from the store's return from a copy until a row of this start is read: what is
	// known of it is from before.
	unwritten bool
	// unreadable is set while its record is there but cannot be read.
	unreadable bool
	// until ends a lapse, or the time for which one that left is remembered.
	until time.Time
	// backOffAt is when it last asked for back-off.
	backOffAt time.Time
	// backOffUsed is set once a request went to it while it rested.
	backOffUsed bool
	// ownFault is when a request of this entry last met a fault.
	ownFault time.Time
	// failedAt are the times at which it lately failed requests of this entry, and
	// peerFailed what other entries say.
	failedAt   []time.Time
	peerFailed map[string]peerFailures
}

// New returns an empty Set; changed is called, without locks held, with the
// identifier of each upstream that starts to leave.
func New(rec *events.Recorder, now func() time.Time, changed func(id string)) *Set {
	return &Set{rec: rec, now: now, byID: map[string]*member{}, present: map[string]*member{}, changed: changed, left: map[string][]time.Time{}}
}

// Update takes over the records of upstreams. full says that they are all there
// are. Those missing are taken as gone, unless settled lies in the future: then
// they have until that time to come back. A record of a start that is not known ends the
// one before; see latest.
func (s *Set) Update(records []Record, gone []Gone, full bool, settled time.Time) {
	s.update(records, nil, gone, full, settled)
}

func (s *Set) update(records []Record, unreadable []string, gone []Gone, full bool, settled time.Time) {
	s.mu.Lock()
	var left []string
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.Name] = true
		if id, began := s.put(r); began {
			left = append(left, id)
		}
	}
	s.hold(unreadable, seen)
	if full {
		for name := range s.present {
			if !seen[name] {
				gone = append(gone, Gone{Name: name})
			}
		}
	}
	for _, g := range gone {
		if id, began := s.missing(g, settled); began {
			left = append(left, id)
		}
	}
	s.mu.Unlock()
	for _, id := range left {
		s.changed(id)
	}
}

// put takes over one record; it returns the identifier of the start that the record is
// of, and whether that begins to leave.
func (s *Set) put(r Record) (id string, began bool) {
	before := s.present[r.Name]
	r, ok := s.latest(r)
	if !ok {
		return "", false
	}
	m, ok := s.byID[r.ID]
	if !ok {
		m = s.begin(r)
		m.takeBackOff(before)
		s.doubt(m, before)
	}
	r.Version = max(r.Version, m.Version)
	m.Record, m.unwritten = r, false
	s.release(m)
	// A copy may be from before its row went.
	stale := s.restored && m.state == Leaving
	if !stale {
		// While its row is there, it is neither lapsed nor gone.
		m.until = time.Time{}
	}
	m.coldUntil = s.now().Add(r.ColdFor)
	if r.Leaving {
		s.said(m)
		return r.ID, s.leave(m, "own record")
	}
	if m.state != Serving && !m.firstHand && !stale {
		m.state = Serving
		s.serving = nil
		s.rec.Note(events.UpstreamBack, "", "upstream", r.ID)
	}
	return r.ID, false
}

// leave notes that an upstream leaves; it returns false if that was known.
func (s *Set) leave(m *member, source string) bool {
	was := m.state
	m.state = Leaving
	s.serving = nil
	if was == Leaving {
		return false
	}
	s.rec.Note(events.UpstreamLeaving, "", "upstream", m.ID, "source", source)
	s.noteLeft(m.Service)
	return true
}

// missing handles an upstream that is no longer in the store. One that leaves
// without a word still serves for a short time.
func (s *Set) missing(g Gone, settled time.Time) (id string, began bool) {
	m, ok := s.present[g.Name]
	if !ok {
		return "", false
	}
	if g.Version != 0 && g.Version < m.Version {
		s.rec.Note(events.UpstreamOldNews, "", "upstream", m.ID, "news", "its row is gone", "version", g.Version, "known-version", m.Version)
		return "", false
	}
	if s.now().Before(settled) && m.state != Leaving {
		if m.state != Lapsed {
			s.rec.Note(events.UpstreamLapsed, "", "upstream", m.ID, "until", settled.Sub(s.now()))
		}
		m.state, m.until = Lapsed, settled
		s.serving = nil
		return "", false
	}
	return m.ID, s.drop(m)
}

// keepGone is how long an upstream that left the store is remembered, so that
// its streams can be moved: the longest notice seen is a few seconds.
const keepGone = 15 * time.Second

func (s *Set) drop(m *member) bool {
	m.until = s.now().Add(keepGone)
	return s.leave(m, "missing in the store")
}

// Sweep ends lapses whose time is over and forgets upstreams long gone.
func (s *Set) Sweep() {
	s.mu.Lock()
	now := s.now()
	var left []string
	for id, m := range s.byID {
		if m.until.IsZero() || now.Before(m.until) {
			continue
		}
		switch m.state {
		case Lapsed:
			if s.drop(m) {
				left = append(left, id)
			}
		case Leaving:
			s.forget(m)
			s.rec.Note(events.UpstreamGone, "", "upstream", id)
		case Serving:
			m.until = time.Time{}
		}
	}
	s.mu.Unlock()
	for _, id := range left {
		s.changed(id)
	}
}

// MarkLeaving notes that an upstream leaves by the word of another.
func (s *Set) MarkLeaving(id, source string) { s.mark(id, source, false) }

// ReportedLeaving notes that an upstream said of itself that it leaves.
func (s *Set) ReportedLeaving(id string) { s.mark(id, "own report", true) }

// AnsweredLeaving notes that an upstream said in an answer that it leaves; it returns whether
// that is news.
func (s *Set) AnsweredLeaving(id string) bool { return s.mark(id, "own answer", true) }

// PeerLeaving takes over which upstreams said themselves that they leave, by the word of another
// entry. An upstream never takes such a word back, so no record does either.
func (s *Set) PeerLeaving(entry string, ids []string) {
	for _, id := range ids {
		s.mark(id, entry, true)
	}
}

// mark notes that an upstream leaves; firstHand tells that it said so itself. It returns whether
// that is news.
func (s *Set) mark(id, source string, firstHand bool) bool {
	s.mu.Lock()
	m, ok := s.byID[id]
	if !ok {
		s.mu.Unlock()
		return false
	}
	if m.state == Lapsed {
		// Its row may be away for longer than a lapse lasts.
		m.until = later(m.until, s.now().Add(keepGone))
	}
	left := s.leave(m, source)
	news := left
	if firstHand {
		news = s.said(m)
	}
	s.mu.Unlock()
	if left {
		s.changed(id)
	}
	return news
}

// Get returns one upstream.
func (s *Set) Get(id string) (Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return Upstream{}, false
	}
	return m.Upstream, true
}

// All returns all upstreams that are known.
func (s *Set) All() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Upstream, 0, len(s.byID))
	for _, m := range s.byID {
		out = append(out, m.Upstream)
	}
	return out
}

// Of returns the upstreams of a service that take new work: those that serve,
// or the lapsed ones if none does. BenchmarkOf, four upstreams of a plain service beside 870
// engines: 19 us with a walk over all of them, 1.4 us with the list of those that serve.
func (s *Set) Of(service string) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := s.servingIDs(service)
	if len(ids) == 0 {
		return s.lapsed(service)
	}
	serving := make([]Upstream, len(ids))
	for i, id := range ids {
		serving[i] = s.byID[id].Upstream
	}
	return serving
}

// lapsed returns the lapsed upstreams of a service. It needs the lock.
func (s *Set) lapsed(service string) []Upstream {
	var out []Upstream
	for _, m := range s.byID {
		if m.Service == service && m.state == Lapsed && s.mayWork(m) {
			out = append(out, m.Upstream)
		}
	}
	return out
}

// Some returns up to most upstreams of a service that serve, drawn anew each time,
// and whether these are all that take new work; random returns a number below n.
func (s *Set) Some(service string, most int, random func(n int) int) (list []Upstream, all bool) {
	s.mu.Lock()
	ids := s.servingIDs(service)
	if len(ids) <= most {
		s.mu.Unlock()
		return s.Of(service), true
	}
	defer s.mu.Unlock()
	list = make([]Upstream, 0, most)
	// A run from a random place is as good as a draw: the order tells nothing.
	start := random(len(ids))
	for i := range most {
		list = append(list, s.byID[ids[(start+i)%len(ids)]].Upstream)
	}
	return list, false
}

// servingIDs returns the upstreams of a service that serve. It needs the lock.
func (s *Set) servingIDs(service string) []string {
	if s.serving == nil {
		s.serving = map[string][]string{}
		for id, m := range s.byID {
			if m.state == Serving && s.mayWork(m) {
				s.serving[m.Service] = append(s.serving[m.Service], id)
			}
		}
	}
	return s.serving[service]
}

// said notes that an upstream itself said that it leaves; it returns whether that is news. It needs
// the lock.
func (s *Set) said(m *member) bool {
	if m.firstHand {
		return false
	}
	m.firstHand, m.saidAt = true, s.now()
	return true
}

// tellLeaving is how long other entries are told of an upstream that leaves: some
// messages to each. Told for the 15 s for which one is remembered, 20 engines that left
// within 3 s doubled the size of all messages.
const tellLeaving = 2 * time.Second

// mostUnwritten bounds the upstreams of which others are told for longer, since their records do
// not say that they leave.
const mostUnwritten = 32

// KnownLeaving returns the upstreams that lately said themselves that they leave, and those whose
// records do not say so: an entry that starts now learns it from nothing else.
func (s *Set) KnownLeaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, unwritten := s.now(), 0
	var out []string
	for id, m := range s.byID {
		if m.state != Leaving || !m.firstHand {
			continue
		}
		lately := now.Sub(m.saidAt) < tellLeaving
		if !lately && !m.Leaving {
			unwritten++
		}
		if lately || !m.Leaving && unwritten <= mostUnwritten {
			out = append(out, id)
		}
	}
	return out
}
