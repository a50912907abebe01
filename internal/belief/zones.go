package belief

import (
	"maps"

	"github.com/sparshore/sparshore/internal/platform"
)

// Zones is the belief about the availability zones that operators closed: nothing new is
// to go to the upstreams there until the row that closes a zone is removed.
type Zones struct {
	zoneOf func(row string) (zone string, ok bool)
	apply  func(closed map[string]bool)
	closed map[string]bool
}

// NewZones returns a belief that no zone is closed. zoneOf tells which zone a row closes,
// if it does; apply gets all closed zones after each change, and must not change them.
func NewZones(zoneOf func(row string) (zone string, ok bool), apply func(closed map[string]bool)) *Zones {
	return &Zones{zoneOf: zoneOf, apply: apply, closed: map[string]bool{}}
}

// Apply takes over the store's answer; full marks one that holds the whole table. It is
// called by one goroutine. In a store that was restored from a copy the rows of zones that were closed
// since may be missing: these stay closed until the whole table is read once more.
func (z *Zones) Apply(s platform.Snapshot, full bool) {
	closed := map[string]bool{}
	if !full || s.Restored {
		closed = maps.Clone(z.closed)
	}
	for _, r := range s.Records {
		zone, ok := z.zoneOf(r.Name)
		switch {
		case !ok:
		case r.Gone:
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
