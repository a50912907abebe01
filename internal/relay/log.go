// Package relay shares the contents of the platform's store between entries, so that the number of
// calls to the store does not grow with the number of entries. A few entries, the delegates, poll
// the store and the others long-poll a delegate; an entry that cannot reach the store reads its
// tables from a peer that can.
//
// Each process has a Store, through which its table followers read, and a Log, from which it
// answers its peers. Every relayed answer carries its age, and answers that are too old or come
// from an earlier epoch of the store are rejected.
package relay

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// tombstoneTTL is how long the tombstone of a removed row is kept. The store keeps its own history
// for about the same time.
const tombstoneTTL = 30 * time.Second

// tableLog is the newest known state of one table.
type tableLog struct {
	rows map[string]trackedRow
	// floor is the lowest version from which the log holds all later changes, -1 if the table was
	// not read.
	floor   int64
	version int64
	// gapAfter and gapEnd enclose the versions of which the log may lack rows that were removed again: only the
	// whole table at gapEnd was read. Both are 0 if there is no gap.
	gapAfter, gapEnd int64
	// epoch is the store's epoch in which the rows were read. restored is set once the store was
	// restored from a backup copy, which begins a new epoch. See platform.Snapshot.
	epoch    int64
	restored bool
	asOf     time.Time
	failing  bool
	signals  tableSignals
	// cachedChanges is the latest encoded reply with the changes after version cachedAfter. A
	// reply with records is valid until the rows change or a call to the store fails.
	cachedChanges reply
	cachedAfter   int64
	// cachedTable is the whole table, encoded. It is valid until the rows change.
	cachedTable reply
}

// tableSignals holds two channels: changed is closed at the next change of a table, confirmed when
// the table is next known to be up to date.
type tableSignals struct {
	changed, confirmed chan struct{}
}

type trackedRow struct {
	record    platform.Record
	removedAt time.Time
}

// Log holds the newest known state of the followed tables and answers peers from it.
type Log struct {
	now func() time.Time

	mu     sync.Mutex
	tables map[string]*tableLog
}

// NewLog returns an empty Log.
func NewLog(now func() time.Time) *Log { return &Log{now: now, tables: map[string]*tableLog{}} }

func (l *Log) table(name string) *tableLog {
	t, ok := l.tables[name]
	if !ok {
		t = &tableLog{rows: map[string]trackedRow{}, floor: -1, signals: tableSignals{make(chan struct{}), make(chan struct{})}}
		l.tables[name] = t
	}
	return t
}

// ErrOlderTable is wrapped when a whole table has a lower version than the one that is known. It wraps ErrStale.
var ErrOlderTable = fmt.Errorf("%w: an older table than the known one", ErrStale)

// applyStored merges an answer of the store. A store that states no epoch shows only by a lower version that it was
// restored from a backup copy.
func (l *Log) applyStored(table string, s platform.Snapshot, full bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.table(table); full && s.Epoch == 0 && t.epoch == 0 && s.Version < t.version {
		t.forget()
	}
	return l.merge(table, s, full)
}

// apply merges an answer of a peer into the log. full is set if the answer holds the whole table.
func (l *Log) apply(table string, s platform.Snapshot, full bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.merge(table, s, full)
}

// merge merges an answer into the log. Versions and times of two answers of one epoch may be combined only if the
// rows of the higher version stay: the store had no later version at the later of the two times. Changes of a table
// that was not read are therefore not used, and a whole table of a lower version is rejected. The caller must hold
// l.mu.
func (l *Log) merge(table string, s platform.Snapshot, full bool) error {
	t := l.table(table)
	if !t.advanceEpoch(s.Epoch, full) || t.floor < 0 && !full {
		return nil
	}
	if full && s.Version < t.version {
		return ErrOlderTable
	}
	t.failing = false
	if t.floor < 0 || s.AsOf.After(t.asOf) {
		t.asOf = s.AsOf
		t.signals.confirmed = closeAndReplace(t.signals.confirmed)
	}
	if full {
		t.extendGap(s.Version)
		l.tombstoneMissing(t, s)
	}
	for _, r := range s.Records {
		if r.Version == 0 {
			r.Version = s.Version
		}
		if r.Version >= t.rows[r.Name].record.Version {
			t.rows[r.Name] = l.track(r)
		}
	}
	t.version = max(t.version, s.Version)
	if full || len(s.Records) > 0 {
		t.signals.changed = closeAndReplace(t.signals.changed)
		t.cachedChanges, t.cachedTable = reply{}, reply{}
		l.pruneTombstones(t)
	}
	return nil
}

