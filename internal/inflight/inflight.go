// Package inflight counts the requests in flight, so that a draining entry or sidecar can wait for
// them. A sync.WaitGroup is not suitable: new requests may still arrive while a caller waits, which its
// documentation forbids when the counter is zero.
package inflight

import (
	"context"
	"sync/atomic"
	"time"
)

// pollInterval is how often WaitIdle checks the counter. Draining is not urgent, so polling is enough.
const pollInterval = 20 * time.Millisecond

// Counter counts requests in flight. The zero value is ready to use.
type Counter struct{ n atomic.Int64 }

// Enter counts a request that begins.
func (c *Counter) Enter() { c.n.Add(1) }

// Leave counts a request that ends.
func (c *Counter) Leave() { c.n.Add(-1) }

// WaitIdle waits until no request is in flight. It returns false if ctx ends first.
func (c *Counter) WaitIdle(ctx context.Context) bool {
	for c.n.Load() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pollInterval):
		}
	}
	return true
}
