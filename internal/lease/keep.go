package lease

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// renewals is how often a lease is renewed within its term.
	renewals = 3
	// firstRetry and lastRetry bound the pause after an error. The last one is
	// long enough for 870 processes that come back from an outage together to
	// stay within 100 writes a second.
	firstRetry = 2 * time.Second
	lastRetry  = 32 * time.Second
)

// Keep renews the lease well before its deadline until ctx ends. After an error
// it tries again with pauses that double; all pauses are spread at random. note
// is called after each try with whether the lease is held.
func (l *Lease) Keep(ctx context.Context, note func(held bool, err error)) {
	retry := firstRetry
	for {
		err := l.Renew(ctx)
		if ctx.Err() != nil {
			return
		}
		note(l.Valid(), err)
		pause := l.settings.Term / renewals
		if err != nil {
			pause = min(pause, retry)
			retry = min(2*retry, lastRetry)
		} else {
			retry = firstRetry
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause/2 + rand.N(pause/2)):
		}
	}
}