// advanceEpoch moves the table to the epoch of an answer if that is a later one, and reports
// whether the answer can be applied. It returns false for an answer of an earlier epoch, and for
// changes in a new epoch, of which the whole table must be read first.
func (t *tableLog) advanceEpoch(epoch int64, full bool) bool {
	switch {
	case epoch == 0 || epoch == t.epoch:
		return true
	case epoch < t.epoch:
		return false
	}
	known := t.epoch != 0 || t.floor >= 0
	t.restored = t.restored || t.epoch != 0
	t.epoch = epoch
	if known {
		t.forget()
	}
	return full
}

// forget drops all rows. Waiting peers must read the whole table again.
func (t *tableLog) forget() {
	t.rows, t.floor, t.version, t.gapAfter, t.gapEnd = map[string]trackedRow{}, -1, 0, 0, 0
	t.cachedChanges, t.cachedTable = reply{}, reply{}
	t.signals.changed = closeAndReplace(t.signals.changed)
}

// versionsComparable reports whether versions that a peer counts in the given epoch can be
// compared with the versions here. Epoch 0 means that the peer did not state one.
func (t *tableLog) versionsComparable(epoch int64) bool {
	return epoch == 0 || t.epoch == 0 || epoch == t.epoch
}

// acceptsEpoch reports whether an answer made in the given epoch can be used. An answer of an
// earlier epoch cannot, nor can an answer without an epoch (0) once the store was restored, since
// it may be of an earlier epoch.
func (l *Log) acceptsEpoch(table string, epoch int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	if epoch == 0 {
		return !t.restored
	}
	return epoch >= t.epoch
}

// epoch returns the store's epoch in which a table was last read.
func (l *Log) epoch(table string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(table).epoch
}

// version returns the version of a table.
func (l *Log) version(table string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(table).version
}

// OverrideRow replaces a row that the store restored in an older version. Peers that ask this entry get
// the kept row until the store has a later one.
func (l *Log) OverrideRow(table string, row platform.Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	row.Version = max(t.version, t.rows[row.Name].record.Version)
	t.rows[row.Name] = l.track(row)
	t.cachedChanges, t.cachedTable = reply{}, reply{}
}

// closeAndReplace closes a channel and returns a new one in its place.
func closeAndReplace(c chan struct{}) chan struct{} {
	close(c)
	return make(chan struct{})
}

// tombstoneMissing marks the rows that are missing from a snapshot of the whole table as removed. A later row may
// have been written while the pages of the table were read.
func (l *Log) tombstoneMissing(t *tableLog, s platform.Snapshot) {
	listed := make(map[string]bool, len(s.Records))
	for _, r := range s.Records {
		listed[r.Name] = true
	}
	for name, e := range t.rows {
		if !listed[name] && !e.record.Removed && e.record.Version <= s.Version {
			t.rows[name] = l.track(platform.Record{Name: name, Version: s.Version, Removed: true})
		}
	}
	if t.floor < 0 {
		t.floor = s.Version
	}
}

// extendGap records that only the whole table at a version was read, and not the changes before it. Several gaps
// count as one.
func (t *tableLog) extendGap(version int64) {
	if t.floor < 0 || version == t.version {
		return
	}
	if t.gapEnd == 0 {
		t.gapAfter = t.version
	}
	t.gapEnd = version
}

