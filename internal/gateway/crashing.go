package gateway

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"syscall"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/quarantine"
)

const (
	// turnShare is the fraction of a route's objective for which a suspect waits while the same
	// request runs elsewhere. Most of them end within that time, which leaves time for an answer
	// within the objective.
	turnShare = 0.25
	// backTurn is the retry delay of a suspect that may not run yet, because the same request or
	// another suspect is running: about the time until it is known whether that run crashes its
	// upstream.
	backTurn = 500 * time.Millisecond
	// trialLasts is how long after its first event a suspect generation keeps others with the
	// same request waiting. Those that crashed engines did so within 0.1 s.
	trialLasts = time.Second
)

// enterRun starts serving a request, unless it is a quarantined poison request, which is refused
// at once. The status is 503, since the caller is not at fault and the request has not run. The
// refusal has no retry time, since nobody knows when the upstreams will be able to run the
// request.
func (g *Gateway) enterRun(ctx context.Context, rq *request) bool {
	wait := time.Duration(turnShare * float64(rq.route.Objective))
	run, err := g.quarantine.Enter(ctx, quarantine.Request{Fingerprint: rq.fingerprint, Route: rq.route.Name, Account: rq.account}, wait)
	switch {
	case err == nil:
		rq.run = run
		return true
	case ctx.Err() != nil:
		g.giveUp(ctx, rq, err.Error())
	case errors.Is(err, quarantine.ErrHeld):
		g.met.held.Inc()
		g.refuse(rq, http.StatusServiceUnavailable, err.Error(), 0)
	default:
		g.refuse(rq, http.StatusServiceUnavailable, err.Error(), backTurn)
	}
	return false
}

// broke records that an upstream's answer broke off and starts a probe to find out whether
// the upstream crashed. A leaving upstream ends as planned, and a request that was not sent
// cannot have crashed it.
func (g *Gateway) broke(rq *request, upstream fleet.Upstream, err error) {
	if errors.Is(err, link.ErrNotSent) {
		return
	}
	if u, known := g.fleet.Get(upstream.ID); known && u.State() == fleet.Leaving {
		return
	}
	rq.run.Broke(upstream.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.looking[upstream.ID] {
		g.looking[upstream.ID] = true
		go g.look(upstream)
	}
}

// look probes whether an upstream crashed. The address of a crashed upstream refuses connections
// until its next start, some seconds later. An upstream that accepts a connection may have broken
// off an answer for other reasons. A timeout shows nothing; the upstream's row in the store may
// show later what happened.
func (g *Gateway) look(upstream fleet.Upstream) {
	err := g.link.Reach(context.Background(), upstream.Address)
	g.mu.Lock()
	delete(g.looking, upstream.ID)
	g.mu.Unlock()
	switch {
	case err == nil:
		g.quarantine.Lives(upstream.ID)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.quarantine.Ended(upstream.ID)
	}
}

// isolated adds to exclude the upstreams that a request must not be sent to if it has to run
// apart from suspects: those that run one and those that are unavailable. If too many are
// unavailable, these are all upstreams of the service.
func (g *Gateway) isolated(rq *request, exclude map[string]bool) map[string]bool {
	if rq.run.Isolation() != quarantine.Apart {
		return exclude
	}
	excluded := g.quarantine.Trials()
	if excluded == nil {
		excluded = map[string]bool{}
	}
	maps.Copy(excluded, exclude)
	list := g.fleet.Of(rq.service.Name)
	crashed, now, available := g.quarantine.EndedLately(), g.now(), len(list)
	for _, u := range list {
		if _, gone := crashed[u.ID]; gone || u.AvoidUntil().After(now) || u.InBackOff(now) {
			excluded[u.ID] = true
			available--
		}
	}
	if !quarantine.MostThere(available, len(list)) {
		for _, u := range list {
			excluded[u.ID] = true
		}
	}
	return excluded
}

// SweepQuarantine decides the open cases of upstreams whose answers broke off, as far as the
// fleet now knows what became of them.
func (g *Gateway) SweepQuarantine() {
	g.quarantine.Sweep(func(start string) bool { return !g.there(start) })
}

// Quarantine returns this entry's set of suspects and quarantined requests.
func (g *Gateway) Quarantine() *quarantine.Set { return g.quarantine }
