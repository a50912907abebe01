// Package lease keeps one sidecar's right to run calls that carry a caller's
// key: a row in the table with a deadline. Of several processes that claim the
// same upstream at most one holds it at a time, as long as clocks differ by no
// more than the stated bound.
package lease

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// ErrHeld is returned while another process holds the lease.
var ErrHeld = errors.New("lease is held by another process")

// ErrReleased is returned after Release: a process that gave its lease back
// does not take it again.
var ErrReleased = errors.New("lease was given back")

const group = "lease"

// Settings are the times of a lease.
type Settings struct {
	// Term is how long a lease lasts after its last renewal.
	Term time.Duration
	// Skew bounds how much two clocks differ.
	Skew time.Duration
}

// row is the lease as stored.
type row struct {
	Holder string `json:"holder"`
	// Until is the deadline by the holder's clock, Unix milliseconds; 0 means
	// released.
	Until int64 `json:"until"`
	// Fence grows with each new holder.
	Fence int64 `json:"fence"`
}

// Lease is one process's view of the lease of one upstream.
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

// New returns a lease that is not held yet. now must read the wall clock: a
// clock that stands still while a process is suspended would make an old lease
// look valid.
func New(table *platform.Table, upstream, holder string, settings Settings, now func() time.Time) *Lease {
	return &Lease{table: table, key: platform.Key{Group: group, Name: upstream}, holder: holder, settings: settings, now: now}
}

// Valid reports whether the lease is held now.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.now().Before(l.until)
}

// Since returns the time from which no other process can have held the lease.
func (l *Lease) Since() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.since
}

// First reports whether there never was another holder.
func (l *Lease) First() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first
}

// Fence returns the fencing token that goes with the lease, 0 if it was never
// held.
func (l *Lease) Fence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fence
}

// Renew takes the lease or prolongs it. It returns ErrHeld while another
// holder's deadline, with the clock bound, has not passed. A lost reply is
// settled by reading the row again.
func (l *Lease) Renew(ctx context.Context) error {
	if l.isReleased() {
		return ErrReleased
	}
	now := l.now()
	stored, before, err := l.read(ctx)
	if err != nil {
		return err
	}
	stored = l.known(stored, now)
	mine := stored.Holder == l.holder
	freeAt := time.UnixMilli(stored.Until).Add(l.settings.Skew)
	if !mine && stored.Until != 0 && now.Before(freeAt) {
		return fmt.Errorf("%w: %s until %s", ErrHeld, stored.Holder, freeAt.Format(time.RFC3339))
	}
	next := row{Holder: l.holder, Until: now.Add(l.settings.Term).UnixMilli(), Fence: stored.Fence}
	if !mine {
		next.Fence++
	}
	if err := l.write(ctx, next, before); err != nil {
		return err
	}
	l.hold(next, before.Revision, mine, now)
	return nil
}

// known returns what is known of the lease. A row with an earlier fence than that of this process is
// from a table that was restored from an older copy. While the lease is valid nobody else can have held it
// since; otherwise a holder may have come and gone of which the table tells nothing.
func (l *Lease) known(stored row, now time.Time) row {
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

func (l *Lease) hold(next row, before int64, mine bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.released {
		return
	}
	if !mine || l.since.IsZero() {
		l.since = now
		l.first = before == 0 && l.fence == 0
	}
	l.until = time.UnixMilli(next.Until)
	l.fence = next.Fence
}

func (l *Lease) isReleased() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// Release gives the lease back, so that a successor need not wait.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	held, fence := !l.until.IsZero(), l.fence
	l.until = time.Time{}
	l.released = true
	l.mu.Unlock()
	if !held {
		return nil
	}
	stored, before, err := l.read(ctx)
	if err != nil {
		return err
	}
	if stored.Holder != l.holder {
		return nil
	}
	return l.write(ctx, row{Holder: l.holder, Fence: fence}, before)
}

// read returns the lease and its row, which are empty if there is none.
func (l *Lease) read(ctx context.Context) (row, platform.Row, error) {
	r, err := l.table.Get(ctx, l.key)
	if errors.Is(err, platform.ErrNotFound) {
		return row{}, platform.Row{}, nil
	}
	if err != nil {
		return row{}, platform.Row{}, fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	var v row
	if err := json.Unmarshal(r.Value, &v); err != nil {
		return row{}, platform.Row{}, fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	return v, r, nil
}

// write writes the lease over the row that was read.
func (l *Lease) write(ctx context.Context, v row, before platform.Row) error {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	err = l.table.Commit(ctx, platform.Write{Row: platform.Row{Key: l.key, Revision: before.Revision + 1, Value: b}, Was: before.Value})
	if err != nil {
		return fmt.Errorf("lease %s: %w", l.key.Name, err)
	}
	return nil
}
