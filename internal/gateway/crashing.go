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
	// suspectWaitShare is the fraction of a route's objective for which a suspect waits while the
	// same request runs elsewhere. Most such runs end within that time, and the rest of the
	// objective is enough for an answer.
	suspectWaitShare = 0.25
	// suspectRetryDelay is the retry delay of a suspect that may not run yet, because the same
	// request or another suspect is running: about the time until it is known whether that run
	// crashes its upstream.
	suspectRetryDelay = 500 * time.Millisecond
	// suspectBlockTime is how long after its first event a suspect generation keeps others with the
	// same request waiting. Those that crashed engines did so within 0.1 s.
	suspectBlockTime = time.Second
)

// checkQuarantine starts serving a request, unless it is a quarantined poison request, which is
// refused at once. The status is 503, since the caller is not at fault and the request has not run.
// The refusal has no retry time, since it is unknown when the upstreams will be able to run the
// request.
func (g *Gateway) checkQuarantine(ctx context.Context, rq *request) bool {
	wait := time.Duration(suspectWaitShare * float64(rq.route.Objective))
	run, err := g.quarantine.Enter(ctx, quarantine.Request{Fingerprint: rq.fingerprint, Route: rq.route.Name, Account: rq.account}, wait, promptParts(rq)...)
	switch {
	case err == nil:
		rq.run = run
		return true
	case ctx.Err() != nil:
		g.giveUp(ctx, rq, err.Error())
	case errors.Is(err, quarantine.ErrQuarantined):
		g.met.quarantined.Inc()
		g.refuse(rq, http.StatusServiceUnavailable, err.Error(), 0)
	default:
		g.refuse(rq, http.StatusServiceUnavailable, err.Error(), suspectRetryDelay)
	}
	return false
}

// promptParts returns the parts of a request's prompt that other requests may share, as the quarantine knows
// them.
func promptParts(rq *request) []quarantine.Request {
	if rq.service.Engine == nil {
		return nil
	}
	parts := make([]quarantine.Request, len(rq.call.Shared))
	for i, p := range rq.call.Shared {
		parts[i] = quarantine.PartOf(rq.service.Name, rq.route.Name, p.ID)
	}
	return parts
}

// recordBrokenAnswer records that an upstream's answer broke off and starts a probe to find out
// whether the upstream crashed. A leaving upstream ends as planned, and a request that was not sent
// cannot have crashed it.
func (g *Gateway) recordBrokenAnswer(rq *request, upstream fleet.Upstream, err error) {
	if errors.Is(err, link.ErrNotSent) {
		return
	}
	if u, known := g.fleet.Get(upstream.ID); known && u.State() == fleet.Leaving {
		return
	}
	rq.run.ResponseLost(upstream.ID)
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.probing[upstream.ID] {
		g.probing[upstream.ID] = true
		go g.probeCrash(upstream)
	}
}

// probeCrash probes whether an upstream crashed. The address of a crashed upstream refuses
// connections until its next start, some seconds later. An upstream that accepts a connection may
// have broken off an answer for other reasons. A timeout decides nothing; the upstream's record in
// the store may show later whether it crashed.
func (g *Gateway) probeCrash(upstream fleet.Upstream) {
	err := g.link.CheckReachable(context.Background(), upstream.Address)
	g.mu.Lock()
	delete(g.probing, upstream.ID)
	g.mu.Unlock()
	switch {
	case err == nil:
		g.quarantine.ConfirmAlive(upstream.ID)
	case errors.Is(err, syscall.ECONNREFUSED):
		g.quarantine.ConfirmCrash(upstream.ID)
	}
}

// excludeForIsolation adds to exclude the upstreams that a request must not be sent to if it has to
// run apart from suspects: those that run one and those that are unavailable. If too many are
// unavailable, it adds all upstreams of the service.
func (g *Gateway) excludeForIsolation(rq *request, exclude map[string]bool) map[string]bool {
	if rq.run.Isolation() != quarantine.Apart {
		return exclude
	}
	excluded := g.quarantine.Trials()
	if excluded == nil {
		excluded = map[string]bool{}
	}
	maps.Copy(excluded, exclude)
	list := g.fleet.Available(rq.service.Name)
	crashed, now, available := g.quarantine.RecentlyCrashed(), g.now(), len(list)
	for _, u := range list {
		if _, crashedLately := crashed[u.ID]; crashedLately || u.AvoidUntil().After(now) || u.InBackOff(now) {
			excluded[u.ID] = true
			available--
		}
	}
	if !quarantine.EnoughAvailable(available, len(list)) {
		for _, u := range list {
			excluded[u.ID] = true
		}
	}
	return excluded
}

// SweepQuarantine confirms or drops possible crashes, by whether the upstream's incarnation is known
// to have ended, and drops expired suspects.
func (g *Gateway) SweepQuarantine() {
	g.quarantine.Sweep(func(start string) bool { return !g.incarnationKnown(start) })
}

// Quarantine returns this entry's set of suspects and quarantined requests.
func (g *Gateway) Quarantine() *quarantine.Set { return g.quarantine }
