package protocol

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"github.com/sparshore/sparshore/internal/events"
)

// ErrRate is wrapped when the limit that an upstream names cannot be read.
var ErrRate = errors.New("limit of an upstream cannot be read")

const (
	// mostRate is beyond what any upstream gets, in requests a second; a larger limit is none.
	mostRate = 1_000_000
	// mostQuoted bounds in bytes what an error repeats of a limit that cannot be read.
	mostQuoted = 64
)

// ParseRate reads how many requests a second an upstream takes from all entries together, from
// the values of the header that names it: a decimal number, 0 for none. Of several the least
// holds. What cannot be a number of requests says nothing of what the upstream takes; the error
// wraps ErrRate.
func ParseRate(values []string) (float64, error) {
	least := float64(mostRate)
	for _, text := range values {
		perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
		if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
			return 0, fmt.Errorf("%w: %q", ErrRate, events.Excerpt(text, mostQuoted))
		}
		least = min(least, perSecond)
	}
	return least, nil
}
