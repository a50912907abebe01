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
	// inquireWithin limits the time of a query for an engine's state.
	inquireWithin = 600 * time.Millisecond
	// inquireEach is the minimum interval between two queries to one engine, whose answers
	// are about half a second old.
	inquireEach = 200 * time.Millisecond
)

// InquireAll asks the engines that run this entry's streams whether they are leaving. It is for
// times at which the store is unavailable.
func (g *Gateway) InquireAll(ctx context.Context) {
	for _, id := range g.Streams() {
		if u, ok := g.fleet.Get(id); ok && u.State() != fleet.Leaving {
			go g.inquire(ctx, u, "the store is unavailable")
		}
	}
}

// inquire asks one engine whether it is leaving.
func (g *Gateway) inquire(ctx context.Context, u fleet.Upstream, why string) {
	if u, known := g.fleet.Get(u.ID); !known || u.InBackOff(g.now()) || !g.mayInquire(u.ID) {
		return
	}
	// ask records the state; the return values are not needed.
	_, _ = g.ask(ctx, u, why)
}

// ask queries one engine for its state.
func (g *Gateway) ask(ctx context.Context, u fleet.Upstream, why string) (protocol.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, inquireWithin)
	defer cancel()
	state, err := g.askState(ctx, u)
	if err == nil && state.Born != 0 && u.Born != 0 && state.Born != u.Born {
		// Reports are delayed, and a restarted engine may have the address of the incarnation
		// before it. This report says nothing about the incarnation that was asked.
		state, err = protocol.EngineState{}, fmt.Errorf("%w: born %d, want %d", errOtherStart, state.Born, u.Born)
	}
	g.rec.Note(events.UpstreamAsked, "", "upstream", u.ID, "why", why, "leaving", state.Leaving, "waiting", state.Waiting, "unbegun", state.Unbegun, "error", err)
	if state.Leaving {
		g.fleet.ReportedLeaving(u.ID)
	}
	return state, err
}

// errOtherStart means that a report comes from another incarnation of the engine.
var errOtherStart = errors.New("report comes from another incarnation of the engine")

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
