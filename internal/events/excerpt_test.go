package events

import (
	"strings"
	"testing"
)

func TestExcerpt(t *testing.T) {
	for _, tc := range []struct{ name, text, want string }{
		{"a short text", "abc", "abc"},
		{"as long as may be", "abcd", "abcd"},
		{"too long", "abcde", "abcd..."},
		{"a sign is not cut", "abcé", "abc..."},
		{"far too long", strings.Repeat("a", 1<<16), "aaaa..."},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := Excerpt(tc.text, 4); got != tc.want {
				t.Errorf("got %q, want %q", got, tc.want)
			}
		})
	}
}
