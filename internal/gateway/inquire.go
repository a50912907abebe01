package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/protocol"
)

const (
	// inquireWithin bounds a question for an engine's state.
	inquireWithin = 600 * time.Millisecond
	// inquireEach is the least time between two questions to one engine: its
	// answers are about half a second old.
	inquireEach = 200 * time.Millisecond
)

// InquireAll asks the engines that run this entry's streams whether they leave.
// It is for times in which the store cannot tell.
func (g *Gateway) InquireAll(ctx context.Context) {
	for _, id := range g.Streams() {
		if u, ok := g.fleet.Get(id); ok && u.State() != fleet.Leaving {
			go g.inquire(ctx, u, "the store cannot tell")
		}
	}
}

// inquire asks one engine whether it leaves.
func (g *Gateway) inquire(ctx context.Context, u fleet.Upstream, why string) {
	if u, known := g.fleet.Get(u.ID); !known || u.InBackOff(g.now()) || !g.mayInquire(u.ID) {
		return
	}
	// What is learnt is noted; nobody waits for more.
	_, _ = g.ask(ctx, u, why)
}

// ask asks one engine for its state.
func (g *Gateway) ask(ctx context.Context, u fleet.Upstream, why string) (protocol.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, inquireWithin)
	defer cancel()
	state, err := g.askState(ctx, u)
	if err == nil && state.Born != 0 && u.Born != 0 && state.Born != u.Born {
		// Reports are old, and a start may have the address of the one before: this one
		// tells nothing of the start that was asked.
		state, err = protocol.EngineState{}, fmt.Errorf("%w: born %d, want %d", errOtherStart, state.Born, u.Born)
	}
	g.rec.Note(events.UpstreamAsked, "", "upstream", u.ID, "why", why, "leaving", state.Leaving, "waiting", state.Waiting, "unbegun", state.Unbegun, "error", err)
	if state.Leaving {
		g.fleet.ReportedLeaving(u.ID)
	}
	return state, err
}

// errOtherStart is for a report that another start of the engine made.
var errOtherStart = errors.New("report is of another start")

func (g *Gateway) mayInquire(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.inquired[id]) < inquireEach {
		return false
	}
	g.inquired[id] = now
	return true
}

func (g *Gateway) askState(ctx context.Context, u fleet.Upstream) (protocol.EngineState, error) {
	a, err := g.exchange(ctx, u, g.proto.Report())
	if err != nil {
		return protocol.EngineState{}, err
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxOrderAnswer))
	if err != nil {
		return protocol.EngineState{}, fmt.Errorf("read report: %w", err)
	}
	return g.proto.State(a.Status, body)
}
