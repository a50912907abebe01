package gateway

import (
	"testing"

	"github.com/sparshore/sparshore/internal/protocol"
)

// TestExpectedOutput covers hints and maximums, stated or not.
func TestExpectedOutput(t *testing.T) {
	for _, tc := range []struct {
		name string
		call protocol.Call
		want int
	}{
		{"the hint is scaled up", protocol.Call{Hint: 100, MaxOutput: 1000}, 125},
		{"a hint above the maximum", protocol.Call{Hint: 5000, MaxOutput: 1000}, 1000},
		{"no hint", protocol.Call{MaxOutput: 1000}, 500},
		{"a hint without a maximum", protocol.Call{Hint: 100}, 125},
		{"nothing stated", protocol.Call{}, defaultOutput},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := expectedOutput(&tc.call); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

// Invalid sizes from callers must neither make a generation impossible to place nor reserve
// memory that no engine has.
func TestInvalidSizes(t *testing.T) {
	for _, tc := range []struct {
		name string
		call protocol.Call
		want int
	}{
		{"a negative hint", protocol.Call{Hint: -5, MaxOutput: 1000}, 500},
		{"a negative maximum", protocol.Call{Hint: 100, MaxOutput: -1}, 125},
		{"both negative", protocol.Call{Hint: -5, MaxOutput: -1}, defaultOutput},
		{"a hint far above the maximum", protocol.Call{Hint: 100000, MaxOutput: 120}, 120},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := expectedOutput(&tc.call); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}
