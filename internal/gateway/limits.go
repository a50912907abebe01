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
	// whole says that the upstream ran the request and that its answer is not an error. Only
	// then does an answer without a limit mean that there is none: an error or a broken answer
	// may lack the limit for other reasons.
	whole bool
}

// heardLimit records what an answer says about its upstream's rate limit. Answers that carry the
// ID of another request are ignored.
func (g *Gateway) heardLimit(rq *request, upstream fleet.Upstream, h head) {
	if h.header.Get(g.proto.IDHeader) != rq.call.ID {
		return
	}
	if !g.heardLimitNamed(rq.call.ID, upstream, h.header) && h.whole {
		g.limits.Unnamed(upstream.ID, h.sent)
	}
}

// heardLimitNamed records the limit that an answer names. requestID is that of a caller's
// request, and empty for queries and orders of this entry. It returns false if the answer names
// no limit.
func (g *Gateway) heardLimitNamed(requestID string, upstream fleet.Upstream, header http.Header) bool {
	limit, err := g.proto.Limit(header)
	switch {
	case err != nil:
		g.rec.Note(events.LimitRejected, requestID, "upstream", upstream.ID, "error", err)
		return true
	case limit.Named:
		g.limits.Named(upstream.ID, limit.Rate)
		return true
	default:
		return false
	}
}

// Limits returns the rate limits of upstreams.
func (g *Gateway) Limits() *limits.Set { return g.limits }

// SweepLimits drops the limits of upstreams that are gone.
func (g *Gateway) SweepLimits() { g.limits.Sweep(g.there) }
