package belief

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

var (
	// errNotSynced is returned while the table has not been read.
	errNotSynced = errors.New("the table has not been read")
	// errFailedRecently is wrapped while a failed call is not repeated.
	errFailedRecently = errors.New("the store did not answer a moment ago")
)

// appliedInterval is the time between two checks whether changes were applied.
const appliedInterval = 5 * time.Millisecond

// VerifierSettings holds the fixed parameters of a Verifier.
type VerifierSettings struct {
	// Timeout bounds the call to the store and the wait until changes that it reports are applied.
	Timeout time.Duration
	// RetryAfter is the time after a failed call within which none is made.
	RetryAfter time.Duration
	// Spacing returns the least time between two calls. It bounds the calls of all entries together.
	Spacing func() time.Duration
}

// Verifier makes sure that what a Follower applied is the newest as of a given time. The Follower itself learns that
// only when a call that the store holds is answered, and from other entries, whose answers are older. The time is that
// at which a call was sent: the store's clock in an answer may be later than its rows.
type Verifier struct {
	settings VerifierSettings
	follower *Follower
	store    *platform.Store
	now      func() time.Time
	// calling holds a value during a call, so that those that need one share it. It guards the fields below.
	calling chan struct{}
	// verified is the latest time as of which the local state was the newest.
	verified time.Time
	failed   error
	// nextCall is when the next call may be made, and retryAt the same after a failure.
	nextCall, retryAt time.Time
}

// NewVerifier returns a Verifier that asks store for changes that follower lacks.
func NewVerifier(settings VerifierSettings, follower *Follower, store *platform.Store, now func() time.Time) *Verifier {
	return &Verifier{settings: settings, follower: follower, store: store, now: now, calling: make(chan struct{}, 1)}
}

// Verify returns nil once everything that the store had at the given steady time has been applied. It returns an error
// if the store does not answer, or if the changes are not applied in time.
func (v *Verifier) Verify(ctx context.Context, after time.Time) error {
	select {
	case v.calling <- struct{}{}:
		defer func() { <-v.calling }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !v.verified.Before(after) {
		return nil
	}
	if v.now().Before(v.retryAt) {
		return fmt.Errorf("%w: %w", errFailedRecently, v.failed)
	}
	if sleep(ctx, v.nextCall.Sub(v.now())); ctx.Err() != nil {
		return ctx.Err()
	}
	v.nextCall = v.now().Add(v.settings.Spacing())
	// The call is for all that wait, also if this caller leaves.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), v.settings.Timeout)
	defer cancel()
	if err := v.call(ctx); err != nil {
		v.failed, v.retryAt = err, v.now().Add(v.settings.RetryAfter)
		return err
	}
	return nil
}

func (v *Verifier) call(ctx context.Context) error {
	version, epoch, ok := v.follower.applied()
	if !ok {
		return errNotSynced
	}
	sent := v.now()
	s, err := v.store.Changes(ctx, v.follower.settings.Table, version, 0)
	if err != nil {
		return err
	}
	newest := version
	for _, r := range s.Records {
		newest = max(newest, r.Version)
	}
	for {
		done, err := v.follower.confirmApplied(newest, s.Epoch, epoch, sent)
		if err != nil {
			return err
		}
		if done {
			v.verified = sent
			return nil
		}
		if sleep(ctx, appliedInterval); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// applied returns the version and epoch up to which changes have been applied; ok is false before the first.
func (f *Follower) applied() (version, epoch int64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.appliedVersion, f.epoch, !f.confirmed.IsZero()
}

// confirmApplied confirms the local state as of a steady time if it holds all changes up to a version. It returns an
// error if the store was restored from a backup since: versions of different epochs cannot be compared.
func (f *Follower) confirmApplied(version, answered, epoch int64, at time.Time) (done bool, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case answered != epoch || f.epoch != epoch:
		return false, fmt.Errorf("%w: epoch %d, known %d", platform.ErrRestored, answered, f.epoch)
	case f.appliedVersion < version:
		return false, nil
	}
	f.confirm(at)
	return true, nil
}
