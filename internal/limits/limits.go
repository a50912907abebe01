// Package limits holds what limited upstreams say that they take, so many requests a second
// from all entries together, and shares it among the entries: each asks for a permit before it
// sends a request to such an upstream.
//
// For each start of an upstream one entry grants the permits, the one with the highest hash
// over those that hear each other. Parts for each entry would be too small where a few requests
// a second are shared by hundreds, or too many where each may send one at any moment. Nothing
// is asked or told while no upstream names a limit.
package limits

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/sparshore/sparshore/internal/events"
)

// Others are the other entries of the deployment. The functions are called with the Set locked
// and must not call it.
type Others struct {
	// Heard returns those that are heard, also lately.
	Heard func() []Entry
	// Send sends a message to an entry. It may be lost.
	Send func(to string, m Message)
	// Urge asks for a round of messages to all others at once.
	Urge func()
	// Told is the time within which all know what they were urged to hear.
	Told func() time.Duration
	// Way is the usual time of a message there and back.
	Way func() time.Duration
}

// Set holds the limits that are in force, by start of an upstream. It is safe for concurrent
// use.
type Set struct {
	// name is the entry's own, and life tells its starts apart.
	name   string
	life   string
	others Others
	rec    *events.Recorder
	now    func() time.Time
	// inForce counts the limits in force. While there is none, nothing else is looked at.
	inForce atomic.Int64

	mu     sync.Mutex
	limits map[string]*limit
	// full is set while more upstreams name limits than are remembered.
	full bool
	// peers are the other entries that told of limits.
	peers map[string]*peer
	// listed is the number of entries in the list of entries; 0 while that is not known.
	listed int
	// leaves is set once this entry stops: another one is to grant.
	leaves bool
	// newsUntil is until when all others are told.
	newsUntil time.Time
	// lastID is the identifier of the latest question, and asked are those under way.
	lastID uint64
	asked  map[uint64]chan Answer
	// answered are the latest answers: a question may come twice.
	answered map[questionKey]answered
}

// mostLimits bounds the upstreams whose limits are remembered.
const mostLimits = 4096

// limit is what is known of the limit of one start of an upstream.
type limit struct {
	// rate is what it takes, in requests a second.
	rate float64
	// namedAt is when it is last known to have named a limit, and overAt when it is last
	// known to have none. Both err on the side of the limit: an answer came after it was
	// made, and was made after it was asked for.
	namedAt time.Time
	overAt  time.Time
	// own is what this entry read itself. Only that is told to others: what is heard looks
	// younger each time it is passed on.
	own Word
	// since is when the limit came into force.
	since time.Time
	// closedUntil is when a permit is to be had again.
	closedUntil time.Time
	// reached counts the refusals since reachedNoted, when one was last noted.
	reached      int
	reachedNoted time.Time

	// granter is the entry that grants permits, as of the latest look.
	granter string
	// bucket holds what this entry may grant, from grantsFrom on, while it is the granter.
	bucket     *rate.Limiter
	grantsFrom time.Time
}

// holds reports whether the limit is in force.
func (l *limit) holds() bool { return !l.namedAt.IsZero() && !l.overAt.After(l.namedAt) }

// New returns a Set for a life of an entry, in which no upstream has a limit.
func New(name, life string, others Others, rec *events.Recorder, now func() time.Time) *Set {
	return &Set{
		name: name, life: life, peers: map[string]*peer{}, others: others, rec: rec, now: now, limits: map[string]*limit{},
		// A question of an earlier start of this entry must not be taken for one of this.
		lastID: rand.Uint64(), asked: map[uint64]chan Answer{}, answered: map[questionKey]answered{},
	}
}

// Any reports whether any limit is in force.
func (s *Set) Any() bool { return s.inForce.Load() > 0 }

// Listed sets how many entries the list of entries holds.
func (s *Set) Listed(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = n
}

// Leave makes another entry grant permits, if there is one: this one stops.
func (s *Set) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves = true
}

// NoLimit is the rate of an upstream that has no limit.
const NoLimit = -1.0

