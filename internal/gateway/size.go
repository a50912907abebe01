package gateway

import (
	"github.com/sparshore/sparshore/internal/protocol"
)

// need is the KV memory that the generation is expected to take in the end, in
// tokens.
func (s *stream) need() int {
	return s.rq.call.Prompt + expectedOutput(&s.rq.call)
}

// held is the KV memory that the generation takes by now at its engine, in tokens,
// beside what other generations share with it. It needs the lock of s.
func (s *stream) held() int {
	return s.rq.call.Prompt - s.kept + s.events*s.rq.service.Engine.EventTokens
}

// hintMargin covers that a caller's guess of the length is right only in half
// of the cases.
const hintMargin = 1.25

// defaultOutput is the length in tokens of an answer of which nothing is stated.
const defaultOutput = 256

// expectedOutput is the length of an answer, in tokens, that a caller's guess and
// bound let expect. Sizes that are not stated are 0.
func expectedOutput(c *protocol.Call) int {
	guess := int(hintMargin * float64(c.Hint))
	switch {
	case c.Hint > 0 && c.MaxOutput > 0:
		return min(guess, c.MaxOutput)
	case c.Hint > 0:
		return guess
	case c.MaxOutput > 0:
		return c.MaxOutput / 2
	default:
		return defaultOutput
	}
}
