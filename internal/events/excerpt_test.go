package events

import (
	"strings"
	"testing"
)

func TestExcerpt(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"a short text", "abc", "abc"},
		{"at the limit", "abcdefg", "abcdefg"},
		{"over the limit", "abcdefgh", "abcd..."},
		{"a multi-byte character is not split", "abcéfgh", "abc..."},
		{"far over the limit", strings.Repeat("a", 1<<16), "aaaa..."},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Excerpt(tc.text, 7); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