// Rate returns what an upstream takes, in requests a second; NoLimit if it names no limit.
func (s *Set) Rate(start string) float64 {
	if !s.Any() {
		return NoLimit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.inForceOf(start); l != nil {
		return l.rate
	}
	return NoLimit
}

// inForceOf returns the limit of a start, nil if none is in force. It needs the lock.
func (s *Set) inForceOf(start string) *limit {
	if l, ok := s.limits[start]; ok && l.holds() {
		return l
	}
	return nil
}

// State is a limit in force.
type State struct {
	// Upstream is the start of the upstream, and Rate what it takes in requests a second.
	Upstream string
	Rate     float64
	// Since is when this entry first knew of it, and Named when it is last known to have
	// been named.
	Since time.Time
	Named time.Time
	// Granter is the entry that grants permits, as of the latest request; empty while
	// there was none.
	Granter string
}

// List returns the limits in force, in order of the upstreams.
func (s *Set) List() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []State
	for start, l := range s.limits {
		if l.holds() {
			out = append(out, State{Upstream: start, Rate: l.rate, Since: l.since, Named: l.namedAt, Granter: l.granter})
		}
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// Named notes that an answer of a start of an upstream names a limit, in requests a second.
func (s *Set) Named(start string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if l := s.named(start, perSecond, now, ownAnswer); l != nil {
		l.own.Rate, l.own.Named = perSecond, now
	}
}

// ownAnswer is the source of what this entry read in an answer itself.
const ownAnswer = "own answer"

// Unnamed notes that a whole answer of a start of an upstream names no limit; asked is when
// its request was sent.
func (s *Set) Unnamed(start string, asked time.Time) {
	if !s.Any() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.over(start, asked, ownAnswer); l != nil {
		l.own.Over = asked
	}
}

// named takes over that a limit was named at a time; nil if that is no news or cannot be
// remembered. It needs the lock.
func (s *Set) named(start string, perSecond float64, at time.Time, source string) *limit {
	l, ok := s.limits[start]
	if !ok {
		if !s.room() {
			return nil
		}
		l = &limit{}
		s.limits[start] = l
	}
	if !at.After(l.namedAt) {
		return nil
	}
	held, before := l.holds(), l.rate
	l.namedAt, l.rate = at, perSecond
	if !l.holds() || held && before == perSecond {
		return l
	}
	if !held {
		l.since, l.closedUntil, l.granter, l.bucket = s.now(), time.Time{}, "", nil
		s.inForce.Add(1)
		before = NoLimit
	}
	s.rec.Note(events.LimitNamed, "", "upstream", start, "rate", perSecond, "before", before, "age", s.now().Sub(at), "source", source)
	s.news()
	return l
}

// room reports whether one more upstream can be remembered. It needs the lock.
func (s *Set) room() bool {
	full := len(s.limits) >= mostLimits
	if full && !s.full {
		s.rec.Note(events.LimitRejected, "", "why", "too many upstreams name limits", "most", mostLimits)
	}
	s.full = full
	return !full
}

// over takes over that a start had no limit at a time; nil if that is no news. It needs the
// lock.
func (s *Set) over(start string, at time.Time, source string) *limit {
	l, ok := s.limits[start]
	if !ok || !at.After(l.overAt) {
		return nil
	}
	held := l.holds()
	l.overAt = at
	if held && !l.holds() {
		s.inForce.Add(-1)
		s.rec.Note(events.LimitOver, "", "upstream", start, "rate", l.rate, "lasted", s.now().Sub(l.since), "source", source)
		s.news()
	}
	return l
}

// Sweep forgets the limits of starts that are not there any more, and old answers.
func (s *Set) Sweep(there func(start string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for start, l := range s.limits {
		// Others may tell of a start whose row is not known yet.
		if there(start) || now.Sub(l.since) < rowWithin && now.Sub(l.namedAt) < rowWithin {
			continue
		}
		if l.holds() {
			s.inForce.Add(-1)
		}
		delete(s.limits, start)
	}
	s.forgetAnswers()
}

// rowWithin is the time in which the row of a start is known, also while the store is slow.
const rowWithin = 10 * time.Second

// Alone returns the Others of a process that is the only one to send requests to its upstreams.
func Alone() Others {
	return Others{
		Heard: func() []Entry { return nil }, Send: func(string, Message) {},
		Urge: func() {}, Told: func() time.Duration { return 0 }, Way: func() time.Duration { return 0 },
	}
}
