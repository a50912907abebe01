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
	// sentAt is when the request was sent.
	sentAt time.Time
	status int
	header http.Header
	// complete is set if the upstream ran the request and its answer is not an error and is correct
	// HTTP as far as it was read. Only then does an answer without a limit mean that there is none:
	// an error or a broken answer may lack the limit for other reasons.
	complete bool
}

// applyLimit records the rate limit that an answer states for its upstream.
func (g *Gateway) applyLimit(rq *request, upstream fleet.Upstream, h head) {
	if !g.isOwnAnswer(rq.call.ID, h.status, h.header) {
		return
	}
	if !g.applyStatedLimit(rq.call.ID, upstream, h.header) && h.complete {
		g.limits.NoteNoLimit(upstream.ID, h.sentAt)
	}
}

// applyStatedLimit records the rate limit that an answer states. requestID is that of a caller's
// request, and empty for queries and commands of this entry. applyStatedLimit returns false if the
// answer states no limit.
func (g *Gateway) applyStatedLimit(requestID string, upstream fleet.Upstream, header http.Header) bool {
	limit, err := g.proto.Limit(header)
	switch {
	case err != nil:
		g.rec.Note(events.LimitRejected, requestID, "upstream", upstream.ID, "error", err)
		return true
	case limit.Limited:
		g.limits.NoteLimit(upstream.ID, limit.Rate)
		return true
	default:
		return false
	}
}

// Limits returns the rate limits of upstreams.
func (g *Gateway) Limits() *limits.Set { return g.limits }

// SweepLimits drops the limits of upstream incarnations that no longer exist.
func (g *Gateway) SweepLimits() { g.limits.Sweep(g.incarnationKnown) }
