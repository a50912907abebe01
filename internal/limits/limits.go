// Package limits keeps the rates of requests that upstreams advertise, each for all entries
// together. Before the gateway or a sidecar sends a request to a limited upstream, it takes a
// permit from the Set of its entry. Together, the permits keep to the limit, apart from short bursts
// and the time in which the entries do not agree on who grants permits.
//
// For each incarnation of an upstream, one entry grants the permits from a token bucket: the granter,
// which has the highest rendezvous hash among the entries that receive messages from each other.
// Fixed shares for each entry do not work if hundreds of entries share a few requests a second: a
// share is too small to use, or the total is too large if each entry may send a request at any
// moment. No messages are sent while no upstream advertises a limit.
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

// Peers connects a Set to the other entries of the deployment. The functions are called with the
// Set locked and must not call it.
type Peers struct {
	// LivePeers returns the entries whose messages arrive, including those that became silent
	// only recently.
	LivePeers func() []Entry
	// Send sends a message whose ages are as of the given time to an entry. The message may be lost.
	Send func(to string, m Message, at time.Time)
	// Broadcast requests an immediate round of messages to all other entries.
	Broadcast func()
	// BroadcastTime returns the time within which a round requested with Broadcast reaches all entries.
	BroadcastTime func() time.Duration
	// RoundTrip returns the usual round-trip time of a message.
	RoundTrip func() time.Duration
}

// Set holds the limits in force, by upstream incarnation, and grants permits or asks the granter for
// them. It is safe for concurrent use.
type Set struct {
	// name is the name of this entry, and ownIncarnation identifies its current incarnation.
	name           string
	ownIncarnation string
	others         Peers
	rec            *events.Recorder
	now            func() time.Time
	// inForceCount is the number of limits in force. While it is 0, permits need no lock.
	inForceCount atomic.Int64

	mu     sync.Mutex
	limits map[string]*limit
	// full is set while more upstreams advertise limits than maxLimits.
	full bool
	// peers holds the entries that sent messages about limits, by name.
	peers map[string]*peer
	// entryCount is the number of entries in the list of entries; 0 while it is unknown.
	entryCount int
	// stopping is set when this entry is about to stop and another one is to grant.
	stopping bool
	// announceUntil is the time until which each round goes to all entries.
	announceUntil time.Time
	// lastQuestionID is the ID of the latest question, and pending holds the unanswered ones.
	lastQuestionID uint64
	pending        map[uint64]chan Answer
	// answerCache holds the latest answers, since a question may arrive twice.
	answerCache map[questionKey]cachedAnswer
}

// maxLimits bounds the upstream incarnations whose limits are kept.
const maxLimits = 4096

// limit is what is known about the limit of one upstream incarnation.
type limit struct {
	// rate is the limit in requests a second.
	rate float64
	// advertisedAt is when the upstream is last known to have advertised a limit, and noLimitAt
	// when it is last known to have had none. Both err towards the limit: the former is when an
	// answer arrived, after it was made, and the latter when its request was sent, before it was
	// made.
	advertisedAt time.Time
	noLimitAt    time.Time
	// observed is what this entry read in answers itself. Only this is sent to others, since an
	// observation appears more recent each time it is passed on.
	observed Observation
	// since is when the limit came into force.
	since time.Time
	// closedUntil is when the next permit may be available.
	closedUntil time.Time
	// deniedCount counts the denials since deniedLoggedAt, when one was last logged.
	deniedCount    int
	deniedLoggedAt time.Time

	// granter is the entry that grants permits, as of the latest lookup.
	granter string
	// bucket holds the permits that this entry may grant from grantsFrom on, while it is the
	// granter.
	bucket     *rate.Limiter
	grantsFrom time.Time
}

// inForce reports whether the upstream is last known to have a limit.
func (l *limit) inForce() bool { return !l.advertisedAt.IsZero() && !l.noLimitAt.After(l.advertisedAt) }

// New returns a Set without limits for one incarnation of an entry, which ownIncarnation identifies.
func New(name, ownIncarnation string, others Peers, rec *events.Recorder, now func() time.Time) *Set {
	return &Set{
		name: name, ownIncarnation: ownIncarnation, peers: map[string]*peer{}, others: others, rec: rec, now: now, limits: map[string]*limit{},
		// A question of an earlier incarnation of this entry must not be taken for one of this incarnation.
		lastQuestionID: rand.Uint64(), pending: map[uint64]chan Answer{}, answerCache: map[questionKey]cachedAnswer{},
	}
}

// Any reports whether any limit is in force.
func (s *Set) Any() bool { return s.inForceCount.Load() > 0 }

// SetEntryCount sets the number of entries in the list of entries.
func (s *Set) SetEntryCount(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entryCount = n
}

// StopGranting makes another entry grant permits, if there is one that does not stop, because this
// entry stops.
func (s *Set) StopGranting() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopping = true
}

// NoLimit is the rate of an upstream without a limit.
const NoLimit = -1.0

