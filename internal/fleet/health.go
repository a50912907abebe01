package fleet

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Outcome is how a request to an upstream ended.
type Outcome int

// The outcomes that tell something about an upstream.
const (
	// Served: the upstream answered.
	Served Outcome = iota
	// Failed: the upstream answered with an error of its own.
	Failed
	// Busy: the upstream refused the request unrun.
	Busy
	// Broken: the connection could not be made, broke or stayed silent.
	Broken
	// Faulty: an engine answered with an error of its own, or did not begin in
	// time. Sound engines do neither, whatever their health check says, and a
	// generation that failed so may not be sent again.
	Faulty
)

// The weights of health by use.
const (
	// failureWeight is the weight of the newest outcome in the failure rate:
	// about the last eight requests count.
	failureWeight = 0.12
	// avoidBroken is how long an upstream whose connection failed is avoided:
	// a restarted engine needs some seconds, and one try in two seconds finds out.
	avoidBroken = 2 * time.Second
	// avoidFaulty is how long nothing goes to an engine after a fault. Then
	// requests that may be repeated find out whether it is well.
	avoidFaulty = time.Second
	// suspectFor is how long after its latest fault, as any entry saw it, an engine
	// gets no requests that may not be repeated. Engines that fail a part of their
	// requests fail again within a second or two.
	suspectFor = 6 * time.Second
	// avoidBusy is how long a full upstream is avoided: some engine steps.
	avoidBusy = 150 * time.Millisecond
)

// Note takes over how a request to an upstream ended.
func (s *Set) Note(id string, o Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.now()
	bad := 0.0
	if o == Failed || o == Broken || o == Faulty {
		bad = 1
	}
	if o != Busy {
		m.failures += failureWeight * (bad - m.failures)
	}
	switch o {
	case Broken:
		if now.After(m.avoid) {
			s.rec.Note(events.UpstreamAvoided, "", "upstream", id, "for", avoidBroken, "failure-rate", m.failures)
		}
		m.avoid = now.Add(avoidBroken)
	case Busy:
		m.avoid = later(m.avoid, now.Add(avoidBusy))
	case Served:
		if !m.Suspect(now) {
			m.avoid = time.Time{}
		}
	case Faulty:
		m.ownFault = now
		s.fault(m, now, "own request")
	case Failed:
		m.noteFailure(now)
	}
}

// mostBusy bounds how long an upstream that refuses requests is avoided by its own word: until then
// only a request that finds no other one tells whether it takes some again.
const mostBusy = 2 * time.Second

// BusyUntil notes until when an upstream that refused a request unrun wants no others.
func (s *Set) BusyUntil(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.byID[id]; ok {
		m.avoid = later(m.avoid, earlier(until, s.now().Add(mostBusy)))
	}
}

// fault notes that an engine had a fault at a time.
func (s *Set) fault(m *member, at time.Time, source string) {
	if !at.After(m.faultAt) {
		return
	}
	if now := s.now(); !m.Suspect(now) && now.Before(at.Add(suspectFor)) {
		s.rec.Note(events.UpstreamSuspected, "", "upstream", m.ID, "source", source, "fault-age", now.Sub(at), "for", suspectFor, "failure-rate", m.failures)
	}
	m.faultAt = at
	m.avoid = later(m.avoid, at.Add(avoidFaulty))
}

// Faults returns the upstreams at which this entry's own requests met a fault
// lately, and when.
func (s *Set) Faults() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := map[string]time.Time{}
	for id, m := range s.byID {
		if !m.ownFault.IsZero() && now.Sub(m.ownFault) < suspectFor {
			out[id] = m.ownFault
		}
	}
	return out
}

// PeerFaults takes over the faults that another entry met.
func (s *Set) PeerFaults(entry string, faults map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range faults {
		if m, ok := s.byID[id]; ok {
			s.fault(m, at, entry)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
