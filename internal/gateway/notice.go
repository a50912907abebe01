package gateway

import (
	"context"
	"net/http"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
)

// exchange sends one request to an upstream and applies what the headers of the answer state
// about the upstream itself: that it leaves, asks for backoff or limits its request rate. All
// requests of this entry to upstreams go through exchange, so that none of this is missed.
func (g *Gateway) exchange(ctx context.Context, to fleet.Upstream, req link.Request) (*link.Answer, error) {
	req.Upstream = to.ID
	a, err := g.link.Do(ctx, to.Address, req)
	if err != nil {
		return nil, err
	}
	if !g.isOwnAnswer(req.ID, a.Status, a.Header) {
		return a, nil
	}
	if n := g.proto.Notice(a.Status, a.Header, g.now()); n != (protocol.Notice{}) {
		g.applyNotice(req.ID, to, n)
	}
	if req.ID == "" {
		// For a caller's request, applyLimit applies the limit.
		g.applyStatedLimit("", to, a.Header)
	}
	return a, nil
}

// isOwnAnswer reports whether an answer to a request comes from the upstream that the request was for, so that what it
// states applies to that upstream. requestID is empty for a request without an identifier.
func (g *Gateway) isOwnAnswer(requestID string, status int, h http.Header) bool {
	if requestID != "" && h.Get(g.proto.IDHeader) != requestID {
		return false
	}
	return g.proto.Verdict(status, h) != protocol.WrongUpstream
}

// applyNotice applies the notice in an answer of an upstream. callID is the ID of the
// caller's request; it is empty for the answer to a query or command of this entry.
func (g *Gateway) applyNotice(callID string, from fleet.Upstream, n protocol.Notice) {
	u, known := g.fleet.Get(from.ID)
	g.rec.Note(events.UpstreamNotice, callID, "upstream", from.ID, "leaving", n.Leaving, "back-off", max(n.BackOffUntil.Sub(g.now()), 0), "known", !known || u.State() == fleet.Leaving)
	if n.Leaving && g.fleet.AnsweredLeaving(from.ID) {
		// The other entries send requests to the upstream until gossip delivers the notice.
		g.peers.SendNow()
	}
	if !n.BackOffUntil.IsZero() {
		g.fleet.BackOff(from.ID, n.BackOffUntil)
	}
}

// asksBackOff reports whether an answer asks for backoff from its upstream.
func (g *Gateway) asksBackOff(status int, header http.Header) bool {
	return !g.proto.Notice(status, header, g.now()).BackOffUntil.IsZero()
}

// acceptsRequests reports whether an upstream is known, not leaving and not in backoff.
func (g *Gateway) acceptsRequests(id string) bool {
	u, known := g.fleet.Get(id)
	return known && u.State() != fleet.Leaving && !u.InBackOff(g.now())
}
