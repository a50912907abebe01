package protocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/sparshore/sparshore/internal/events"
)

// ErrInvalidRate is wrapped by the errors for an invalid rate limit from an upstream.
var ErrInvalidRate = errors.New("invalid rate limit from an upstream")

const (
	// maxRate is more requests per second than any upstream receives; a larger limit is treated as maxRate.
	maxRate = 1_000_000
	// maxQuotedBytes bounds how much of an invalid limit is quoted in an error.
	maxQuotedBytes = 64
)

// ParseRate parses the values of the rate limit header: the requests per second that an upstream accepts
// from all entries together, as decimal numbers, where 0 means that it accepts none. The lowest of several
// values applies. It returns an error that wraps ErrInvalidRate if any value is not a finite number of 0 or
// more.
func ParseRate(values []string) (float64, error) {
	lowest := float64(maxRate)
	for _, text := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			return 0, fmt.Errorf("%w: %q", ErrInvalidRate, events.Excerpt(text, maxQuotedBytes))
		}
		lowest = min(lowest, perSecond)
	}
	return lowest, nil
}
