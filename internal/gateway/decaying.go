package gateway

import (
	"math"
	"time"
)

// decaying is a count that falls to a fraction of 1/e within a time.
type decaying struct {
	count float64
	at    time.Time
}

// value is the count at a later moment.
func (d decaying) value(now time.Time, within time.Duration) float64 {
	return d.count * math.Exp(-now.Sub(d.at).Seconds()/within.Seconds())
}

// add returns the count with n more.
func (d decaying) add(n float64, now time.Time, within time.Duration) decaying {
	return decaying{count: d.value(now, within) + n, at: now}
}

// shareOf is the part of the second of two counts in both. One more of the first kind is
// assumed, so that a single event of long ago says nothing.
func shareOf(others, counted decaying, now time.Time, within time.Duration) float64 {
	n := counted.value(now, within)
	return n / (n + others.value(now, within) + 1)
}
