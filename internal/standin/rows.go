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

// Rows stands in for the users' store: tables with one version counter that can be followed, and
// that come back from an older copy.
type Rows struct {
	mu      sync.Mutex
	rows    map[string]platform.Record
	version int64
	epoch   int64
	changed chan struct{}
	began   time.Time
}

// RowsCopy is what a Rows held at a moment.
type RowsCopy struct {
	rows    map[string]platform.Record
	version int64
}

// NewRows returns an empty store in its first epoch.
func NewRows() *Rows {
	return &Rows{rows: map[string]platform.Record{}, epoch: 1, changed: make(chan struct{}), began: time.Now()}
}

// Platform returns the store behind the product's seam.
func (r *Rows) Platform() *platform.Store {
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
	}
}

// Put writes a row and returns the version that it got.
func (r *Rows) Put(table, name, value string) int64 {
	return r.write(table, platform.Record{Name: name, Value: []byte(value)})
}

// Remove takes rows away and returns the version of that.
func (r *Rows) Remove(table string, names ...string) int64 {
	list := make([]platform.Record, 0, len(names))
	for _, n := range names {
		list = append(list, platform.Record{Name: n, Gone: true})
	}
	return r.write(table, list...)
}

func (r *Rows) write(table string, list ...platform.Record) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version++
	for _, row := range list {
		row.Version = r.version
		r.rows[table+"/"+row.Name] = row
	}
	r.tell()
	return r.version
}

// tell ends the calls that wait for a change. It needs the lock.
func (r *Rows) tell() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// Copy copies all that is there.
func (r *Rows) Copy() RowsCopy {
	r.mu.Lock()
	defer r.mu.Unlock()
	return RowsCopy{rows: maps.Clone(r.rows), version: r.version}
}

// ComeBack goes on from a copy, in the next epoch. Calls that wait end with the history gone.
func (r *Rows) ComeBack(c RowsCopy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rows, r.version = maps.Clone(c.rows), c.version
	r.epoch++
	r.tell()
}

// Version returns the newest version.
func (r *Rows) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

func (r *Rows) list(_ context.Context, table string) (platform.Snapshot, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.snapshot(table, -1)
	s.Records = slices.DeleteFunc(s.Records, func(row platform.Record) bool { return row.Gone })
	return s, nil
}

// snapshot returns the rows of a table after a version, in the order of their versions. It needs
// the lock.
func (r *Rows) snapshot(table string, after int64) platform.Snapshot {
	s := platform.Snapshot{Version: r.version, Epoch: r.epoch, Clock: time.Since(r.began)}
	for key, row := range r.rows {
		if name, ok := strings.CutPrefix(key, table+"/"); ok && name == row.Name && row.Version > after {
			s.Records = append(s.Records, row)
		}
	}
	slices.SortFunc(s.Records, func(a, b platform.Record) int { return int(a.Version - b.Version) })
	return s
}

func (r *Rows) changes(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	r.mu.Lock()
	epoch := r.epoch
	r.mu.Unlock()
	for over := false; ; {
		r.mu.Lock()
		s, changed, gone := r.snapshot(table, after), r.changed, after > r.version || r.epoch != epoch
		r.mu.Unlock()
		switch {
		case gone:
			return platform.Snapshot{}, platform.ErrHistoryGone
		case len(s.Records) > 0 || over:
			return s, nil
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-ctx.Done():
			return platform.Snapshot{}, platform.ErrUnknownOutcome
		}
	}
}
