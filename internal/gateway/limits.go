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
	if !g.heardLimitNamed(rq.call.ID, at, h.header) && h.whole {
		g.limits.Unnamed(at.ID, h.sent)
	}
}

// heardLimitNamed takes over the limit that an answer names, to a request of a caller or, with an
// empty call, to a question or order of this entry. It returns false if the answer names none.
func (g *Gateway) heardLimitNamed(call string, at fleet.Upstream, header http.Header) bool {
	limit, err := g.proto.Limit(header)
	switch {
	case err != nil:
		g.rec.Note(events.LimitRejected, call, "upstream", at.ID, "error", err)
		return true
	case limit.Named:
		g.limits.Named(at.ID, limit.Rate)
		return true
	default:
		return false
	}
}

// Limits returns what this entry knows of limited upstreams.
func (g *Gateway) Limits() *limits.Set { return g.limits }

// SweepLimits forgets the limits of upstreams that are gone.
func (g *Gateway) SweepLimits() { g.limits.Sweep(g.there) }
