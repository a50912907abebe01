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
	// turnShare is the part of a route's objective for which a request waits while the
	// same one runs elsewhere after an upstream ended under it: most end in that time, and
	// the answer still comes in time.
	turnShare = 0.25
	// backTurn is about the time in which it shows whether an upstream ends under a request.
	backTurn = 500 * time.Millisecond
	// trialLasts is how long after its first event a generation under which an engine ended
	// keeps others with the same request back: those that end engines did so within 0.1 s.
	trialLasts = time.Second
)

// enterRun begins to serve a request, unless it is one that ends upstreams: then it is
// refused at once. That is no fault of the caller, and it has not run, hence 503; there is
// no time to come back, since nobody knows when the upstreams will bear it.
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

// broke notes that an upstream's answer broke off, and finds out whether the upstream ended.
// One that leaves ends by plan, and what was not sent did not run.
func (g *Gateway) broke(rq *request, at fleet.Upstream, err error) {
	if errors.Is(err, link.ErrNotSent) {
		return
	}
	if u, known := g.fleet.Get(at.ID); known && u.State() == fleet.Leaving {
		return
	}
	rq.run.Broke(at.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.looking[at.ID] {
		g.looking[at.ID] = true
		go g.look(at)
	}
}

// look finds out whether an upstream ended: the address of one that did refuses connections
// until its next start, some seconds later. One that takes them may have broken off an
// answer for other reasons. One that is silent tells nothing; its row may.
func (g *Gateway) look(at fleet.Upstream) {
	err := g.link.Reach(context.Background(), at.Address)
	g.mu.Lock()
	delete(g.looking, at.ID)
	g.mu.Unlock()
	switch {
	case err == nil:
		g.quarantine.Lives(at.ID)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.quarantine.Ended(at.ID)
	}
}

// isolated adds to the upstreams that a request is not to be sent to those from which it is to be
// kept because upstreams ended under it.
func (g *Gateway) isolated(rq *request, exclude map[string]bool) map[string]bool {
	if rq.run.Isolation() != quarantine.Apart {
		return exclude
	}
	out := g.quarantine.Trials()
	if out == nil {
		out = map[string]bool{}
	}
	maps.Copy(out, exclude)
	list := g.fleet.Of(rq.service.Name)
	ended, now, there := g.quarantine.EndedLately(), g.now(), len(list)
	for _, u := range list {
		if _, gone := ended[u.ID]; gone || u.AvoidUntil().After(now) || u.InBackOff(now) {
			out[u.ID] = true
			there--
		}
	}
	if !quarantine.MostThere(there, len(list)) {
		for _, u := range list {
			out[u.ID] = true
		}
	}
	return out
}

// SweepQuarantine settles what is known by now of upstreams whose answers broke off.
func (g *Gateway) SweepQuarantine() {
	g.quarantine.Sweep(func(start string) bool { return !g.there(start) })
}

// Quarantine returns what this entry knows of requests that end upstreams.
func (g *Gateway) Quarantine() *quarantine.Set { return g.quarantine }
