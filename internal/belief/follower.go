// Package belief keeps what a process believes about a table of the store
// together with how old that belief is: the store's version and the steady time
// at which it was last confirmed to be the newest.
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

// Settings are the fixed numbers of a Follower.
type Settings struct {
	// Table is the table followed.
	Table string
	// Wait is how long the store holds a call for changes. It bounds how often
	// the belief is confirmed while nothing changes.
	Wait time.Duration
	// Slack is the time beyond Wait after which a call is given up.
	Slack time.Duration
	// ListWithin is the time after which a read of the whole table is given up, which
	// may take as many calls as the table has pages.
	ListWithin time.Duration
	// PauseLeast and PauseMost bound the back-off after failed calls.
	PauseLeast time.Duration
	PauseMost  time.Duration
	// SettleFor is how long after an outage the rows may still be incomplete:
	// rows that lapsed while the store was away need time to come back.
	SettleFor time.Duration
	// RestoreFor is how long after the store came back from an older copy its rows may still
	// be written again. Then the whole table is read once more.
	RestoreFor time.Duration
	// Gather is the pause after an answer with changes: those that come close
	// together share a call. While changes go on coming it doubles, up to GatherMost.
	Gather     time.Duration
	GatherMost time.Duration
}

// Follower follows one table of the store.
type Follower struct {
	settings Settings
	store    *platform.Store
	apply    func(s platform.Snapshot, full bool)
	confirm  func(at time.Time)
	lost     func()
	rec      *events.Recorder
	now      func() time.Time
	sleep    func(ctx context.Context, d time.Duration)

	mu        sync.Mutex
	version   int64
	epoch     int64
	synced    bool
	confirmed time.Time
	failures  int
	settled   time.Time
	// listAt is when the whole table is to be read once more; zero for not.
	listAt    time.Time
	interrupt context.CancelFunc
	// busy counts the answers with changes that came in quick succession.
	busy int
}

// New returns a Follower that hands each answer to apply, where full marks one
// that holds the whole table, and then tells confirm the steady time for which
// all that was applied is known to be the newest. It calls lost when the store
// stops answering.
func New(settings Settings, store *platform.Store, apply func(s platform.Snapshot, full bool), confirm func(at time.Time), lost func(), rec *events.Recorder, now func() time.Time) *Follower {
	return &Follower{settings: settings, store: store, apply: apply, confirm: confirm, lost: lost, rec: rec, now: now, sleep: sleep}
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Confirmed returns the steady time at which the belief was last known to be
// the newest; the zero time if it never was.
func (f *Follower) Confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Settled returns the time from which missing rows are to be taken as gone. It
// lies in the future for a while after an outage; during one it is zero and ok
// is false.
func (f *Follower) Settled() (at time.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.settled, f.failures == 0
}

// Interrupt ends the call under way, which counts as failed. It is for when
// another sign says that the store does not answer.
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
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.failed(ctx, err)
		}
	}
}

// step makes one call and takes over its answer, which confirms the belief for
// the moment at which the store made it.
func (f *Follower) step(ctx context.Context) error {
	sent, full := f.now(), f.wantsAll()
	within := f.settings.Wait + f.settings.Slack
	if full {
		within = max(within, f.settings.ListWithin)
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
		s, err = f.store.Changes(ctx, f.settings.Table, f.version, f.wait())
	}
	if errors.Is(err, platform.ErrHistoryGone) || errors.Is(err, platform.ErrRestored) {
		f.synced = false
		f.rec.Note(events.StoreHistoryGone, "", "table", f.settings.Table, "version", f.version, "epoch", f.epoch)
		return nil
	}
	if err != nil {
		return err
	}
	switch {
	case s.Epoch != 0 && s.Epoch < f.epoch:
		return fmt.Errorf("%w: epoch %d, known %d", errOlderEpoch, s.Epoch, f.epoch)
	case s.Epoch > f.epoch && !full:
		// Its versions cannot be compared with the known one, so rows may be passed over.
		f.synced = false
		return nil
	}
	f.succeeded(&s, full)
	if full || len(s.Records) > 0 {
		f.apply(s, full)
		defer f.sleep(ctx, f.gather(f.now().Sub(sent)))
	}
	made := s.Made
	if made.IsZero() {
		made = sent
	}
	f.mu.Lock()
	f.confirmed = made
	f.mu.Unlock()
	f.confirm(made)
	return nil
}

// busyWithin is the time within which the answer to a call for changes tells that
// more of them come: some of the calls that the pauses between them would allow.
const busyWithin = 500 * time.Millisecond

// gather is the pause after an answer with changes that took some time to come.
func (f *Follower) gather(took time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if took > busyWithin {
		f.busy = 0
	}
	pause := min(f.settings.Gather<<min(f.busy, 16), max(f.settings.GatherMost, f.settings.Gather))
	f.busy++
	return pause
}

// holdLeast is the part of Wait for which a call is held at least, so that calls do
// not follow each other at once where answers come late.
const holdLeast = 0.25

// wait is how long the store may hold the next call: until what is known here has grown
// as old as Wait, the pause after an answer with changes included. Others ask for it and
// go by it up to an age just above Wait; with the whole of Wait after a pause of 200 ms it
// would be older. The first call after a failure is
// answered at once, because others wait for its confirmation.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		return 0
	}
	left := f.settings.Wait - f.now().Sub(f.confirmed)
	least := time.Duration(holdLeast * float64(f.settings.Wait))
	return min(max(left, least), f.settings.Wait)
}

// errOlderEpoch is for an answer made before the store was restored from a copy.
var errOlderEpoch = errors.New("answer is older than the store's return from a copy")

// wantsAll reports whether the whole table is to be read.
func (f *Follower) wantsAll() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.synced || !f.listAt.IsZero() && !f.now().Before(f.listAt)
}

func (f *Follower) succeeded(s *platform.Snapshot, full bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.settled = f.now().Add(f.settings.SettleFor)
		f.rec.Note(events.StoreRegained, "", "table", f.settings.Table, "version", s.Version, "failures", f.failures, "unconfirmed-for", f.now().Sub(f.confirmed))
	}
	f.failures = 0
	f.synced = true
	if full {
		f.listAt = time.Time{}
	}
	if s.Epoch <= f.epoch {
		f.version = max(f.version, s.Version)
		return
	}
	if f.epoch != 0 {
		s.Restored = true
		f.settled = f.now().Add(f.settings.RestoreFor)
		f.listAt = f.settled
		f.rec.Note(events.StoreRestored, "", "table", f.settings.Table, "epoch", s.Epoch, "before", f.epoch, "version", s.Version, "known-version", f.version)
	}
	f.epoch, f.version = s.Epoch, s.Version
}

// failed notes the first failure of a row of them and backs off.
func (f *Follower) failed(ctx context.Context, err error) {
	f.mu.Lock()
	f.failures++
	n := f.failures
	since := f.confirmed
	f.mu.Unlock()
	if n == 1 {
		f.rec.Note(events.StoreLost, "", "table", f.settings.Table, "version", f.version, "confirmed-before", f.now().Sub(since), "error", err)
		f.lost()
	}
	most := min(f.settings.PauseLeast<<min(n-1, 16), f.settings.PauseMost)
	f.sleep(ctx, most/2+time.Duration(rand.Int64N(int64(most/2)+1)))
}
