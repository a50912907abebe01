// Package belief follows tables of the store and records how current the local state is: the
// store's version, and the steady time at which that version was last confirmed to be the newest.
// The gateway daemon runs a Follower for each table, which long-polls the store for changes. Routes
// and Zones hold the route table and the closed zones that the answers contain. The route table in
// force never goes back to an older version, even if the store is restored from a backup.
package belief

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
)

// Settings holds the fixed parameters of a Follower.
type Settings struct {
	// Table is the table to follow.
	Table string
	// HoldTime is how long the store may hold a call for changes. It bounds the interval between
	// confirmations while nothing changes.
	HoldTime time.Duration
	// CallSlack is added to HoldTime for the timeout of a call.
	CallSlack time.Duration
	// ListTimeout is the timeout of a read of the whole table, which may take a call for each page.
	ListTimeout time.Duration
	// BackoffMin and BackoffMax bound the backoff after failed calls.
	BackoffMin time.Duration
	BackoffMax time.Duration
	// SettleFor is how long after an outage the table may still lack rows: rows that expired while
	// the store was unavailable need time to be written again.
	SettleFor time.Duration
	// RestoreFor is how long after a restore of the store from a backup lost rows may still be
	// written again. After that the whole table is read once more.
	RestoreFor time.Duration
	// GatherDelay is the pause after an answer with changes, so that changes close together share a
	// call. It doubles while changes keep coming, up to GatherDelayMax.
	GatherDelay    time.Duration
	GatherDelayMax time.Duration
}

// Follower follows one table of the store.
type Follower struct {
	settings Settings
	store    *platform.Store
	apply    func(s platform.Snapshot, full bool)
	confirm  func(at time.Time)
	onLost   func()
	rec      *events.Recorder
	now      func() time.Time
	sleep    func(ctx context.Context, d time.Duration)

	mu        sync.Mutex
	version   int64
	epoch     int64
	synced    bool
	confirmed time.Time
	// appliedVersion is the version up to which changes have been applied.
	appliedVersion int64
	failures       int
	settled        time.Time
	// relistAt is when the whole table is to be read again; zero if that is not planned.
	relistAt  time.Time
	interrupt context.CancelFunc
	// burst counts the answers with changes that came in quick succession.
	burst int
}

// New returns a Follower. It passes each answer to apply, where full marks an answer that holds the
// whole table. It then calls confirm with the steady time at which everything applied so far was
// known to be the newest. It calls lost when the store stops answering.
func New(settings Settings, store *platform.Store, apply func(s platform.Snapshot, full bool), confirm func(at time.Time), lost func(), rec *events.Recorder, now func() time.Time) *Follower {
	return &Follower{settings: settings, store: store, apply: apply, confirm: confirm, onLost: lost, rec: rec, now: now, sleep: sleep}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Confirmed returns the steady time at which the local state was last known to be the newest; zero
// if it never was.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Settled returns the time from which missing rows count as removed. After an outage or a restore
// it lies in the future for a while, since rows may be written again. ok is false during an outage.
func (f *Follower) Settled() (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled, f.failures == 0
}

// Interrupt cancels the call in progress, which then counts as failed. It is called when something
// else shows that the store does not answer.
func (f *Follower) Interrupt() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.interrupt != nil {
		f.interrupt()
	}
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.poll(ctx); err != nil && ctx.Err() == nil {
			f.handleFailure(ctx, err)
		}
	}
}

// poll makes one call and applies its answer, which confirms the local state as of the moment at
// which the store produced the answer.
func (f *Follower) poll(ctx context.Context) error {
	sent, full := f.now(), f.needsWholeTable()
	within := f.settings.HoldTime + f.settings.CallSlack
	if full {
		within = max(within, f.settings.ListTimeout)
	}
	ctx, cancel := context.WithDeadline(ctx, sent.Add(within))
	defer cancel()
	f.mu.Lock()
	f.interrupt = cancel
	f.mu.Unlock()
	var s platform.Snapshot
	var err error
	if full {
		s, err = f.store.List(ctx, f.settings.Table)
	} else {
		s, err = f.store.Changes(ctx, f.settings.Table, f.version, f.holdTime())
	}
	if errors.Is(err, platform.ErrHistoryGone) || errors.Is(err, platform.ErrRestored) {
		f.synced = false
		f.rec.Note(events.StoreHistoryGone, "", "table", f.settings.Table, "version", f.version, "epoch", f.epoch, "error", err)
		return nil
	}
	if err != nil {
		return err
	}
	full = full || s.Full
	switch {
	case s.Epoch != 0 && s.Epoch < f.epoch:
		return fmt.Errorf("%w: epoch %d, known %d", errOlderEpoch, s.Epoch, f.epoch)
	case s.Epoch > f.epoch && !full:
		// Versions of different epochs cannot be compared, so this answer may lack rows. The whole
		// table is read next.
		f.synced = false
		return nil
	case full && f.epoch != 0 && s.Epoch <= f.epoch && s.Version < f.version:
		return fmt.Errorf("%w: version %d, known %d", errOlderTable, s.Version, f.version)
	}
	f.recordSuccess(&s, full)
	if full || len(s.Records) > 0 {
		f.apply(s, full)
		defer f.sleep(ctx, f.gatherPause(f.now().Sub(sent)))
	}
	made := s.AsOf
	if made.IsZero() {
		made = sent
	}
	f.mu.Lock()
	f.confirmed, f.appliedVersion = made, f.version
	f.mu.Unlock()
	f.confirm(made)
	return nil
}

