// Package inflight counts what is in flight, so that a planned stop can wait for
// it. A sync.WaitGroup does not serve here: work may still come while someone
// waits, which its documentation rules out.
package inflight

import (
	"context"
	"sync/atomic"
	"time"
)

// poll is how often a waiter looks; a planned stop is in no hurry.
const poll = 20 * time.Millisecond

// Counter counts what is in flight.
type Counter struct{ n atomic.Int64 }

// Enter adds one.
func (c *Counter) Enter() { c.n.Add(1) }

// Leave takes one away.
func (c *Counter) Leave() { c.n.Add(-1) }

// Idle waits until nothing is in flight; it returns false if ctx ends first.
func (c *Counter) Idle(ctx context.Context) bool {
	for c.n.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(poll):
		}
	}
	return true
}
