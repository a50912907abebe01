// Package fleet is what an entry believes about the upstreams it sends requests
// to: who is there, who is leaving, and how well each has served lately.
package fleet

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Record is what an upstream's own entry in the store says. Each start of an
// upstream has an identifier of its own.
type Record struct {
	ID      string
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
	joined    time.Time
	coldUntil time.Time
	failures  float64
	avoid     time.Time
}

// State returns whether the upstream takes new work.
func (u Upstream) State() State { return u.state }

// Joined returns when this process first saw the upstream.
func (u Upstream) Joined() time.Time { return u.joined }

// ColdUntil returns when the upstream is expected to run at full speed.
func (u Upstream) ColdUntil() time.Time { return u.coldUntil }

// FailureRate returns the recent part of requests that the upstream failed.
func (u Upstream) FailureRate() float64 { return u.failures }

// AvoidUntil returns until when the upstream is to be used only if no other can.
func (u Upstream) AvoidUntil() time.Time { return u.avoid }

// Set holds all upstreams.
type Set struct {
	rec *events.Recorder
	now func() time.Time

	mu      sync.Mutex
	byID    map[string]*member
	changed func(id string)
}

type member struct {
	Upstream
	lapseUntil time.Time
}

// New returns an empty Set; changed is called, without locks held, with the
// identifier of each upstream that starts to leave.
func New(rec *events.Recorder, now func() time.Time, changed func(id string)) *Set {
	return &Set{rec: rec, now: now, byID: map[string]*member{}, changed: changed}
}

// Update takes over the records of upstreams. full says that they are all there
// are. Those missing are taken as gone, unless settled lies in the future: then
// they have until that time to come back.
func (s *Set) Update(records []Record, gone []string, full bool, settled time.Time) {
	s.mu.Lock()
	var left []string
	seen := make(map[string]bool, len(records))
	for _, r := range records {
		seen[r.ID] = true
		if s.put(r) {
			left = append(left, r.ID)
		}
	}
	if full {
		for id := range s.byID {
			if !seen[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if s.missing(id, settled) {
			left = append(left, id)
		}
	}
	s.mu.Unlock()
	for _, id := range left {
		s.changed(id)
	}
}

// put takes over one record; it returns true when the upstream starts to leave.
func (s *Set) put(r Record) bool {
	now := s.now()
	m, ok := s.byID[r.ID]
	if !ok {
		m = &member{Upstream: Upstream{joined: now}}
		s.byID[r.ID] = m
		s.rec.Note(events.UpstreamJoined, "", "upstream", r.ID, "service", r.Service, "zone", r.Zone, "address", r.Address, "cold-for", r.ColdFor)
	}
	m.Record = r
	m.coldUntil = now.Add(r.ColdFor)
	was := m.state
	switch {
	case r.Leaving:
		m.state = Leaving
	case was == Lapsed:
		m.state = Serving
		s.rec.Note(events.UpstreamBack, "", "upstream", r.ID)
	}
	if m.state != Leaving || was == Leaving {
		return false
	}
	s.rec.Note(events.UpstreamLeaving, "", "upstream", r.ID, "source", "record")
	return true
}

// missing handles an upstream that is no longer in the store. One that leaves
// without a word still serves for a short time.
func (s *Set) missing(id string, settled time.Time) bool {
	m, ok := s.byID[id]
	if !ok {
		return false
	}
	if s.now().Before(settled) && m.state != Leaving {
		if m.state != Lapsed {
			s.rec.Note(events.UpstreamLapsed, "", "upstream", id, "until", settled.Sub(s.now()))
		}
		m.state, m.lapseUntil = Lapsed, settled
		return false
	}
	return s.drop(m)
}

// keepGone is how long an upstream that left the store is remembered, so that
// its streams can be moved: the longest notice seen is a few seconds.
const keepGone = 15 * time.Second

func (s *Set) drop(m *member) bool {
	was := m.state
	m.state = Leaving
	m.lapseUntil = s.now().Add(keepGone)
	if was == Leaving {
		return false
	}
	s.rec.Note(events.UpstreamLeaving, "", "upstream", m.ID, "source", "missing")
	return true
}

// Sweep ends lapses whose time is over and forgets upstreams long gone.
func (s *Set) Sweep() {
	s.mu.Lock()
	now := s.now()
	var left []string
	for id, m := range s.byID {
		if m.lapseUntil.IsZero() || now.Before(m.lapseUntil) {
			continue
		}
		switch m.state {
		case Lapsed:
			if s.drop(m) {
				left = append(left, id)
			}
		case Leaving:
			delete(s.byID, id)
			s.rec.Note(events.UpstreamGone, "", "upstream", id)
		case Serving:
			m.lapseUntil = time.Time{}
		}
	}
	s.mu.Unlock()
	for _, id := range left {
		s.changed(id)
	}
}

// MarkLeaving notes that an upstream leaves, as another process saw.
func (s *Set) MarkLeaving(id, source string) {
	s.mu.Lock()
	m, ok := s.byID[id]
	left := ok && m.state != Leaving
	if left {
		m.state = Leaving
		s.rec.Note(events.UpstreamLeaving, "", "upstream", id, "source", source)
	}
	s.mu.Unlock()
	if left {
		s.changed(id)
	}
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

// Of returns the upstreams of a service that take new work: those that serve,
// or the lapsed ones if none does.
func (s *Set) Of(service string) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var serving, lapsed []Upstream
	for _, m := range s.byID {
		if m.Service != service {
			continue
		}
		switch m.state {
		case Serving:
			serving = append(serving, m.Upstream)
		case Lapsed:
			lapsed = append(lapsed, m.Upstream)
		case Leaving:
		}
	}
	if len(serving) == 0 {
		return lapsed
	}
	return serving
}

// Leaving returns the identifiers of the upstreams that leave.
func (s *Set) Leaving() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, m := range s.byID {
		if m.state == Leaving {
			out = append(out, id)
		}
	}
	return out
}
