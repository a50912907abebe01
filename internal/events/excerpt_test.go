package events

import (
	"strings"
	"testing"
)

func TestExcerpt(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"a short text", "abc", "abc"},
		{"as long as may be", "abcdefg", "abcdefg"},
		{"too long", "abcdefgh", "abcd..."},
		{"a sign is not cut", "abcéfgh", "abc..."},
		{"far too long", strings.Repeat("a", 1<<16), "aaaa..."},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Excerpt(tc.text, 7); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
