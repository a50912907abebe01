package fleet

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Outcome is how a request to an upstream ended.
type Outcome int

// The outcomes that affect the health of an upstream.
const (
	// Served: the upstream answered.
	Served Outcome = iota
	// Failed: the upstream answered with an error of its own.
	Failed
	// Busy: the upstream refused the request without running it.
	Busy
	// Broken: the connection could not be established, broke or stayed silent.
	Broken
	// Faulty: an engine answered with an error of its own or did not begin in time. Healthy engines
	// do neither, so this counts whatever the engine's health check reports. A generation that
	// failed in this way may not be sent again.
	Faulty
)

// The constants of health tracking by request outcome.
const (
	// failureWeight is the weight of the newest outcome in the failure rate, so that about the last
	// eight requests count.
	failureWeight = 0.12
	// avoidBroken is how long an upstream is avoided after its connection failed. A restarted
	// engine needs some seconds, and one attempt every two seconds detects that it is back.
	avoidBroken = 2 * time.Second
	// avoidFaulty is how long an engine is avoided after a fault. After that, repeatable requests
	// show whether it works again.
	avoidFaulty = time.Second
	// suspectFor is how long an engine gets no unrepeatable requests after the latest fault that
	// any entry saw. Engines that fail a part of their requests fail again within a second or two.
	suspectFor = 6 * time.Second
	// avoidBusy is how long a full upstream is avoided: the time of some engine steps.
	avoidBusy = 150 * time.Millisecond
)

// RecordOutcome records how a request to an upstream ended.
func (s *Set) RecordOutcome(id string, o Outcome) {
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
		m.failureRate += failureWeight * (bad - m.failureRate)
	}
	switch o {
	case Broken:
		if now.After(m.avoidUntil) {
			s.rec.Note(events.UpstreamAvoided, "", "upstream", id, "for", avoidBroken, "failure-rate", m.failureRate)
		}
		m.avoidUntil = now.Add(avoidBroken)
	case Busy:
		m.avoidUntil = later(m.avoidUntil, now.Add(avoidBusy))
	case Served:
		if !m.Suspect(now) {
			m.avoidUntil = time.Time{}
		}
	case Faulty:
		m.localFaultAt = now
		s.noteFault(m, now, "own request")
	case Failed:
		m.noteFailure(now)
	}
}

// maxBusyAvoidance bounds how long an upstream that refuses requests is avoided because it asked
// for it. Until then, only a request that no other upstream can take shows whether it accepts
// requests again.
const maxBusyAvoidance = 2 * time.Second

// BusyUntil records until when an upstream that refused a request unrun asks for no others.
func (s *Set) BusyUntil(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m, ok := s.byID[id]; ok {
		m.avoidUntil = later(m.avoidUntil, earlier(until, s.now().Add(maxBusyAvoidance)))
	}
}

// noteFault records a fault of an engine at the given time, reported by source.
func (s *Set) noteFault(m *member, at time.Time, source string) {
	if !at.After(m.faultAt) {
		return
	}
	if now := s.now(); !m.Suspect(now) && now.Before(at.Add(suspectFor)) {
		s.rec.Note(events.UpstreamSuspected, "", "upstream", m.ID, "source", source, "fault-age", now.Sub(at), "for", suspectFor, "failure-rate", m.failureRate)
	}
	m.faultAt = at
	m.avoidUntil = later(m.avoidUntil, at.Add(avoidFaulty))
}

// Faults returns the upstreams at which this entry's own requests recently met a fault, with the
// time of the latest one.
func (s *Set) Faults() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := map[string]time.Time{}
	for id, m := range s.byID {
		if !m.localFaultAt.IsZero() && now.Sub(m.localFaultAt) < suspectFor {
			out[id] = m.localFaultAt
		}
	}
	return out
}

// PeerFaults applies the faults that another entry saw.
func (s *Set) PeerFaults(entry string, faults map[string]time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range faults {
		if m, ok := s.byID[id]; ok {
			s.noteFault(m, at, entry)
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
