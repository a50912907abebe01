package daemon

import (
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/guard"
	product "github.com/sparshore/sparshore/internal/platform"
)

// upstreamRows hands the rows of upstreams to the fleet.
type upstreamRows struct {
	decode func(name string, value []byte) (fleet.Record, error)
	fleet  *fleet.Set
	bad    *badRows
}

// newUpstreamRows returns an upstreamRows for a fleet that tells bad of rows which decode
// refuses.
func newUpstreamRows(decode func(name string, value []byte) (fleet.Record, error), set *fleet.Set, bad *badRows) *upstreamRows {
	return &upstreamRows{decode: decode, fleet: set, bad: bad}
}

// apply takes over an answer; full marks one that holds the whole table, and settled is
// the time from which rows that are missing are taken as gone. A row that cannot be used
// is there all the same: its upstream gets no new work, and what runs there goes on.
func (u *upstreamRows) apply(rows []product.Record, full bool, settled time.Time) {
	records, unreadable, gone := u.changes(rows, full)
	u.fleet.UpdateAll(records, unreadable, gone, full, settled)
}

// restore is apply for the first whole table after the store was restored from a copy.
func (u *upstreamRows) restore(rows []product.Record, settled time.Time) {
	records, unreadable, _ := u.changes(rows, true)
	u.fleet.Restore(records, unreadable, settled)
}

// changes decodes changed rows. One answer may hold several changes of a row, in order;
// the last one counts.
func (u *upstreamRows) changes(rows []product.Record, full bool) (records []fleet.Record, unreadable []string, gone []fleet.Gone) {
	last := make(map[string]int, len(rows))
	for i, row := range rows {
		last[row.Name] = i
	}
	if full {
		u.bad.keep(last)
	}
	for i, row := range rows {
		if last[row.Name] != i {
			continue
		}
		if row.Gone {
			u.bad.remove(row.Name)
			gone = append(gone, fleet.Gone{Name: row.Name, Version: row.Version})
			continue
		}
		var r fleet.Record
		err := guard.Do(func() (err error) {
			r, err = u.decode(row.Name, row.Value)
			return err
		})
		if err != nil {
			u.bad.add(row, err)
			unreadable = append(unreadable, row.Name)
			continue
		}
		u.bad.remove(row.Name)
		r.Version = row.Version
		records = append(records, r)
	}
	return records, unreadable, gone
}
