package protocol

import (
	"strconv"
	"strings"
)

// ParseLeaving reads the value of the header by which an upstream says that it leaves: 1 or true, in
// any case of letters. Anything else says nothing of that.
func ParseLeaving(text string) bool {
	leaving, err := strconv.ParseBool(strings.TrimSpace(text))
	return err == nil && leaving
}
