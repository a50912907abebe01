package fleet

import (
	"maps"

	"github.com/sparshore/sparshore/internal/events"
)

// CloseZones sets the availability zones that operators closed. Their upstreams get no new work.
// Running generations stay there until they end, since a closed zone does not mean that its engines
// stop, and a move pauses a generation.
func (s *Set) CloseZones(closed map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for zone := range closed {
		if !s.closedZones[zone] {
			s.rec.Note(events.ZoneClosed, "", "zone", zone, "upstreams", s.countInZone(zone))
		}
	}
	for zone := range s.closedZones {
		if !closed[zone] {
			s.rec.Note(events.ZoneOpened, "", "zone", zone, "upstreams", s.countInZone(zone))
		}
	}
	s.closedZones = maps.Clone(closed)
	s.serving = nil
}

// countInZone returns the number of known upstreams in a zone. The caller must hold s.mu.
func (s *Set) countInZone(zone string) int {
	n := 0
	for _, m := range s.byID {
		if m.Zone == zone {
			n++
		}
	}
	return n
}
