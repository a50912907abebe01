package events

import "strings"

// cutMark replaces the end of a shortened text.
const cutMark = "..."

// Excerpt shortens a text for a log line to at most maxBytes bytes and marks the cut. It is meant for texts
// from other processes, whose size is not bounded. A character of several bytes is never split.
func Excerpt(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	return strings.ToValidUTF8(text[:max(maxBytes-len(cutMark), 0)], "") + cutMark
}
