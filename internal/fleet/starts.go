package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// startID returns the identifier of one start of an upstream: the name, followed by the start time
// if that is known. All state is kept by this identifier, so that nothing about an earlier start
// counts for a later one, however late it arrives and from whichever source. Each message to other
// entries contains it, so the time is written in base 36 to keep it short. If the start time is
// unknown and the name contains the separator, another separator is appended, so that no two starts
// share an identifier.
func startID(name string, born int64) string {
	switch {
	case born != 0:
		return name + startSeparator + strconv.FormatInt(born, 36)
	case strings.Contains(name, startSeparator):
		return name + startSeparator
	default:
		return name
	}
}

const startSeparator = "@"

// resolveStart fills in the ID of a record and ends the previous start of the upstream. It returns
// false for a record of a start that has ended. The caller must hold s.mu.
//
// The store's versions tell which of two rows is newer. Start times only tell starts apart: if they
// decided, a later start would never get work after the clock of its upstream jumped back. They
// decide only if a version is unknown. A row without a start time is taken as one of the known
// start.
func (s *Set) resolveStart(r Record) (Record, bool) {
	m, known := s.byName[r.Name]
	if known && r.Born == 0 {
		r.Born = m.Born
	}
	r.ID = startID(r.Name, r.Born)
	if !known || r.ID == m.ID {
		return r, true
	}
	// The first row read after a restore overrides what is known from before.
	overrides := m.predatesRestore && !s.restoring
	if !overrides && isOlder(r, m.Record) {
		s.rec.Note(events.UpstreamOldNews, "", "upstream", m.ID, "news", "record of "+r.ID, "version", r.Version, "known-version", m.Version)
		return Record{}, false
	}
	s.endStart(m, r)
	return r, true
}

// isOlder reports whether r is older than a record of another start.
func isOlder(r, other Record) bool {
	if r.Version == 0 || other.Version == 0 || r.Version == other.Version {
		return r.Born < other.Born
	}
	return r.Version < other.Version
}

// addStart adds a new start of an upstream. The caller must hold s.mu.
func (s *Set) addStart(r Record) *member {
	m := &member{Upstream: Upstream{Record: r}}
	s.byID[r.ID], s.byName[r.Name] = m, m
	s.serving = nil
	s.rec.Note(events.UpstreamJoined, "", "upstream", r.ID, "name", r.Name, "born", r.Born, "version", r.Version, "service", r.Service, "zone", r.Zone, "address", r.Address, "cold-for", r.ColdFor)
	return m
}

const (
	// leavingRecordDelay is the time within which an upstream's record shows that it is leaving:
	// two heartbeats.
	leavingRecordDelay = 3 * time.Second
	// maxRecordLag bounds how long after a start its record is read. A store outage delays the
	// reading.
	maxRecordLag = time.Minute
)

// avoidIfPossiblyLeaving avoids a new start until its own record can show that it is leaving, if
// the previous start, which may be nil, reported a leave since the new one began. Until the record
// of a new start is read, its answers are attributed to the previous start. The new start is not
// marked as leaving: the clocks of upstreams jump, and the mark would be final. The caller must
// hold s.mu.
func (s *Set) avoidIfPossiblyLeaving(m, previous *member) {
	if previous == nil || previous.ID == m.ID || !previous.selfReported {
		return
	}
	born := time.UnixMilli(m.Born)
	if !previous.selfReportedAt.Before(born) && previous.selfReportedAt.Before(born.Add(maxRecordLag)) {
		m.avoidUntil = s.now().Add(leavingRecordDelay)
	}
}

// endStart removes a start that a later one replaced, as after a crash. Its process is gone with
// all its state, so it gets no time to come back and no streams are moved away from it: their
// connections break. The caller must hold s.mu.
func (s *Set) endStart(m *member, by Record) {
	s.remove(m)
	s.rec.Note(events.UpstreamRestarted, "", "upstream", m.ID, "by", by.ID, "version", by.Version, "known-version", m.Version)
}

// remove deletes all state of a start. The caller must hold s.mu.
func (s *Set) remove(m *member) {
	delete(s.byID, m.ID)
	delete(s.byName, m.Name)
	s.serving = nil
}
