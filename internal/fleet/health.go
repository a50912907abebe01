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
)

// The weights of health by use.
const (
	// failureWeight is the weight of the newest outcome in the failure rate:
	// about the last eight requests count.
	failureWeight = 0.12
	// avoidBroken is how long an upstream whose connection failed is avoided:
	// a restarted engine needs some seconds, and one try in two seconds finds out.
	avoidBroken = 2 * time.Second
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
	if o == Failed || o == Broken {
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
		m.avoid = time.Time{}
	case Failed:
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
