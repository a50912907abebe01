package daemon

import (
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/guard"
	product "github.com/sparshore/sparshore/internal/platform"
)

// upstreamRows applies rows of the upstreams table to the fleet.
type upstreamRows struct {
	decode func(name string, value []byte) (fleet.Record, error)
	fleet  *fleet.Set
	bad    *badRows
}

// newUpstreamRows returns an upstreamRows for a fleet. Rows that decode rejects are recorded in
// bad.
func newUpstreamRows(decode func(name string, value []byte) (fleet.Record, error), set *fleet.Set, bad *badRows) *upstreamRows {
	return &upstreamRows{decode: decode, fleet: set, bad: bad}
}

// apply applies the rows of an answer of the store. full marks an answer that holds the whole
// table. settled is the time from which missing rows count as removed. The upstream of a row that
// cannot be used stays in the fleet: it gets no new work, and its running requests continue.
func (u *upstreamRows) apply(rows []product.Record, full bool, settled time.Time) {
	records, unreadable, removals := u.changes(rows, full)
	u.fleet.UpdateAll(records, unreadable, removals, full, settled)
}

// restore is apply for the first complete read of the table after the store was restored from an
// older copy.
func (u *upstreamRows) restore(rows []product.Record, settled time.Time) {
	records, unreadable, _ := u.changes(rows, true)
	u.fleet.ApplyRestored(records, unreadable, settled)
}

// changes decodes changed rows. An answer may hold several changes of the same row, in order. Only
// the last one is used.
func (u *upstreamRows) changes(rows []product.Record, full bool) (records []fleet.Record, unreadable []string, removals []fleet.Removal) {
	lastIndex := make(map[string]int, len(rows))
	for i, row := range rows {
		lastIndex[row.Name] = i
	}
	if full {
		u.bad.retainListed(lastIndex)
	}
	for i, row := range rows {
		if lastIndex[row.Name] != i {
			continue
		}
		if row.Removed {
			u.bad.remove(row.Name)
			removals = append(removals, fleet.Removal{Name: row.Name, Version: row.Version})
			continue
		}
		var r fleet.Record
		began := u.bad.now()
		err := guard.Do(func() (err error) {
			r, err = u.decode(row.Name, row.Value)
			return err
		})
		if err != nil {
			u.bad.add(row, err, u.bad.now().Sub(began))
			unreadable = append(unreadable, row.Name)
			continue
		}
		u.bad.remove(row.Name)
		r.Version = row.Version
		records = append(records, r)
	}
	return records, unreadable, removals
}
