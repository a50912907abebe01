package directory

import (
	"context"
	"math/rand/v2"
	"time"
)

// join reads the list of entries and writes this entry's row, and retries each call until it
// succeeds. The retry delays are short, because an entry without a list of the others identifies
// poison requests by its own observations only, and takes the whole of what all entries share, such
// as retry budgets.
//
// An entry that finds others contacts them, and entries in contact inform each other of further entries. Its
// row is therefore not urgent and is written after a random delay: the store accepts only a few
// hundred rows a second, and would refuse rows of hundreds of entries that start together. An entry
// that finds no other writes its row at once and reads the list again.
func (d *Directory) join(ctx context.Context) {
	if d.settings.FirstDeployment {
		sleep(ctx, randomUpTo(d.settings.FirstReadSpread))
	}
	d.retry(ctx, d.read)
	written := d.alone
	if d.alone {
		d.retry(ctx, d.renew)
		d.readAgainIfAlone(ctx)
	} else {
		d.callbacks.OnReady()
		d.awaitContact(ctx, d.settings.ContactTimeout)
		if d.callbacks.ContactCount() == 0 {
			d.retry(ctx, d.renew)
			d.retry(ctx, d.read)
			written = true
		}
	}
	d.callbacks.OnReady()
	if !written {
		d.awaitRenewalRequest(ctx, randomUpTo(time.Duration(max(d.listed, d.callbacks.ContactCount()))*d.settings.SharedWriteInterval))
		d.retry(ctx, d.renew)
	}
}

// readAgainIfAlone is for an entry that found no other one, because others may have read the list
// at the same moment. It reads the list again after a random delay. If another entry makes contact
// during the delay, it only waits for that entry to inform it of further entries.
func (d *Directory) readAgainIfAlone(ctx context.Context) {
	d.awaitContact(ctx, randomUpTo(d.settings.RereadDelayMax))
	if d.callbacks.ContactCount() == 0 {
		d.retry(ctx, d.read)
		return
	}
	sleep(ctx, d.settings.IntroductionDelay)
}

// randomUpTo returns a random duration between 0 and limit.
func randomUpTo(limit time.Duration) time.Duration { return rand.N(limit + 1) }

// awaitRenewalRequest returns after the timeout, on a request of RenewSoon, or when ctx ends.
func (d *Directory) awaitRenewalRequest(ctx context.Context, timeout time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.renewRequests:
	case <-time.After(timeout):
	}
}

// contactPollInterval is the time between two checks for a message from another entry.
const contactPollInterval = 5 * time.Millisecond

// awaitContact returns when messages of another entry arrive, or after the timeout.
func (d *Directory) awaitContact(ctx context.Context, timeout time.Duration) {
	for remaining := timeout; remaining > 0 && ctx.Err() == nil && d.callbacks.ContactCount() == 0; remaining -= contactPollInterval {
		sleep(ctx, min(remaining, contactPollInterval))
	}
}

// retry calls call until it succeeds or ctx ends, with exponential backoff and jitter.
func (d *Directory) retry(ctx context.Context, call func(ctx context.Context) error) {
	for wait := retryDelayMin; ctx.Err() == nil; wait = min(2*wait, retryDelayMax) {
		err := call(ctx)
		d.recordResult(err)
		if err == nil {
			return
		}
		sleep(ctx, withJitter(wait))
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// withJitter returns a random duration from 0.5 to 1.5 times mean, so that entries that start
// together do not keep calling at the same moments.
func withJitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}
