package gateway

import (
	"testing"

	"github.com/sparshore/sparshore/internal/protocol"
)

// TestExpectedOutput covers guesses that are absent or absurd.
func TestExpectedOutput(t *testing.T) {
	for _, tc := range []struct {
		name string
		call protocol.Call
		want int
	}{
		{"a guess has a margin", protocol.Call{Hint: 100, MaxOutput: 1000}, 125},
		{"a guess above the most output", protocol.Call{Hint: 5000, MaxOutput: 1000}, 1000},
		{"no guess", protocol.Call{MaxOutput: 1000}, 500},
		{"a guess without a bound", protocol.Call{Hint: 100}, 125},
		{"nothing stated", protocol.Call{}, defaultOutput},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := expectedOutput(&tc.call); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}

// TestSizesThatCannotBe: sizes that callers state wrongly neither stop a generation for
// good nor take memory that is not there.
func TestSizesThatCannotBe(t *testing.T) {
	for _, tc := range []struct {
		name string
		call protocol.Call
		want int
	}{
		{"a negative guess", protocol.Call{Hint: -5, MaxOutput: 1000}, 500},
		{"a negative bound", protocol.Call{Hint: 100, MaxOutput: -1}, 125},
		{"both negative", protocol.Call{Hint: -5, MaxOutput: -1}, defaultOutput},
		{"a guess a thousand times too long", protocol.Call{Hint: 100000, MaxOutput: 120}, 120},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := expectedOutput(&tc.call); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}
