package belief

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/guard"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// Routes is the belief about the operator's route table. Its version never goes
// down, and each confirmation carries the steady time for which it holds.
type Routes struct {
	decode func(value []byte) (*routetable.Table, error)
	name   string
	rec    *events.Recorder
	now    func() time.Time

	mu    sync.Mutex
	table *routetable.Table
	// row is the one that the table in force was read from, and older tells that the store's
	// row is older than it.
	row       platform.Record
	older     bool
	confirmed time.Time
	// refused is set while the row cannot be used, refusedRow is its version.
	refused    bool
	refusedRow int64
	// olderRow is the version of the latest row with a table that is older than the one in force.
	olderRow int64
}

// NewRoutes returns an empty belief; name is that of the row that holds the table.
func NewRoutes(name string, decode func(value []byte) (*routetable.Table, error), rec *events.Recorder, now func() time.Time) *Routes {
	return &Routes{decode: decode, name: name, rec: rec, now: now}
}

// Current returns the table in force here, nil if none is known, and the steady
// time at which it was last known to be the newest.
func (r *Routes) Current() (*routetable.Table, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table, r.confirmed
}

// Apply takes over the store's answer.
func (r *Routes) Apply(s platform.Snapshot, _ bool) {
	for _, rec := range s.Records {
		if rec.Name == r.name && !rec.Gone {
			r.offer(rec, s.Restored)
		}
	}
}

// Learn takes over the table of another entry that has a later one in force than the store.
func (r *Routes) Learn(entry string, records []platform.Record) {
	for _, rec := range records {
		if rec.Name != r.name || rec.Gone {
			continue
		}
		table, err := r.decoded(rec)
		r.mu.Lock()
		switch {
		case err != nil:
			r.rec.Note(events.RoutesRejected, "", "source", entry, "row", rec.Version, "error", err)
		case r.table == nil || table.Version() > r.table.Version():
			r.take(table, rec, entry)
			r.older = true
		}
		r.mu.Unlock()
	}
}

// decoded decodes a row; a fault of the decoder is an error.
func (r *Routes) decoded(rec platform.Record) (table *routetable.Table, err error) {
	err = guard.Do(func() (err error) {
		table, err = r.decode(rec.Value)
		return err
	})
	return table, err
}

// take puts a table in force. It needs the lock.
func (r *Routes) take(table *routetable.Table, rec platform.Record, source string) {
	before := routetable.Version(0)
	if r.table != nil {
		before = r.table.Version()
	}
	r.table, r.row = table, rec
	r.rec.Note(events.RoutesLoaded, "", "source", source, "version", table.Version(), "before", before)
}

// offer takes over a stored table if it is newer than the one in force. One that cannot be
// used is refused and the last good one stays; a version of the row is told once, since
// each answer that holds the whole table repeats it. In a store that was restored from a copy an
// earlier table stands until the later one is written again: it changes nothing.
func (r *Routes) offer(rec platform.Record, restored bool) {
	table, err := r.decoded(rec)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		if !r.refused || r.refusedRow != rec.Version {
			r.rec.Note(events.RoutesRejected, "", "source", "store", "row", rec.Version, "error", err)
		}
		r.refused, r.refusedRow = true, rec.Version
		return
	}
	r.refused = r.refused && restored
	if r.table != nil && table.Version() < r.table.Version() {
		if r.olderRow != rec.Version {
			r.rec.Note(events.RoutesOlder, "", "row", rec.Version, "version", table.Version(), "in-force", r.table.Version(), "restored", restored)
		}
		r.olderRow, r.older = rec.Version, true
		return
	}
	r.older = false
	if r.table != nil && table.Version() == r.table.Version() {
		return
	}
	r.take(table, rec, "store")
}

// Kept returns the row of the table in force while the store has an older one, which it came back
// with; ok is false otherwise.
func (r *Routes) Kept() (row platform.Record, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row, r.older
}

// Confirm notes that the table of a version was the newest at a steady time.
// It is ignored when another version is in force here.
func (r *Routes) Confirm(v routetable.Version, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && r.table.Version() == v && at.After(r.confirmed) {
		r.confirmed = at
	}
}

// ConfirmCurrent notes that whatever is in force was the newest at a steady time. It is not
// while a later table cannot be used: that may have taken keys away, which would be served
// for as long as it stands.
func (r *Routes) ConfirmCurrent(at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && !r.refused && at.After(r.confirmed) {
		r.confirmed = at
	}
}
