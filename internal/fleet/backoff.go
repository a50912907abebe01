package fleet

import "time"

// maxBackOff bounds the backoff that an upstream can ask for at once. A longer time is taken for a
// mistake.
const maxBackOff = time.Hour

// BackOff records until when an upstream takes no requests of this entry. The latest of several
// times applies, in whatever order they arrive, and a successful answer in between does not end the
// backoff.
func (s *Set) BackOff(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.now()
	if !m.InBackOff(now) {
		m.backOffProbed = false
	}
	m.backOffNotedAt = now
	m.backOffUntil = later(m.backOffUntil, earlier(until, now.Add(maxBackOff)))
	s.anyBackOffUntil = later(s.anyBackOffUntil, m.backOffUntil)
}

// inheritBackOff takes over the backoff of the previous incarnation, which may be nil, if it was asked
// for since this incarnation began. Until the record of a new incarnation is read, its answers are attributed
// to the previous incarnation.
func (m *member) inheritBackOff(previous *member) {
	if previous != nil && previous.ID != m.ID && previous.backOffNotedAt.UnixMilli() >= m.Born {
		m.backOffUntil, m.backOffNotedAt, m.backOffProbed = previous.backOffUntil, previous.backOffNotedAt, previous.backOffProbed
	}
}

// AnyBackOff reports whether any upstream may be in backoff now.
func (s *Set) AnyBackOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.anyBackOffUntil)
}

// TakeDuringBackOff reports whether a request that no other upstream can take may go to an upstream
// in backoff. One request may go in each backoff; extending a backoff does not allow another one.
func (s *Set) TakeDuringBackOff(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok || m.InBackOff(s.now()) && m.backOffProbed {
		return false
	}
	m.backOffProbed = true
	return true
}
