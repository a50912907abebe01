package gateway

import (
	"strings"
	"testing"
	"time"
)

// monotonicMark is part of the text of a time that has a monotonic clock reading.
const monotonicMark = " m="

// TestAtomicTimeKeepsMonotonicReading: times without a monotonic reading are compared by the wall
// clock, which may jump.
func TestAtomicTimeKeepsMonotonicReading(t *testing.T) {
	var i atomicTime
	if !i.Load().IsZero() {
		t.Error("a time that was never set is not zero")
	}
	at := time.Now()
	i.Store(at)
	if got := i.Load().String(); got != at.String() || !strings.Contains(got, monotonicMark) {
		t.Errorf("got %s, want %s with its monotonic reading", got, at)
	}
}

// TestStopTimesKeepMonotonicReading covers the times of a planned stop.
func TestStopTimesKeepMonotonicReading(t *testing.T) {
	f := newFixture(t)
	by := time.Now().Add(7 * time.Second)
	f.gateway.Drain(by)
	if got := f.gateway.StopDeadline().String(); got != by.String() || !strings.Contains(got, monotonicMark) {
		t.Errorf("stops by %s, want %s with its monotonic reading", got, by)
	}
}
