package belief

import (
	"maps"

	"github.com/sparshore/sparshore/internal/platform"
)

// Zones holds the availability zones that operators closed. Upstreams in a closed zone get no new
// work until the row that closes the zone is removed.
type Zones struct {
	zoneOf func(row string) (zone string, ok bool)
	apply  func(closed map[string]bool)
	closed map[string]bool
}

// NewZones returns Zones with all zones open. zoneOf returns the zone that a row closes, if it
// closes one. apply receives all closed zones after each change and must not modify the map.
func NewZones(zoneOf func(row string) (zone string, ok bool), apply func(closed map[string]bool)) *Zones {
	return &Zones{zoneOf: zoneOf, apply: apply, closed: map[string]bool{}}
}

// Apply processes an answer of the store; full marks an answer that holds the whole table. It must
// be called from one goroutine. A store that was restored from a backup may lack rows of zones that
// were closed since, so these zones stay closed until the whole table is read once more.
func (z *Zones) Apply(s platform.Snapshot, full bool) {
	closed := map[string]bool{}
	if !full || s.Restored {
		closed = maps.Clone(z.closed)
	}
	for _, r := range s.Records {
		zone, ok := z.zoneOf(r.Name)
		switch {
		case !ok:
		case r.Removed:
			delete(closed, zone)
		default:
			closed[zone] = true
		}
	}
	if maps.Equal(closed, z.closed) {
		return
	}
	z.closed = closed
	z.apply(closed)
}