// Rate returns the limit of an upstream incarnation in requests a second, or NoLimit.
func (s *Set) Rate(incarnation string) float64 {
	if !s.Any() {
		return NoLimit
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.limitInForce(incarnation); l != nil {
		return l.rate
	}
	return NoLimit
}

// limitInForce returns the limit of an incarnation, or nil if none is in force. The caller must hold s.mu.
func (s *Set) limitInForce(incarnation string) *limit {
	if l, ok := s.limits[incarnation]; ok && l.inForce() {
		return l
	}
	return nil
}

// State describes a limit in force.
type State struct {
	// Upstream is the incarnation of the upstream, and Rate its limit in requests a second.
	Upstream string
	Rate     float64
	// Since is when this entry learned of the limit, and AdvertisedAt when the upstream is last known to
	// have advertised it.
	Since        time.Time
	AdvertisedAt time.Time
	// Granter is the entry that grants permits, as of the latest request; empty if there was none
	// yet.
	Granter string
}

// List returns the limits in force, sorted by upstream.
func (s *Set) List() []State {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []State
	for incarnation, l := range s.limits {
		if l.inForce() {
			out = append(out, State{Upstream: incarnation, Rate: l.rate, Since: l.since, AdvertisedAt: l.advertisedAt, Granter: l.granter})
		}
	}
	slices.SortFunc(out, func(a, b State) int { return strings.Compare(a.Upstream, b.Upstream) })
	return out
}

// NoteLimit records that an answer of an upstream incarnation advertised a limit in requests a second.
func (s *Set) NoteLimit(incarnation string, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if l := s.noteAdvertised(incarnation, perSecond, now, ownAnswer); l != nil {
		l.observed.Rate, l.observed.AdvertisedAt = perSecond, now
	}
}

// ownAnswer is the logged source of limits that this entry read in an answer itself.
const ownAnswer = "own answer"

// NoteNoLimit records that a complete answer of an upstream incarnation advertised no limit; sent is when its
// request was sent.
func (s *Set) NoteNoLimit(incarnation string, sent time.Time) {
	if !s.Any() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.noteNoLimit(incarnation, sent, ownAnswer); l != nil {
		l.observed.NoLimitAt = sent
	}
}

// noteAdvertised records that a limit was advertised at the given time. It returns nil if a later
// time is known or there is no room for the limit. The caller must hold s.mu.
func (s *Set) noteAdvertised(incarnation string, perSecond float64, at time.Time, source string) *limit {
	l, ok := s.limits[incarnation]
	if !ok {
		if !s.hasRoom() {
			return nil
		}
		l = &limit{}
		s.limits[incarnation] = l
	}
	if !at.After(l.advertisedAt) {
		return nil
	}
	wasInForce, previous := l.inForce(), l.rate
	l.advertisedAt, l.rate = at, perSecond
	if !l.inForce() || wasInForce && previous == perSecond {
		return l
	}
	if !wasInForce {
		l.since, l.closedUntil, l.granter, l.bucket = s.now(), time.Time{}, "", nil
		s.inForceCount.Add(1)
		previous = NoLimit
	}
	s.rec.Note(events.LimitNamed, "", "upstream", incarnation, "rate", perSecond, "before", previous, "age", s.now().Sub(at), "source", source)
	s.announce()
	return l
}

// hasRoom reports whether another limit can be kept. The caller must hold s.mu.
func (s *Set) hasRoom() bool {
	full := len(s.limits) >= maxLimits
	if full && !s.full {
		s.rec.Note(events.LimitRejected, "", "why", "too many upstreams name limits", "most", maxLimits)
	}
	s.full = full
	return !full
}

// noteNoLimit records that an incarnation had no limit at the given time. It returns nil if a later time
// is known. The caller must hold s.mu.
func (s *Set) noteNoLimit(incarnation string, at time.Time, source string) *limit {
	l, ok := s.limits[incarnation]
	if !ok || !at.After(l.noLimitAt) {
		return nil
	}
	wasInForce := l.inForce()
	l.noLimitAt = at
	if wasInForce && !l.inForce() {
		s.inForceCount.Add(-1)
		s.rec.Note(events.LimitOver, "", "upstream", incarnation, "rate", l.rate, "lasted", s.now().Sub(l.since), "source", source)
		s.announce()
	}
	return l
}

// Sweep drops the limits of incarnations that no longer exist, and old answers.
func (s *Set) Sweep(exists func(incarnation string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for incarnation, l := range s.limits {
		// Other entries may report an incarnation whose row has not been read here yet.
		if exists(incarnation) || now.Sub(l.since) < rowReadWithin && now.Sub(l.advertisedAt) < rowReadWithin {
			continue
		}
		if l.inForce() {
			s.inForceCount.Add(-1)
		}
		delete(s.limits, incarnation)
	}
	s.evictAnswers()
}

// rowReadWithin is the time within which the row of an incarnation is read, even while the store is slow.
const rowReadWithin = 10 * time.Second

// Alone returns the Peers of a process that is the only sender of requests to its upstreams.
func Alone() Peers {
	return Peers{
		LivePeers: func() []Entry { return nil }, Send: func(string, Message, time.Time) {},
		Broadcast: func() {}, BroadcastTime: func() time.Duration { return 0 }, RoundTrip: func() time.Duration { return 0 },
	}
}
