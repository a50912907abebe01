package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
)

const (
	// queryTimeout limits the time of a query for an engine's state.
	queryTimeout = 600 * time.Millisecond
	// queryInterval is the minimum interval between two queries to one engine, whose answers
	// are about half a second old.
	queryInterval = 200 * time.Millisecond
)

// QueryEngines asks the engines that run this entry's streams whether they are leaving. It is for
// times at which the store is unavailable.
func (g *Gateway) QueryEngines(ctx context.Context) {
	for _, id := range g.StreamingEngines() {
		if u, ok := g.fleet.Get(id); ok && u.State() != fleet.Leaving {
			go g.queryIfDue(ctx, u, "the store is unavailable")
		}
	}
}

// queryIfDue queries an engine unless it is in backoff or was queried within queryInterval.
func (g *Gateway) queryIfDue(ctx context.Context, u fleet.Upstream, why string) {
	if u, known := g.fleet.Get(u.ID); !known || u.InBackOff(g.now()) || !g.queryDue(u.ID) {
		return
	}
	// query records whether the engine is leaving; the return values are not needed.
	_, _ = g.query(ctx, u, why)
}

// query asks an engine for its state and records whether it is leaving.
func (g *Gateway) query(ctx context.Context, u fleet.Upstream, why string) (protocol.EngineState, error) {
	return g.sendQuery(ctx, u, why, g.proto.StateQuery())
}

// queryAnew is query on a connection of its own, where no late answer to an earlier query can come first.
func (g *Gateway) queryAnew(ctx context.Context, u fleet.Upstream, why string) (protocol.EngineState, error) {
	req := g.proto.StateQuery()
	req.OwnConnection = true
	return g.sendQuery(ctx, u, why, req)
}

func (g *Gateway) sendQuery(ctx context.Context, u fleet.Upstream, why string, req link.Request) (protocol.EngineState, error) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	state, err := g.fetchState(ctx, u, req)
	if err == nil && state.StartedAt != 0 && u.Born != 0 && state.StartedAt != u.Born {
		// Reports are delayed, and a restarted engine may have the address of the incarnation
		// before it. Such a report does not apply to the incarnation that was queried.
		state, err = protocol.EngineState{}, fmt.Errorf("%w: born %d, want %d", errOtherIncarnation, state.StartedAt, u.Born)
	}
	g.rec.Note(events.UpstreamAsked, "", "upstream", u.ID, "why", why, "leaving", state.Leaving, "waiting", state.Waiting, "unbegun", state.Prefilling, "error", err)
	if state.Leaving {
		g.fleet.ReportedLeaving(u.ID)
	}
	return state, err
}

// errOtherIncarnation means that a report comes from another incarnation of the engine.
var errOtherIncarnation = errors.New("report comes from another incarnation of the engine")

func (g *Gateway) queryDue(id string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	if now.Sub(g.queriedAt[id]) < queryInterval {
		return false
	}
	g.queriedAt[id] = now
	return true
}

func (g *Gateway) fetchState(ctx context.Context, u fleet.Upstream, req link.Request) (protocol.EngineState, error) {
	a, err := g.exchange(ctx, u, req)
	if err != nil {
		return protocol.EngineState{}, err
	}
	defer a.Close()
	body, err := a.ReadAll(maxCommandAnswer)
	if err != nil {
		return protocol.EngineState{}, fmt.Errorf("read report: %w", err)
	}
	return g.proto.DecodeState(a.Status, body)
}
