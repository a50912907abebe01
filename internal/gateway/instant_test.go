package gateway

import (
	"strings"
	"testing"
	"time"
)

// steadyMark stands in the text of times that have a reading of the steady clock.
const steadyMark = " m="

// TestInstantKeepsTheSteadyClock: a moment that lost its steady reading would be
// compared by the time of day, which jumps.
func TestInstantKeepsTheSteadyClock(t *testing.T) {
	var i instant
	if !i.Get().IsZero() {
		t.Error("a moment that was never set is not zero")
	}
	at := time.Now()
	i.Set(at)
	if got := i.Get().String(); got != at.String() || !strings.Contains(got, steadyMark) {
		t.Errorf("got %s, want %s with its steady reading", got, at)
	}
}

// TestStopBoundsKeepTheSteadyClock covers the moments of a planned stop.
func TestStopBoundsKeepTheSteadyClock(t *testing.T) {
	f := newFixture(t)
	by := time.Now().Add(7 * time.Second)
	f.gateway.Drain(by)
	if got := f.gateway.StopBy().String(); got != by.String() || !strings.Contains(got, steadyMark) {
		t.Errorf("stops by %s, want %s with its steady reading", got, by)
	}
}
