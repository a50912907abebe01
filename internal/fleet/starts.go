package fleet

import (
	"strconv"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// startID returns the identifier of a start of an upstream: its name, if it does not say
// when it began, else both. All that is believed goes by it, so nothing of an earlier
// start can count for a later one, however late it is learnt and from whom. It stands in
// each message to other entries, hence the short digits. A name that holds the separator
// gets one more, so that no two starts share an identifier.
func startID(name string, born int64) string {
	switch {
	case born != 0:
		return name + startMark + strconv.FormatInt(born, 36)
	case strings.Contains(name, startMark):
		return name + startMark
	default:
		return name
	}
}

const startMark = "@"

// latest completes a record with the identifier of its start, and ends the start before.
// It returns false for a record of a start that has ended. It needs the lock.
//
// The store's versions tell which of two rows is the newer one; the time of birth only
// tells starts apart, since the clock of an upstream may have jumped back between two of
// them: the later start would never get work. It decides if a version is not known. A row
// that does not tell of its birth is taken as one of the start that is known.
func (s *Set) latest(r Record) (Record, bool) {
	m, known := s.present[r.Name]
	if known && r.Born == 0 {
		r.Born = m.Born
	}
	r.ID = startID(r.Name, r.Born)
	if !known || r.ID == m.ID {
		return r, true
	}
	// The store's next word after its return holds, whatever is known from before.
	holds := m.unwritten && !s.restored
	if !holds && older(r, m.Record) {
		s.rec.Note(events.UpstreamOldNews, "", "upstream", m.ID, "news", "record of "+r.ID, "version", r.Version, "known-version", m.Version)
		return Record{}, false
	}
	s.end(m, r)
	return r, true
}

// older reports whether a record is older than one of another start.
func older(r, than Record) bool {
	if r.Version == 0 || than.Version == 0 || r.Version == than.Version {
		return r.Born < than.Born
	}
	return r.Version < than.Version
}

// begin makes a start known. It needs the lock.
func (s *Set) begin(r Record) *member {
	m := &member{Upstream: Upstream{Record: r}}
	s.byID[r.ID], s.present[r.Name] = m, m
	s.serving = nil
	s.rec.Note(events.UpstreamJoined, "", "upstream", r.ID, "name", r.Name, "born", r.Born, "version", r.Version, "service", r.Service, "zone", r.Zone, "address", r.Address, "cold-for", r.ColdFor)
	return m
}

const (
	// recordWithin is the time in which the record of an upstream tells that it leaves: two heartbeats.
	recordWithin = 3 * time.Second
	// unreadWithin bounds how long after its birth the record of a start is read: the store was away.
	unreadWithin = time.Minute
)

// doubt has a start avoided until its own record can tell that it leaves, if the one before, nil if there
// was none, is said to leave since this one was born: its answers were taken for those of the other one.
// It is not taken to leave, since the clocks of upstreams jump, and that would be for good. It needs the
// lock.
func (s *Set) doubt(m, before *member) {
	if before == nil || before.ID == m.ID || !before.firstHand {
		return
	}
	born := time.UnixMilli(m.Born)
	if !before.saidAt.Before(born) && before.saidAt.Before(born.Add(unreadWithin)) {
		m.avoid = s.now().Add(recordWithin)
	}
}

// end forgets a start because a later one is there, as after a crash: its process is
// gone, with all that it held, so it gets no time to come back and nothing is moved away
// from it. Its streams see their connections break. It needs the lock.
func (s *Set) end(m *member, by Record) {
	s.forget(m)
	s.rec.Note(events.UpstreamRestarted, "", "upstream", m.ID, "by", by.ID, "version", by.Version, "known-version", m.Version)
}

// forget drops all that is believed of a start. It needs the lock.
func (s *Set) forget(m *member) {
	delete(s.byID, m.ID)
	delete(s.present, m.Name)
	s.serving = nil
}
