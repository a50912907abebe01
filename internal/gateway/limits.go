package gateway

import (
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/limits"
)

// head is the head of an upstream's answer.
type head struct {
	// sent is when the request was sent.
	sent   time.Time
	header http.Header
	// whole tells that the upstream ran the request and that its answer is no failure: one
	// that breaks off or fails without naming a limit does not say that there is none.
	whole bool
}

// heardLimit takes over what an answer says of its upstream's limit.
func (g *Gateway) heardLimit(rq *request, at fleet.Upstream, h head) {
	if h.header.Get(g.proto.IDHeader) != rq.call.ID {
		return
	}
	limit, err := g.proto.Limit(h.header)
	switch {
	case err != nil:
		g.rec.Note(events.LimitRejected, rq.call.ID, "upstream", at.ID, "error", err)
	case limit.Named:
		g.limits.Named(at.ID, limit.Rate)
	case h.whole:
		g.limits.Unnamed(at.ID, h.sent)
	}
}

// heardLimitAside takes over the limit that an answer names which is not to a caller's request. Where
// it names none it says nothing.
func (g *Gateway) heardLimitAside(at fleet.Upstream, header http.Header) {
	limit, err := g.proto.Limit(header)
	switch {
	case err != nil:
		g.rec.Note(events.LimitRejected, "", "upstream", at.ID, "error", err)
	case limit.Named:
		g.limits.Named(at.ID, limit.Rate)
	}
}

// Limits returns what this entry knows of limited upstreams.
func (g *Gateway) Limits() *limits.Set { return g.limits }

// SweepLimits forgets the limits of upstreams that are gone.
func (g *Gateway) SweepLimits() { g.limits.Sweep(g.there) }
