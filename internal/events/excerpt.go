package events

import "strings"

// Excerpt returns at most some bytes of a text for a log line, and says if it left some
// out: other writers' texts have any size.
func Excerpt(text string, most int) string {
	if len(text) <= most {
		return text
	}
	return strings.ToValidUTF8(text[:most], "") + "..."
}
