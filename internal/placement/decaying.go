package placement

import (
	"math"
	"time"
)

// Decaying is a count that falls to a fraction of 1/e within a time.
type Decaying struct {
	count float64
	at    time.Time
}

// Value is the count at a later moment.
func (d Decaying) Value(now time.Time, within time.Duration) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/within.Seconds())
}

// Add returns the count with n more.
func (d Decaying) Add(n float64, now time.Time, within time.Duration) Decaying {
	return Decaying{count: d.Value(now, within) + n, at: now}
}

// shareOf is the part of the second of two counts in both. One more of the first kind is
// assumed, so that a single event of long ago says nothing.
func shareOf(others, counted Decaying, now time.Time, within time.Duration) float64 {
	n := counted.Value(now, within)
	return n / (n + others.Value(now, within) + 1)
}
