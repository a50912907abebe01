package inflight

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestWaitIdleDuringConcurrentEnterLeave calls WaitIdle while other goroutines enter and leave.
func TestWaitIdleDuringConcurrentEnterLeave(t *testing.T) {
	var c Counter
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 20_000 {
				c.Enter()
				c.Leave()
			}
		})
	}
	for range 50 {
		c.WaitIdle(t.Context())
	}
	workers.Wait()
	if !c.WaitIdle(t.Context()) {
		t.Error("not idle after all goroutines have left")
	}
}

func TestWaitIdleReturnsFalseAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var c Counter
		c.Enter()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if c.WaitIdle(ctx) {
			t.Error("idle with one request in flight")
		}
		c.Leave()
		if !c.WaitIdle(t.Context()) {
			t.Error("not idle with no request in flight")
		}
	})
}
