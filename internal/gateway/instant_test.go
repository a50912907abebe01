package gateway

import (
	"strings"
	"testing"
	"time"
)

// steadyMark is part of the text of a time that has a monotonic clock reading.
const steadyMark = " m="

// TestInstantKeepsMonotonicReading: times without a monotonic reading are compared by the wall
// clock, which may jump.
func TestInstantKeepsMonotonicReading(t *testing.T) {
	var i instant
	if !i.Get().IsZero() {
		t.Error("an instant that was never set is not zero")
	}
	at := time.Now()
	i.Set(at)
	if got := i.Get().String(); got != at.String() || !strings.Contains(got, steadyMark) {
		t.Errorf("got %s, want %s with its monotonic reading", got, at)
	}
}

// TestStopTimesKeepMonotonicReading covers the times of a planned stop.
func TestStopTimesKeepMonotonicReading(t *testing.T) {
	f := newFixture(t)
	by := time.Now().Add(7 * time.Second)
	f.gateway.Drain(by)
	if got := f.gateway.StopBy().String(); got != by.String() || !strings.Contains(got, steadyMark) {
		t.Errorf("stops by %s, want %s with its monotonic reading", got, by)
	}
}
