package protocol

import (
	"strconv"
	"strings"
	"time"
)

// maxRetryAfterSeconds caps the value of a Retry-After header, since a very large number of seconds
// overflows time.Duration.
const maxRetryAfterSeconds = 365 * 24 * 3600

// ParseRetryAfter returns the time that a Retry-After header states in seconds after now; fractions are
// allowed. It returns the zero time for a date, an invalid value or a missing header.
func ParseRetryAfter(text string, now time.Time) time.Time {
	seconds, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || !(seconds > 0) {
		return time.Time{}
	}
	return now.Add(time.Duration(min(seconds, maxRetryAfterSeconds) * float64(time.Second)))
}
