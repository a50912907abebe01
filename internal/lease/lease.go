// Package lease implements the lease that a sidecar needs to run calls with a caller's idempotency key.
// The lease of an upstream is a row in the platform's table with a deadline and a fencing token. At most
// one process holds it at a time, as long as clocks differ by no more than Settings.Skew.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/jsonbound"
	"github.com/sparshore/sparshore/internal/platform"
)

// ErrHeld is returned while another process holds the lease.
var ErrHeld = errors.New("lease is held by another process")

// ErrReleased is returned by Renew after Release: a process that has released its lease does not acquire it
// again.
var ErrReleased = errors.New("lease was released by this process")

const group = "lease"

// Settings holds the durations that govern a lease.
type Settings struct {
	// Term is how long a lease lasts after its last renewal.
	Term time.Duration
	// Skew is the largest difference between the clocks of two processes.
	Skew time.Duration
}

// row is the lease as stored in the table.
type row struct {
	Holder string `json:"holder"`
	// Until is the deadline by the holder's clock in Unix milliseconds, 0 once the lease is released.
	Until int64 `json:"until"`
	// Fence is the fencing token, which grows with each new holder.
	Fence int64 `json:"fence"`
}

// Lease is the lease of one upstream as seen by one process.
type Lease struct {
	table    *platform.Table
	key      platform.Key
	holder   string
	settings Settings
	now      func() time.Time

	mu       sync.Mutex
	until    time.Time
	since    time.Time
	fence    int64
	first    bool
	released bool
}

// New returns a lease that is not held yet. now must read the wall clock: a clock that stops while the
// process is suspended would make an expired lease look valid.
func New(table *platform.Table, upstream, holder string, settings Settings, now func() time.Time) *Lease {
	return &Lease{table: table, key: platform.Key{Group: group, Name: upstream}, holder: holder, settings: settings, now: now}
}

// Valid reports whether the lease is held now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.until)
}

// Since returns the time since which no other process can have held the lease.
func (l *Lease) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

// FirstHolder reports whether no other process has ever held the lease.
func (l *Lease) FirstHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Fence returns the fencing token of the lease, 0 if this process has never held it.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

// Renew acquires or renews the lease. It returns ErrHeld until the deadline of another holder, plus
// Settings.Skew, has passed. If the reply to a write is lost, the next call reads the row again and so
// finds out whether the write took effect.
func (l *Lease) Renew(ctx context.Context) error {
	if l.isReleased() {
		return ErrReleased
	}
	now := l.now()
	stored, previous, err := l.read(ctx)
	if err != nil {
		return err
	}
	stored = l.reconcile(stored, now)
	renewal := stored.Holder == l.holder
	freeAt := time.UnixMilli(stored.Until).Add(l.settings.Skew)
	if !renewal && stored.Until != 0 && now.Before(freeAt) {
		return fmt.Errorf("%w: %s until %s", ErrHeld, stored.Holder, freeAt.Format(time.RFC3339))
	}
	next := row{Holder: l.holder, Until: now.Add(l.settings.Term).UnixMilli(), Fence: stored.Fence}
	if !renewal {
		next.Fence++
	}
	if err := l.write(ctx, next, previous); err != nil {
		return err
	}
	l.setHeld(next, previous.Revision, renewal, now)
	return nil
}

// reconcile returns the stored lease, corrected by what this process knows. A row with a lower fencing token
// than that of this process comes from a table that was restored from an older copy. If the lease of this
// process is still valid, no other process can have held it since, and reconcile returns that lease.
// Otherwise another holder may be missing from the table, and reconcile keeps only the higher fencing token.
func (l *Lease) reconcile(stored row, now time.Time) row {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stored.Fence >= l.fence {
		return stored
	}
	if now.Before(l.until) {
		return row{Holder: l.holder, Until: l.until.UnixMilli(), Fence: l.fence}
	}
	stored.Fence = l.fence
	return stored
}

// setHeld records that this process has written the lease next at time now. renewal tells whether it was the
// holder before.
func (l *Lease) setHeld(next row, previousRevision int64, renewal bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	if !renewal || l.since.IsZero() {
		l.since = now
		l.first = previousRevision == 0 && l.fence == 0
	}
	l.until = time.UnixMilli(next.Until)
	l.fence = next.Fence
}

func (l *Lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Release releases the lease for good, so that a successor need not wait for its deadline.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, fence := !l.until.IsZero(), l.fence
	l.until = time.Time{}
	l.released = true
	l.mu.Unlock()
	if !held {
		return nil
	}
	stored, previous, err := l.read(ctx)
	if err != nil {
		return err
	}
	if stored.Holder != l.holder {
		return nil
	}
	return l.write(ctx, row{Holder: l.holder, Fence: fence}, previous)
}

// read returns the stored lease and its table row. Both are empty if there is no row.
func (l *Lease) read(ctx context.Context) (row, platform.Row, error) {
	r, err := l.table.Get(ctx, l.key)
	if errors.Is(err, platform.ErrNotFound) {
		return row{}, platform.Row{}, nil
	}
	if err != nil {
		return row{}, platform.Row{}, fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	var v row
	if err := jsonbound.Unmarshal(r.Value, jsonbound.MaxRowBytes, &v); err != nil {
		return row{}, platform.Row{}, fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	return v, r, nil
}

// write replaces the row previous with v. It fails if the row has changed since it was read.
func (l *Lease) write(ctx context.Context, v row, previous platform.Row) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	err = l.table.Commit(ctx, platform.Write{Row: platform.Row{Key: l.key, Revision: previous.Revision + 1, Value: b}, Expected: previous.Value})
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	return nil
}
