package gateway

import (
	"context"
	"net/http"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/protocol"
)

// exchange sends one request to an upstream and takes over what the head of its answer says of
// the upstream itself. All that this entry sends to upstreams goes through it, so no use of an
// answer can pass over what it says.
func (g *Gateway) exchange(ctx context.Context, to fleet.Upstream, req link.Request) (*link.Answer, error) {
	a, err := g.link.Do(ctx, to.Address, req)
	if err != nil {
		return nil, err
	}
	if n := g.proto.Notice(a.Status, a.Header, g.now()); n != (protocol.Notice{}) {
		g.heardNotice(req.ID, to, n)
	}
	if req.ID == "" {
		// What an answer to a caller's request says of a limit counts once it is known whose it is.
		g.heardLimitNamed("", to, a.Header)
	}
	return a, nil
}

// heardNotice takes over what an answer says of its upstream; call is empty for an answer to a
// question or order of this entry.
func (g *Gateway) heardNotice(call string, from fleet.Upstream, n protocol.Notice) {
	u, known := g.fleet.Get(from.ID)
	g.rec.Note(events.UpstreamNotice, call, "upstream", from.ID, "leaving", n.Leaving, "back-off", max(n.BackOffUntil.Sub(g.now()), 0), "known", !known || u.State() == fleet.Leaving)
	if n.Leaving && g.fleet.AnsweredLeaving(from.ID) {
		// The others send it their next requests until they know.
		g.others.Urge()
	}
	if !n.BackOffUntil.IsZero() {
		g.fleet.BackOff(from.ID, n.BackOffUntil)
	}
}

// asksBackOff reports whether an answer says that its upstream wants no requests for a time.
func (g *Gateway) asksBackOff(status int, header http.Header) bool {
	return !g.proto.Notice(status, header, g.now()).BackOffUntil.IsZero()
}

// takesWork reports whether an upstream that was chosen still takes work.
func (g *Gateway) takesWork(id string) bool {
	u, known := g.fleet.Get(id)
	return known && u.State() != fleet.Leaving && !u.InBackOff(g.now())
}
