package lease

import (
	"context"
	"math/rand/v2"
	"time"
)

const (
	// renewalsPerTerm is the number of renewals within the term of a lease.
	renewalsPerTerm = 3
	// minRetryDelay and maxRetryDelay are the shortest and longest retry delay after an error. The longest
	// delay keeps 870 processes that recover from a table outage at the same time below 100 writes a
	// second.
	minRetryDelay = 2 * time.Second
	maxRetryDelay = 32 * time.Second
)

// RenewUntilDone renews the lease well before its deadline until ctx ends. After an error it retries with
// exponential backoff. All delays have jitter. RenewUntilDone calls report after each attempt with whether
// the lease is held and the error of the attempt.
func (l *Lease) RenewUntilDone(ctx context.Context, report func(held bool, err error)) {
	retryDelay := minRetryDelay
	for {
		err := l.Renew(ctx)
		if ctx.Err() != nil {
			return
		}
		report(l.Valid(), err)
		delay := l.settings.Term / renewalsPerTerm
		if err != nil {
			delay = min(delay, retryDelay)
			retryDelay = min(2*retryDelay, maxRetryDelay)
		} else {
			retryDelay = minRetryDelay
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay/2 + rand.N(delay/2)):
		}
	}
}
