package fleet

import (
	"maps"

	"github.com/sparshore/sparshore/internal/events"
)

// CloseZones sets the availability zones that operators closed. Their upstreams get no
// new work; generations that run there end there, since nothing says that their engines
// stop, and one that is moved pauses.
func (s *Set) CloseZones(closed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone := range closed {
		if !s.closed[zone] {
			s.rec.Note(events.ZoneClosed, "", "zone", zone, "upstreams", s.inZone(zone))
		}
	}
	for zone := range s.closed {
		if !closed[zone] {
			s.rec.Note(events.ZoneOpened, "", "zone", zone, "upstreams", s.inZone(zone))
		}
	}
	s.closed = maps.Clone(closed)
	s.serving = nil
}

// inZone is the number of upstreams known in a zone. It needs the lock.
func (s *Set) inZone(zone string) int {
	n := 0
	for _, m := range s.byID {
		if m.Zone == zone {
			n++
		}
	}
	return n
}
