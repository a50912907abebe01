package fleet

import "time"

// mostBackOff bounds how long an upstream gets no requests by one word of it: a longer time is taken
// for a mistake.
const mostBackOff = time.Hour

// BackOff notes until when an upstream wants no requests of this entry. Of several times the latest
// holds, in whatever order they are learnt; a good answer in between ends none.
func (s *Set) BackOff(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.now()
	if !m.InBackOff(now) {
		m.backOffUsed = false
	}
	m.backOffAt = now
	m.backOff = later(m.backOff, earlier(until, now.Add(mostBackOff)))
	s.backOffUntil = later(s.backOffUntil, m.backOff)
}

// takeBackOff takes over what was heard for the start before, nil if there was none, from when this
// one was born on: its answers were taken for those of the other one until its record was read.
func (m *member) takeBackOff(before *member) {
	if before != nil && before.ID != m.ID && before.backOffAt.UnixMilli() >= m.Born {
		m.backOff, m.backOffAt, m.backOffUsed = before.backOff, before.backOffAt, before.backOffUsed
	}
}

// AnyBackOff reports whether any upstream may want no requests of this entry now.
func (s *Set) AnyBackOff() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.backOffUntil)
}

// TakeDuringBackOff reports whether a request may go to an upstream that nothing else can take: one
// goes to it in each back-off, the end of which renewed words of it put off.
func (s *Set) TakeDuringBackOff(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok || m.InBackOff(s.now()) && m.backOffUsed {
		return false
	}
	m.backOffUsed = true
	return true
}