// listsSince reports whether the log holds all changes after a version.
func (t *tableLog) listsSince(after int64) bool {
	return after >= t.floor && (after <= t.gapAfter || after >= t.gapEnd)
}

func (l *Log) track(r platform.Record) trackedRow {
	e := trackedRow{record: r}
	if r.Removed {
		e.removedAt = l.now()
	}
	return e
}

// pruneTombstones drops tombstones that are older than tombstoneTTL. A peer that has only older
// versions has to read the whole table.
func (l *Log) pruneTombstones(t *tableLog) {
	for name, e := range t.rows {
		if e.record.Removed && l.now().Sub(e.removedAt) > tombstoneTTL {
			t.floor = max(t.floor, e.record.Version)
			delete(t.rows, name)
		}
	}
}

// asOf returns the time at which the newest answer for the table was still up to date, or the zero
// time if there is none.
func (l *Log) asOf(table string) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table(table).asOf
}

// markFailed records that the latest call for the table failed.
func (l *Log) markFailed(table string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	t.failing, t.cachedChanges = true, reply{}
}

// changesReply returns the encoded changes after a version, with the signals for the next change.
// Hundreds of peers ask for the same change at once, so the changes are encoded once for all of
// them.
func (l *Log) changesReply(table string, after, epoch int64) (reply, tableSignals, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	switch {
	case !t.versionsComparable(epoch):
		// On seeing the new epoch, the peer reads the whole table.
		return reply{version: t.version, epoch: t.epoch, asOf: t.asOf, immediate: true}, t.signals, nil
	case epoch == 0 && t.restored:
		return reply{}, tableSignals{}, errNotAnswerable
	case t.floor >= 0 && !t.listsSince(after) && !t.failing:
		return reply{}, tableSignals{}, errHistoryTooShort
	}
	if t.cachedChanges.records == nil || t.cachedAfter != after {
		s, ok := l.since(table, after)
		if !ok {
			return reply{}, tableSignals{}, errNotAnswerable
		}
		var err error
		if t.cachedChanges, err = newReply(s); err != nil {
			return reply{}, tableSignals{}, err
		}
		t.cachedAfter = after
	}
	a := t.cachedChanges
	a.version, a.epoch, a.asOf = t.version, t.epoch, t.asOf
	return a, t.signals, nil
}

// tableReply returns the whole table, encoded once for all peers, with the signals for the next
// change. It returns errNotAnswerable while the table is not known.
func (l *Log) tableReply(table string) (reply, tableSignals, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.table(table)
	if t.floor < 0 {
		return reply{}, t.signals, errNotAnswerable
	}
	if t.cachedTable.records == nil {
		var err error
		if t.cachedTable, err = newReply(l.liveSnapshot(t)); err != nil {
			return reply{}, tableSignals{}, err
		}
	}
	a := t.cachedTable
	a.version, a.epoch, a.asOf = t.version, t.epoch, t.asOf
	return a, t.signals, nil
}

// since returns the rows that changed after a version. ok is false if the log is too short or out
// of date to list them. The caller must hold l.mu.
func (l *Log) since(table string, after int64) (s platform.Snapshot, ok bool) {
	t := l.table(table)
	if t.floor < 0 || !t.listsSince(after) || t.failing {
		return platform.Snapshot{}, false
	}
	if after >= t.version {
		return platform.Snapshot{Version: t.version, AsOf: t.asOf}, true
	}
	return l.snapshot(t, after), true
}

// liveSnapshot returns the whole table without tombstones. The caller must hold l.mu.
func (l *Log) liveSnapshot(t *tableLog) platform.Snapshot {
	s := l.snapshot(t, -1)
	s.Records = slices.DeleteFunc(s.Records, func(r platform.Record) bool { return r.Removed })
	return s
}

func (l *Log) snapshot(t *tableLog, after int64) platform.Snapshot {
	s := platform.Snapshot{Version: t.version, AsOf: t.asOf}
	for _, e := range t.rows {
		if e.record.Version > after {
			s.Records = append(s.Records, e.record)
		}
	}
	return s
}
