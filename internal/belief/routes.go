package belief

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/guard"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// Source is the kind of evidence that confirms a route table.
type Source int

// The sources of confirmations.
const (
	// FromStore is an answer of the store.
	FromStore Source = iota
	// FromRelay is an answer of another entry that relays the store's tables.
	FromRelay
	// FromGossip is a gossip message of an entry that has the same version in force.
	FromGossip
	// Sources is the number of sources.
	Sources
)

// String returns the name of the source in logs and metrics.
func (s Source) String() string { return [Sources]string{"store", "relay", "gossip"}[s] }

// Evidence states who confirmed a route table. Entry is empty for the store.
type Evidence struct {
	Source Source
	Entry  string
}

// String returns the source and the entry, as in "gossip e4".
func (e Evidence) String() string {
	if e.Entry == "" {
		return e.Source.String()
	}
	return e.Source.String() + " " + e.Entry
}

// Reading is the route table in force at one moment.
type Reading struct {
	// Table is nil if there is none.
	Table *routetable.Table
	// Row is the store's version of the row that holds the table.
	Row int64
	// Confirmed is when the table was last known to be the newest, and Evidence states by whom.
	Confirmed time.Time
	Evidence  Evidence
}

// gossipOnlyAfter is how long only gossip has confirmed the table when that is logged: longer than the usual
// interval between two answers of the store.
const gossipOnlyAfter = 2 * time.Second

// Routes holds the operator's route table. The version in force never decreases, and each
// confirmation states the steady time at which it was the newest.
type Routes struct {
	decode func(value []byte) (*routetable.Table, error)
	name   string
	rec    *events.Recorder
	now    func() time.Time

	mu    sync.Mutex
	table *routetable.Table
	// row is the record of the table in force. older is set while the store's row holds an older
	// table.
	row       platform.Record
	older     bool
	confirmed time.Time
	// evidence is what confirmed the table last, and confirmations counts by source.
	evidence      Evidence
	confirmations [Sources]int
	// answeredAt is when the store confirmed the table last, directly or relayed. onlyGossip is set once it is
	// logged that only gossip has confirmed the table for gossipOnlyAfter.
	answeredAt time.Time
	onlyGossip bool
	// refused is set while the store's row cannot be used, and refusedRow is the version of that
	// row.
	refused    bool
	refusedRow int64
	// olderRow is the version of the latest row that holds an older table than the one in force.
	olderRow int64
}

// NewRoutes returns Routes without a table. name is the row that holds the table.
func NewRoutes(name string, decode func(value []byte) (*routetable.Table, error), rec *events.Recorder, now func() time.Time) *Routes {
	return &Routes{decode: decode, name: name, rec: rec, now: now}
}

// Current returns the table in force, nil if there is none, and the steady time at which it was
// last known to be the newest.
func (r *Routes) Current() (*routetable.Table, time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table, r.confirmed
}

// Apply processes an answer of the store.
func (r *Routes) Apply(s platform.Snapshot, _ bool) {
	for _, rec := range s.Records {
		if rec.Name == r.name && !rec.Removed {
			r.applyStored(rec, s.Restored)
		}
	}
}

// Adopt puts the table of another entry in force if it is later than the current one.
func (r *Routes) Adopt(entry string, records []platform.Record) {
	for _, rec := range records {
		if rec.Name != r.name || rec.Removed {
			continue
		}
		table, err := r.safeDecode(rec)
		r.mu.Lock()
		switch {
		case err != nil:
			r.rec.Note(events.RoutesRejected, "", "source", entry, "row", rec.Version, "error", err)
		case r.table == nil || table.Version() > r.table.Version():
			r.activate(table, rec, entry)
			r.older = true
		}
		r.mu.Unlock()
	}
}

// safeDecode decodes a row and returns a panic of the decoder as an error.
func (r *Routes) safeDecode(rec platform.Record) (table *routetable.Table, err error) {
	err = guard.Do(func() (err error) {
		table, err = r.decode(rec.Value)
		return err
	})
	return table, err
}

// activate puts a table in force. The caller holds the lock.
func (r *Routes) activate(table *routetable.Table, rec platform.Record, source string) {
	before := routetable.Version(0)
	if r.table != nil {
		before = r.table.Version()
	}
	r.table, r.row = table, rec
	r.rec.Note(events.RoutesLoaded, "", "source", source, "version", table.Version(), "row", rec.Version, "before", before)
}

// applyStored puts a stored table in force if it is newer than the current one. A row that cannot
// be used is rejected, and the last valid table stays in force. Each version of such a row is
// logged once, because every answer with the whole table repeats it. A store that was restored from
// a backup may hold an older table until the later one is written again; the older one is not put
// in force.
func (r *Routes) applyStored(rec platform.Record, restored bool) {
	table, err := r.safeDecode(rec)
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
	r.activate(table, rec, "store")
}

// NewerThanStore returns the row of the table in force while the store holds an older one, as after a restore
// from a backup. Otherwise ok is false.
func (r *Routes) NewerThanStore() (row platform.Record, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.row, r.older
}

// Read returns the table in force with what is known of it at the same moment.
func (r *Routes) Read() Reading {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Reading{Table: r.table, Row: r.row.Version, Confirmed: r.confirmed, Evidence: r.evidence}
}

// Confirmations returns how often each source confirmed the table.
func (r *Routes) Confirmations() [Sources]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmations
}

// Confirm records that, by the gossip of another entry, the table with version v was the newest at a
// steady time. It has no effect if another version is in force.
func (r *Routes) Confirm(v routetable.Version, at time.Time, entry string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && r.table.Version() == v && at.After(r.confirmed) {
		r.confirm(at, Evidence{FromGossip, entry})
	}
}

// ConfirmCurrent records that, by an answer of the store or of an entry that relays it, the table in
// force was the newest at a steady time. It has no effect while a later table cannot be used: that table
// may have revoked API keys, which would otherwise be accepted for as long as the unusable table is
// stored.
func (r *Routes) ConfirmCurrent(at time.Time, by Evidence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.table != nil && !r.refused && at.After(r.confirmed) {
		r.confirm(at, by)
	}
}

// confirm records a confirmation. The caller must hold r.mu.
func (r *Routes) confirm(at time.Time, by Evidence) {
	r.confirmed, r.evidence = at, by
	r.confirmations[by.Source]++
	if by.Source != FromGossip {
		r.answeredAt, r.onlyGossip = at, false
		return
	}
	if since := at.Sub(r.answeredAt); !r.onlyGossip && since > gossipOnlyAfter {
		r.onlyGossip = true
		r.rec.Note(events.RoutesOnlyGossip, "", "entry", by.Entry, "version", r.table.Version(), "age", r.now().Sub(at), "answer-before", since)
	}
}
