package protocol

import (
	"strconv"
	"strings"
)

// ParseLeaving parses the header with which an upstream announces that it is leaving. It accepts every
// spelling of true that strconv.ParseBool accepts, such as 1 and true; any other value means not leaving.
func ParseLeaving(text string) bool {
	leaving, err := strconv.ParseBool(strings.TrimSpace(text))
	return err == nil && leaving
}
