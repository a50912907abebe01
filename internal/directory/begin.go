package directory

import (
	"context"
	"math/rand/v2"
	"time"
)

// begin reads the list and lists the own entry, again soon until both have succeeded: an entry that
// knows of no other judges alone, and takes what all share.
//
// One that finds others speaks to them, and entries that hear each other tell each other of the rest.
// So its row is in no hurry, and hundreds that start together need not find it refused: a store takes
// some hundred a second. One that finds nobody lists itself at once and looks again.
func (d *Directory) begin(ctx context.Context) {
	if d.settings.Together {
		pause(ctx, upTo(d.settings.TogetherWithin))
	}
	d.again(ctx, d.read)
	written := d.alone
	if d.alone {
		d.again(ctx, d.renew)
		d.lookAgain(ctx)
	} else {
		d.others.Known()
		d.awaitHeard(ctx, d.settings.HeardWithin)
		if d.others.Heard() == 0 {
			d.again(ctx, d.renew)
			d.again(ctx, d.read)
			written = true
		}
	}
	d.others.Known()
	if !written {
		d.awaitSoon(ctx, upTo(time.Duration(max(d.listed, d.others.Heard()))*d.settings.WriteEach))
		d.again(ctx, d.renew)
	}
}

// lookAgain is for an entry that found nobody: others may have looked at the same moment. It looks
// again after a pause of random length, unless one that did so before has spoken to it.
func (d *Directory) lookAgain(ctx context.Context) {
	d.awaitHeard(ctx, upTo(d.settings.AloneWithin))
	if d.others.Heard() == 0 {
		d.again(ctx, d.read)
		return
	}
	pause(ctx, d.settings.ToldWithin)
}

// upTo returns a random time up to a most.
func upTo(most time.Duration) time.Duration { return rand.N(most + 1) }

// awaitSoon returns after a time, or once the own row is to be renewed soon.
func (d *Directory) awaitSoon(ctx context.Context, most time.Duration) {
	select {
	case <-ctx.Done():
	case <-d.soon:
	case <-time.After(most):
	}
}

// heardEach is the pause between two looks at whether another entry is heard.
const heardEach = 5 * time.Millisecond

// awaitHeard returns once another entry is heard, after a time at most.
func (d *Directory) awaitHeard(ctx context.Context, most time.Duration) {
	for left := most; left > 0 && ctx.Err() == nil && d.others.Heard() == 0; left -= heardEach {
		pause(ctx, min(left, heardEach))
	}
}

// again makes a call, again soon until it has succeeded or ctx ends.
func (d *Directory) again(ctx context.Context, call func(ctx context.Context) error) {
	for wait := firstLeast; ctx.Err() == nil; wait = min(2*wait, firstMost) {
		err := call(ctx)
		d.note(err)
		if err == nil {
			return
		}
		pause(ctx, around(wait))
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// around returns a time from half of a mean to one and a half times it, so that entries that start
// together do not go on calling together.
func around(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)))
}
