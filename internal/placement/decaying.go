package placement

import (
	"math"
	"time"
)

// Decaying is a count of events that decays exponentially.
type Decaying struct {
	count float64
	at    time.Time
}

// Value returns the count at a later time; decayTime is the time in which it falls to 1/e.
func (d Decaying) Value(now time.Time, decayTime time.Duration) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/decayTime.Seconds())
}

// Add returns the count at the time now, with n more events.
func (d Decaying) Add(n float64, now time.Time, decayTime time.Duration) Decaying {
	return Decaying{count: d.Value(now, decayTime) + n, at: now}
}

// shareOf returns counted as a part of both counts together. One more event is assumed in
// others, so that a single old event has little effect.
func shareOf(others, counted Decaying, now time.Time, decayTime time.Duration) float64 {
	n := counted.Value(now, decayTime)
	return n / (n + others.Value(now, decayTime) + 1)
}
