package fleet

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// UpdateAll is like Update, for an answer in which the records of some upstreams exist but cannot
// be read. These upstreams are not missing, and their running work continues. They get no new work
// and no moved streams until a record can be read again.
func (s *Set) UpdateAll(records []Record, unreadable []string, removals []Removal, full bool, graceUntil time.Time) {
	s.update(records, unreadable, removals, full, graceUntil)
}

// hold stops new work for upstreams whose records cannot be read, and marks them as seen. Unknown
// upstreams stay unknown. The caller must hold s.mu.
func (s *Set) hold(names []string, seen map[string]bool) {
	for _, name := range names {
		seen[name] = true
		m, ok := s.byName[name]
		if !ok {
			continue
		}
		if m.state == Lapsed {
			// The record exists again. At the end of the lapse the streams would be moved away.
			m.state, m.expiresAt = Serving, time.Time{}
		}
		if !m.unreadable {
			m.unreadable = true
			s.serving = nil
			s.rec.Note(events.UpstreamHeld, "", "upstream", m.ID)
		}
	}
}

// release allows new work again for an upstream whose record can be read. The caller must hold
// s.mu.
func (s *Set) release(m *member) {
	if m.unreadable {
		m.unreadable = false
		s.serving = nil
		s.rec.Note(events.UpstreamReleased, "", "upstream", m.ID)
	}
}

// acceptsWork reports whether a member may get new work if its state allows it. The caller must
// hold s.mu.
func (s *Set) acceptsWork(m *member) bool { return !m.unreadable && !s.closedZones[m.Zone] }
