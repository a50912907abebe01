package protocol

import (
	"strconv"
	"strings"
	"time"
)

// longestWait bounds in seconds what a header may state: a time beyond it fits no duration.
const longestWait = 365 * 24 * 3600

// ParseRetryAfter reads the time in seconds, fractions included, that a Retry-After header states,
// counted from now. It returns the zero time for a date, for what cannot be read, and for none.
func ParseRetryAfter(text string, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, longestWait) * float64(time.Second)))
}
