package fleet

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// UpdateAll is Update for an answer in which the records of some upstreams are there but
// cannot be read. These are not missing: what runs there goes on. They get no new work,
// also not as targets of moves, until a record can be read again.
func (s *Set) UpdateAll(records []Record, unreadable []string, gone []Gone, full bool, settled time.Time) {
	s.update(records, unreadable, gone, full, settled)
}

// hold stops new work for upstreams whose records cannot be read, and counts them as seen.
// Those that are not known stay so. It needs the lock.
func (s *Set) hold(names []string, seen map[string]bool) {
	for _, name := range names {
		seen[name] = true
		m, ok := s.present[name]
		if !ok {
			continue
		}
		if m.state == Lapsed {
			// Its record is there again; when the lapse ended its streams would be moved.
			m.state, m.until = Serving, time.Time{}
		}
		if !m.unreadable {
			m.unreadable = true
			s.serving = nil
			s.rec.Note(events.UpstreamHeld, "", "upstream", m.ID)
		}
	}
}

// release lets an upstream whose record can be read have new work again. It needs the lock.
func (s *Set) release(m *member) {
	if m.unreadable {
		m.unreadable = false
		s.serving = nil
		s.rec.Note(events.UpstreamReleased, "", "upstream", m.ID)
	}
}

// mayWork reports whether a member may get new work if its state allows it.
func (s *Set) mayWork(m *member) bool { return !m.unreadable && !s.closed[m.Zone] }
