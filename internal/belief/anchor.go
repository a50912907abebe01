package belief

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// WithAnswerTimes returns a store whose answers carry the time at which they were up to date, on this
// process's steady clock. For the tables in proven it is the time at which the call was sent: an answer may
// be from any moment after that, whatever clock it states. For other tables it is when the store produced the
// answer by its own clock. That is later for a call that the store held, but wrong if the store read the rows
// some time before it read its clock.
func WithAnswerTimes(store *platform.Store, now func() time.Time, proven ...string) *platform.Store {
	var mu sync.Mutex
	var a anchor
	stamp := func(table string, s platform.Snapshot, sent time.Time) platform.Snapshot {
		if slices.Contains(proven, table) {
			s.AsOf = sent
			return s
		}
		mu.Lock()
		defer mu.Unlock()
		s.AsOf = a.observe(s.Clock, sent, now())
		return s
	}
	out := *store
	out.List = func(ctx context.Context, table string) (platform.Snapshot, error) {
		sent := now()
		s, err := store.List(ctx, table)
		if err != nil {
			return s, err
		}
		return stamp(table, s, sent), nil
	}
	out.Changes = func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
		sent := now()
		s, err := store.Changes(ctx, table, after, wait)
		if err != nil {
			return s, err
		}
		return stamp(table, s, sent), nil
	}
	return &out
}

// anchor relates the store's steady clock to that of this process. An answer to a call that the
// store holds for changes arrives long after the call was sent. The store's clock in it, compared
// with that of a quick answer, shows when it was produced.
type anchor struct {
	clock time.Duration
	// at is a local steady time that is not after the moment at which the store's clock read clock.
	at  time.Time
	set bool
}

// observe processes the store's clock of an answer and returns a local steady time that is not
// after the moment at which the answer was produced.
func (a *anchor) observe(clock time.Duration, sent, received time.Time) time.Time {
	if !a.set || clock < a.clock {
		a.clock, a.at, a.set = clock, sent, true
		return sent
	}
	made := a.at.Add(clock - a.clock)
	if made.After(received) {
		// The clocks disagree. The answer was produced after its call was sent, whatever they read.
		a.clock, a.at = clock, sent
		return sent
	}
	if sent.After(made) {
		made = sent
	}
	a.clock, a.at = clock, made
	return made
}
