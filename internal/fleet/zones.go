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
	upstreams := map[string]int{}
	for _, m := range s.byID {
		upstreams[m.Zone]++
	}
	for zone := range closed {
		if !s.closedZones[zone] {
			s.rec.Note(events.ZoneClosed, "", "zone", zone, "upstreams", upstreams[zone])
		}
	}
	for zone := range s.closedZones {
		if !closed[zone] {
			s.rec.Note(events.ZoneOpened, "", "zone", zone, "upstreams", upstreams[zone])
		}
	}
	s.closedZones = maps.Clone(closed)
	s.serving = nil
}
