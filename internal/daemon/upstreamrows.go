package daemon

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	product "github.com/sparshore/sparshore/internal/platform"
)

// upstreamRows hands the rows of upstreams to the fleet.
type upstreamRows struct {
	decode func(id string, value []byte) (fleet.Record, error)
	fleet  *fleet.Set
	rec    *events.Recorder
}

// newUpstreamRows returns an upstreamRows for a fleet.
func newUpstreamRows(decode func(id string, value []byte) (fleet.Record, error), set *fleet.Set, rec *events.Recorder) *upstreamRows {
	return &upstreamRows{decode: decode, fleet: set, rec: rec}
}

// apply takes over an answer; full marks one that holds the whole table, and settled is
// the time from which rows that are missing are taken as gone.
func (u *upstreamRows) apply(rows []product.Record, full bool, settled time.Time) {
	records, gone := u.changes(rows)
	u.fleet.Update(records, gone, full, settled)
}

// changes decodes changed rows. One answer may hold several changes of a row, in order;
// the last one counts.
func (u *upstreamRows) changes(rows []product.Record) (records []fleet.Record, gone []string) {
	last := make(map[string]int, len(rows))
	for i, row := range rows {
		last[row.Name] = i
	}
	for i, row := range rows {
		switch {
		case last[row.Name] != i:
		case row.Gone:
			gone = append(gone, row.Name)
		default:
			r, err := u.decode(row.Name, row.Value)
			if err != nil {
				u.rec.Note(events.UpstreamRejected, "", "upstream", row.Name, "version", row.Version, "error", err)
				continue
			}
			records = append(records, r)
		}
	}
	return records, gone
}
