package gateway

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
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
	if !g.mayInquire(u.ID) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, inquireWithin)
	defer cancel()
	leaving, err := g.askLeaving(ctx, u)
	g.rec.Note(events.UpstreamAsked, "", "upstream", u.ID, "why", why, "leaving", leaving, "error", err)
	if leaving {
		g.fleet.ReportedLeaving(u.ID)
	}
}

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

func (g *Gateway) askLeaving(ctx context.Context, u fleet.Upstream) (bool, error) {
	a, err := g.link.Do(ctx, u.Address, g.proto.Report())
	if err != nil {
		return false, err
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxOrderAnswer))
	if err != nil {
		return false, fmt.Errorf("read report: %w", err)
	}
	return g.proto.Leaving(a.Status, body)
}
