package sidecar

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/sparshore/sparshore/internal/events"
)

// endOnWaitContext calls beforeEnd and ends as soon as its Done channel is asked for.
type endOnWaitContext struct {
	context.Context
	end       context.CancelFunc
	beforeEnd func()
}

func (c endOnWaitContext) Done() <-chan struct{} {
	c.beforeEnd()
	c.end()
	return c.Context.Done()
}

// A wait for the next part of a stream may end, for example because the peer is suspected, just
// when the part arrives. If Next returned the error, the part would be lost and the generation
// cancelled, and a request without another upstream would be refused although its answer had
// arrived. Which of the two events select sees first is random, hence the many rounds.
func TestNextReturnsAPartThatArrivesAsTheWaitEnds(t *testing.T) {
	const rounds = 64
	conn := closedConn(t)
	for range rounds {
		s := NewClient(events.Nop()).newStream(conn, 0)
		ctx, cancel := context.WithCancel(t.Context())
		p, err := s.Next(endOnWaitContext{Context: ctx, end: cancel, beforeEnd: func() {
			s.appendFrame(tokensNote{Sub: s.sub, Generation: "u~i~1", First: 1, Choices: []json.RawMessage{json.RawMessage(`{}`)}})
		}})
		if err != nil || p.First() != 1 || len(p.Choices()) != 1 {
			t.Fatalf("the part was not returned: %+v, %v", p, err)
		}
	}
}