// burstWithin is how soon an answer with changes has to arrive after its call to show that more
// changes are coming. It is longer than several calls and the pauses between them.
const burstWithin = 500 * time.Millisecond

// gatherPause returns the pause after an answer with changes that arrived after a time of took.
func (f *Follower) gatherPause(took time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if took > burstWithin {
		f.burst = 0
	}
	pause := min(f.settings.GatherDelay<<min(f.burst, 16), max(f.settings.GatherDelayMax, f.settings.GatherDelay))
	f.burst++
	return pause
}

// minHoldPart is the part of HoldTime for which the store may hold a call at least, so that calls do
// not follow each other without delay when answers arrive late.
const minHoldPart = 0.25

// holdTime returns how long the store may hold the next call: until the local state reaches an age
// of HoldTime, so that the pause after an answer with changes is subtracted. Other entries read the
// local state and accept it up to an age just above HoldTime; it would exceed that if the store held
// the call for all of HoldTime after a pause of 200 ms. The first call after a failure is not held,
// because callers wait for its confirmation.
func (f *Follower) holdTime() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		return 0
	}
	remaining := f.settings.HoldTime - f.now().Sub(f.confirmed)
	least := time.Duration(minHoldPart * float64(f.settings.HoldTime))
	return min(max(remaining, least), f.settings.HoldTime)
}

// errOlderEpoch marks an answer from before the store was restored from a backup.
var errOlderEpoch = errors.New("answer is older than the store's restore from a backup")

// errOlderTable marks a whole table of a lower version than the known one. Without epochs, a lower version shows that
// the store was restored from a backup.
var errOlderTable = errors.New("whole table is older than the known one")

// needsWholeTable reports whether the next call is to read the whole table.
func (f *Follower) needsWholeTable() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.synced || !f.relistAt.IsZero() && !f.now().Before(f.relistAt)
}

// recordSuccess records the version and epoch of an answer. A higher epoch than the known one shows
// that the store was restored from a backup, and marks the answer as restored.
func (f *Follower) recordSuccess(s *platform.Snapshot, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.settled = f.now().Add(f.settings.SettleFor)
		f.rec.Note(events.StoreRegained, "", "table", f.settings.Table, "version", s.Version, "failures", f.failures, "unconfirmed-for", f.now().Sub(f.confirmed))
	}
	f.failures = 0
	f.synced = true
	if full {
		f.relistAt = time.Time{}
	}
	switch {
	case s.Epoch > f.epoch:
	case full:
		f.version = s.Version
		return
	default:
		f.version = max(f.version, s.Version)
		return
	}
	if f.epoch != 0 {
		s.Restored = true
		f.settled = f.now().Add(f.settings.RestoreFor)
		f.relistAt = f.settled
		f.rec.Note(events.StoreRestored, "", "table", f.settings.Table, "epoch", s.Epoch, "before", f.epoch, "version", s.Version, "known-version", f.version)
	}
	f.epoch, f.version = s.Epoch, s.Version
}

// handleFailure backs off with jitter. It logs the first of consecutive failures and calls onLost
// for it.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	f.mu.Lock()
	f.failures++
	n := f.failures
	since := f.confirmed
	f.mu.Unlock()
	if n == 1 {
		f.rec.Note(events.StoreLost, "", "table", f.settings.Table, "version", f.version, "confirmed-before", f.now().Sub(since), "error", err)
		f.onLost()
	}
	backoff := min(f.settings.BackoffMin<<min(n-1, 16), f.settings.BackoffMax)
	f.sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff/2)+1)))
}
