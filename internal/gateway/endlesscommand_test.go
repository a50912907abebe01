package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
)

// Guards against an engine that fills the memory with its answer to a state query or a command.
func TestEndlessAnswersToCommands(t *testing.T) {
	calls := map[string]func(ctx context.Context, g *Gateway, at fleet.Upstream) error{
		"state query": func(ctx context.Context, g *Gateway, at fleet.Upstream) error {
			_, err := g.query(ctx, at, "test")
			return err
		},
		"copy command": func(ctx context.Context, g *Gateway, at fleet.Upstream) error {
			_, err := g.sendCommand(ctx, at, g.proto.Copy("id", at.Address, false))
			return err
		},
	}
	for name, call := range calls {
		for _, e := range endlessAnswers(false) {
			t.Run(name+"/"+e.name, func(t *testing.T) {
				f := newFixture(t)
				counter := f.countReads()
				f.add("llm", "bad", e.serve)
				at, _ := f.fleet.Get("bad")
				ctx, cancel := context.WithTimeout(t.Context(), signalTimeout)
				defer cancel()
				grown := peakHeap()
				if err := call(ctx, f.gateway, at); !errors.Is(err, link.ErrTooLong) || !errors.Is(err, link.ErrBroken) {
					t.Errorf("error %v, want %v", err, link.ErrTooLong)
				}
				checkBounds(t, counter, grown())
			})
		}
	}
}

// Guards against an engine that fills the memory with its answer to the release of a copy.
func TestEndlessAnswersToReleases(t *testing.T) {
	for _, e := range endlessAnswers(false) {
		t.Run(e.name, func(t *testing.T) {
			f := newFixture(t)
			counter := f.countReads()
			f.add("llm", "bad", e.serve)
			at, _ := f.fleet.Get("bad")
			grown, began := peakHeap(), time.Now()
			f.gateway.release("id", heldCopy{copy: protocol.Copy{Handle: "h"}, at: at})
			for !f.recorded(events.CopyNotReleased) {
				if time.Since(began) > signalTimeout {
					t.Fatal("the release did not fail")
				}
				time.Sleep(time.Millisecond)
			}
			checkBounds(t, counter, grown())
		})
	}
}
