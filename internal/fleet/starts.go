package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// incarnationID returns the identifier of one incarnation of an upstream: the name, followed by the start time
// if that is known. All state is kept by this identifier, so that nothing about an earlier incarnation
// counts for a later one, however late it arrives and from whichever source. Each message to other
// entries contains it, so the time is written in base 36 to keep it short. If the start time is
// unknown and the name contains the separator, another separator is appended, so that no two incarnations
// share an identifier.
func incarnationID(name string, born int64) string {
	switch {
	case born != 0:
		return name + incarnationSeparator + strconv.FormatInt(born, 36)
	case strings.Contains(name, incarnationSeparator):
		return name + incarnationSeparator
	default:
		return name
	}
}

const incarnationSeparator = "@"

// resolveIncarnation fills in the ID of a record and ends the previous incarnation of the upstream. It returns
// false for a record of an incarnation that has ended. The caller must hold s.mu.
//
// The store's versions tell which of two rows is newer. Start times only tell incarnations apart: if they
// decided, a later incarnation would never get work after the clock of its upstream jumped back. They
// decide only if a version is unknown. A row without a start time is taken as one of the known
// incarnation.
func (s *Set) resolveIncarnation(r Record) (Record, bool) {
	m, known := s.byName[r.Name]
	if known && r.Born == 0 {
		r.Born = m.Born
	}
	r.ID = incarnationID(r.Name, r.Born)
	if !known || r.ID == m.ID {
		return r, true
	}
	// The first row read after a restore overrides what is known from before.
	overrides := m.predatesRestore && !s.restoring
	if !overrides && isOlder(r, m.Record) {
		s.rec.Note(events.UpstreamOldNews, "", "upstream", m.ID, "news", "record of "+r.ID, "version", r.Version, "known-version", m.Version)
		return Record{}, false
	}
	s.endIncarnation(m, r)
	return r, true
}

// isOlder reports whether r is older than a record of another incarnation.
func isOlder(r, other Record) bool {
	if r.Version == 0 || other.Version == 0 || r.Version == other.Version {
		return r.Born < other.Born
	}
	return r.Version < other.Version
}

// addIncarnation adds a new incarnation of an upstream. The caller must hold s.mu.
func (s *Set) addIncarnation(r Record) *member {
	m := &member{Upstream: Upstream{Record: r}}
	s.byID[r.ID], s.byName[r.Name] = m, m
	s.serving = nil
	s.rec.Note(events.UpstreamJoined, "", "upstream", r.ID, "name", r.Name, "born", r.Born, "version", r.Version, "software", r.Software, "service", r.Service, "zone", r.Zone, "address", r.Address, "cold-for", r.ColdFor)
	return m
}

const (
	// leavingRecordDelay is the time within which an upstream's record shows that it is leaving:
	// two heartbeats.
	leavingRecordDelay = 3 * time.Second
	// maxRecordLag bounds how long after the start of an incarnation its record is read. A store
	// outage delays the reading.
	maxRecordLag = time.Minute
)

// avoidIfPossiblyLeaving avoids a new incarnation until its own record can show that it is leaving, if
// the previous incarnation, which may be nil, reported a leave since the new one began. Until the record
// of a new incarnation is read, its answers are attributed to the previous incarnation. The new
// incarnation is not marked as leaving: the clocks of upstreams jump, and the mark would be final.
// The caller must hold s.mu.
func (s *Set) avoidIfPossiblyLeaving(m, previous *member) {
	if previous == nil || previous.ID == m.ID || !previous.selfReported {
		return
	}
	born := time.UnixMilli(m.Born)
	if !previous.selfReportedAt.Before(born) && previous.selfReportedAt.Before(born.Add(maxRecordLag)) {
		m.avoidUntil = s.now().Add(leavingRecordDelay)
	}
}

// endIncarnation removes an incarnation that a later one replaced, as after a crash. Its process no
// longer exists and all its state is lost, so it gets no time to come back and no streams are moved
// away from it: their connections break. The caller must hold s.mu.
func (s *Set) endIncarnation(m *member, by Record) {
	s.remove(m)
	s.rec.Note(events.UpstreamRestarted, "", "upstream", m.ID, "by", by.ID, "version", by.Version, "known-version", m.Version)
}

// remove deletes all state of an incarnation. The caller must hold s.mu.
func (s *Set) remove(m *member) {
	s.noteSoftware(m.Record)
	delete(s.byID, m.ID)
	delete(s.byName, m.Name)
	s.serving = nil
}
