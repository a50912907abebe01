package belief

import (
	"context"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// Anchored returns a store whose answers tell, in this process's steady time,
// when they were made.
func Anchored(store *platform.Store, now func() time.Time) *platform.Store {
	var mu sync.Mutex
	var a anchor
	note := func(s platform.Snapshot, sent time.Time) platform.Snapshot {
		mu.Lock()
		defer mu.Unlock()
		s.Made = a.note(s.Clock, sent, now())
		return s
	}
	out := *store
	out.List = func(ctx context.Context, table string) (platform.Snapshot, error) {
		sent := now()
		s, err := store.List(ctx, table)
		if err != nil {
			return s, err
		}
		return note(s, sent), nil
	}
	out.Changes = func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
		sent := now()
		s, err := store.Changes(ctx, table, after, wait)
		if err != nil {
			return s, err
		}
		return note(s, sent), nil
	}
	return &out
}

// anchor relates the store's steady clock to the process's. A call that the
// store holds for changes is answered long after it was sent; the store's clock
// in the answer, measured from that of a quick answer, tells when it was made.
type anchor struct {
	clock time.Duration
	// at is a steady time that is not after the moment at which the store's
	// clock read clock.
	at  time.Time
	set bool
}

// note takes over an answer that shows the store's clock and returns a steady
// time that is not after the moment the answer was made.
func (a *anchor) note(clock time.Duration, sent, received time.Time) time.Time {
	if !a.set || clock < a.clock {
		a.clock, a.at, a.set = clock, sent, true
		return sent
	}
	made := a.at.Add(clock - a.clock)
	if made.After(received) {
		// The clocks disagree; the time of sending is true whatever they read.
		a.clock, a.at = clock, sent
		return sent
	}
	if sent.After(made) {
		made = sent
	}
	a.clock, a.at = clock, made
	return made
}
