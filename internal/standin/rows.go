package standin

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// RecordStore is an in-memory store of records. All tables share one version counter, readers can follow the
// changes of a table, and the store can be restored from a backup.
type RecordStore struct {
	mu      sync.Mutex
	records map[string]platform.Record
	version int64
	epoch   int64
	changed chan struct{}
	started time.Time
}

// RecordStoreBackup is a backup of a RecordStore.
type RecordStoreBackup struct {
	records map[string]platform.Record
	version int64
}

// NewRecordStore returns an empty store in its first epoch.
func NewRecordStore() *RecordStore {
	return &RecordStore{records: map[string]platform.Record{}, epoch: 1, changed: make(chan struct{}), started: time.Now()}
}

// Store returns the store behind the interface that the product uses.
func (r *RecordStore) Store() *platform.Store {
	return &platform.Store{
		List: r.list, Changes: r.changes,
		Put: func(_ context.Context, table, name string, value []byte) error {
			r.Put(table, name, string(value))
			return nil
		},
		Remove: func(_ context.Context, table string, names ...string) error {
			r.Remove(table, names...)
			return nil
		},
		RemoveVersion: r.removeVersion,
	}
}

// Put writes a record and returns its version.
func (r *RecordStore) Put(table, name, value string) int64 {
	return r.write(table, platform.Record{Name: name, Value: []byte(value)})
}

// Remove writes a tombstone for each record, all with the same version, and returns that version.
func (r *RecordStore) Remove(table string, names ...string) int64 {
	list := make([]platform.Record, 0, len(names))
	for _, n := range names {
		list = append(list, platform.Record{Name: n, Removed: true})
	}
	return r.write(table, list...)
}

func (r *RecordStore) removeVersion(_ context.Context, table, name string, version int64) error {
	r.mu.Lock()
	stored := r.records[table+"/"+name]
	r.mu.Unlock()
	if stored.Removed || stored.Version != version {
		return platform.ErrConflict
	}
	r.Remove(table, name)
	return nil
}

func (r *RecordStore) write(table string, list ...platform.Record) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	for _, record := range list {
		record.Version = r.version
		r.records[table+"/"+record.Name] = record
	}
	r.notifyWaiters()
	return r.version
}

// notifyWaiters wakes the calls that wait for a change. The caller holds r.mu.
func (r *RecordStore) notifyWaiters() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Backup returns a backup of all tables.
func (r *RecordStore) Backup() RecordStoreBackup {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RecordStoreBackup{records: maps.Clone(r.records), version: r.version}
}

// Restore restores all tables from a backup and starts the next epoch. Calls that wait for a change fail
// with platform.ErrHistoryGone.
func (r *RecordStore) Restore(c RecordStoreBackup) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records, r.version = maps.Clone(c.records), c.version
	r.epoch++
	r.notifyWaiters()
}

// Version returns the version of the newest change.
func (r *RecordStore) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *RecordStore) list(_ context.Context, table string) (platform.Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.snapshot(table, -1)
	s.Records = slices.DeleteFunc(s.Records, func(record platform.Record) bool { return record.Removed })
	return s, nil
}

// snapshot returns the records of a table that are newer than a version, ordered by version. The caller
// holds r.mu.
func (r *RecordStore) snapshot(table string, after int64) platform.Snapshot {
	s := platform.Snapshot{Version: r.version, Epoch: r.epoch, Clock: time.Since(r.started)}
	for key, record := range r.records {
		if name, ok := strings.CutPrefix(key, table+"/"); ok && name == record.Name && record.Version > after {
			s.Records = append(s.Records, record)
		}
	}
	slices.SortFunc(s.Records, func(a, b platform.Record) int { return int(a.Version - b.Version) })
	return s
}

func (r *RecordStore) changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	r.mu.Lock()
	epoch := r.epoch
	r.mu.Unlock()
	for timedOut := false; ; {
		r.mu.Lock()
		s, changed, historyGone := r.snapshot(table, after), r.changed, after > r.version || r.epoch != epoch
		r.mu.Unlock()
		switch {
		case historyGone:
			return platform.Snapshot{}, platform.ErrHistoryGone
		case len(s.Records) > 0 || timedOut:
			return s, nil
		}
		select {
		case <-changed:
		case <-end.C:
			timedOut = true
		case <-ctx.Done():
			return platform.Snapshot{}, platform.ErrUnknownOutcome
		}
	}
}
