package sidecar

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/sparshore/sparshore/internal/events"
)

// endingContext ends at the moment at which someone begins to wait for its end.
type endingContext struct {
	context.Context
	end    context.CancelFunc
	before func()
}

func (c endingContext) Done() <-chan struct{} {
	c.before()
	c.end()
	return c.Context.Done()
}

// A wait for a stream's next piece is given up, as for a peer that is suspected, at the
// moment at which the piece arrives. The piece was thrown away and the generation was
// cancelled; a request without another upstream was refused with its answer at hand.
// Which of the two the wait saw first was left to chance, so there are many rounds.
func TestPieceThatArrivedIsTakenFromAWaitThatEnds(t *testing.T) {
	const rounds = 64
	conn := closedConn(t)
	for range rounds {
		s := NewClient(events.Nop()).newStream(conn, 0)
		ctx, cancel := context.WithCancel(t.Context())
		p, err := s.Next(endingContext{Context: ctx, end: cancel, before: func() {
			s.take(tokensNote{Sub: s.sub, Generation: "u~i~1", First: 1, Choices: []json.RawMessage{json.RawMessage(`{}`)}})
		}})
		if err != nil || p.First() != 1 || len(p.Choices()) != 1 {
			t.Fatalf("the piece was not taken: %+v, %v", p, err)
		}
	}
}
