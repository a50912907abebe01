package gateway

import (
	"github.com/sparshore/sparshore/internal/protocol"
)

// expectedTokens returns the size in tokens that the KV cache of the generation is expected to
// reach.
func (s *stream) expectedTokens() int {
	return s.rq.call.Prompt + expectedOutput(&s.rq.call)
}

// heldTokens returns the current size in tokens of the generation's KV cache at its engine, without
// the parts that are shared with other generations. s.mu must be held.
func (s *stream) heldTokens() int {
	return s.rq.call.Prompt - s.cachedTokens + s.events*s.rq.service.Engine.EventTokens
}

// hintMargin scales up the output length that a caller hints at, which is too low in half of
// the cases.
const hintMargin = 1.25

// defaultOutput is the assumed output length in tokens if the caller states neither a hint nor
// a maximum.
const defaultOutput = 256

// expectedOutput returns the expected output length in tokens, given the hint and the maximum
// of the call. Either is 0 if it is not stated.
func expectedOutput(c *protocol.Call) int {
	scaledHint := int(hintMargin * float64(c.Hint))
	switch {
	case c.Hint > 0 && c.MaxOutput > 0:
		return min(scaledHint, c.MaxOutput)
	case c.Hint > 0:
		return scaledHint
	case c.MaxOutput > 0:
		return c.MaxOutput / 2
	default:
		return defaultOutput
	}
}
