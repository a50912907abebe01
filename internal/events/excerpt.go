package events

import "strings"

// cutMark stands for what is left out.
const cutMark = "..."

// Excerpt returns a text, or its start with a mark behind it, in at most some bytes, for a
// log line: other writers' texts have any size.
func Excerpt(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:max(most-len(cutMark), 0)], "") + cutMark
}
