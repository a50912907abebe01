package fleet

import "time"

// mostRest bounds how long an upstream gets no requests by one word of it: a longer time is taken
// for a mistake.
const mostRest = time.Hour

// Rest notes until when an upstream wants no requests of this entry. Of several times the latest
// holds, in whatever order they are learnt; a good answer in between ends none.
func (s *Set) Rest(id string, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.now()
	if !m.Rests(now) {
		m.restUsed = false
	}
	m.rest = later(m.rest, earlier(until, now.Add(mostRest)))
	s.restsUntil = later(s.restsUntil, m.rest)
}

// AnyRests reports whether any upstream may want no requests of this entry now.
func (s *Set) AnyRests() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.restsUntil)
}

// TakeDuringRest reports whether a request may go to an upstream that nothing else can take: one
// goes to it in each time of rest, the end of which renewed words of it put off.
func (s *Set) TakeDuringRest(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok || m.Rests(s.now()) && m.restUsed {
		return false
	}
	m.restUsed = true
	return true
}
