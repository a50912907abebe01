// Package limits holds what upstreams in need say that they take: so many requests a second
// from all entries together.
package limits

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Set holds the limits that are in force, by start of an upstream. It is safe for concurrent
// use.
type Set struct {
	rec *events.Recorder
	now func() time.Time
	// inForce counts the limits in force. While there is none, nothing else is looked at.
	inForce atomic.Int64

	mu     sync.Mutex
	limits map[string]*limit
	// full is set while more upstreams name limits than are remembered.
	full bool
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
	// since is when the limit came into force.
	since time.Time
}

// holds reports whether the limit is in force.
func (l *limit) holds() bool { return !l.namedAt.IsZero() && !l.overAt.After(l.namedAt) }

// New returns a Set in which no upstream has a limit.
func New(rec *events.Recorder, now func() time.Time) *Set {
	return &Set{rec: rec, now: now, limits: map[string]*limit{}}
}

// Any reports whether any limit is in force.
func (s *Set) Any() bool { return s.inForce.Load() > 0 }

// NoLimit is the rate of an upstream that has no limit.
const NoLimit = -1.0

// Rate returns what an upstream takes, in requests a second; NoLimit if it names no limit.
func (s *Set) Rate(start string) float64 {
	if !s.Any() {
		return NoLimit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.limits[start]; ok && l.holds() {
		return l.rate
	}
	return NoLimit
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
}

// List returns the limits in force, in order of the upstreams.
func (s *Set) List() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []State
	for start, l := range s.limits {
		if l.holds() {
			out = append(out, State{Upstream: start, Rate: l.rate, Since: l.since, Named: l.namedAt})
		}
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// Named notes that an answer of a start of an upstream names a limit, in requests a second.
func (s *Set) Named(start string, rate float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.named(start, rate, s.now(), ownAnswer)
}

// ownAnswer is the source of what this process read in an answer itself.
const ownAnswer = "own answer"

// Unnamed notes that a whole answer of a start of an upstream names no limit; asked is when
// its request was sent.
func (s *Set) Unnamed(start string, asked time.Time) {
	if !s.Any() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.over(start, asked, ownAnswer)
}

// named takes over that a limit was named at a time. It needs the lock.
func (s *Set) named(start string, rate float64, at time.Time, source string) {
	l, ok := s.limits[start]
	if !ok {
		if !s.room() {
			return
		}
		l = &limit{}
		s.limits[start] = l
	}
	if !at.After(l.namedAt) {
		return
	}
	held, before := l.holds(), l.rate
	l.namedAt, l.rate = at, rate
	switch {
	case !l.holds():
	case !held:
		l.since = s.now()
		s.inForce.Add(1)
		s.rec.Note(events.LimitNamed, "", "upstream", start, "rate", rate, "age", s.now().Sub(at), "source", source)
	case before != rate:
		s.rec.Note(events.LimitNamed, "", "upstream", start, "rate", rate, "before", before, "age", s.now().Sub(at), "source", source)
	}
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

// over takes over that a start had no limit at a time. It needs the lock.
func (s *Set) over(start string, at time.Time, source string) {
	l, ok := s.limits[start]
	if !ok || !at.After(l.overAt) {
		return
	}
	held := l.holds()
	l.overAt = at
	if held && !l.holds() {
		s.inForce.Add(-1)
		s.rec.Note(events.LimitOver, "", "upstream", start, "rate", l.rate, "lasted", s.now().Sub(l.since), "source", source)
	}
}

// Sweep forgets the limits of starts that are not there any more.
func (s *Set) Sweep(there func(start string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for start, l := range s.limits {
		if there(start) {
			continue
		}
		if l.holds() {
			s.inForce.Add(-1)
		}
		delete(s.limits, start)
	}
}
