package gateway

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/quarantine"
)

// errLimited means that every upstream that could take the request has reached the rate limit
// that it states.
var errLimited = errors.New("the upstreams take no more requests now")

// errBackOff means that every upstream that could take the request is in backoff.
var errBackOff = fmt.Errorf("%w: they asked to back off", errLimited)

const (
	// permitShare is the fraction of a route's objective that a request may wait for a permit
	// if no other upstream can take it. The answer still comes within the objective.
	permitShare = 0.25
	// minPermitWait is the minimum wait before a permit is requested again.
	minPermitWait = time.Millisecond
)

// chooser returns the upstream for a request, none of those in exclude. The error states why
// there is none.
type chooser func(exclude map[string]bool) (fleet.Upstream, error)

// chooseWithPermit returns the upstream that choose returns, with a permit to send one request to
// it. Upstreams that have reached their rate limit or are in backoff are skipped: they do not
// count as failing, and they should not receive requests that they would refuse. If no other
// upstream can take the request, chooseWithPermit waits for one of these, at most until the given
// time; a zero time is for a request that cannot wait. The error is that of choose, or errLimited.
func (g *Gateway) chooseWithPermit(ctx context.Context, service string, exclude map[string]bool, until time.Time, choose chooser) (fleet.Upstream, error) {
	for {
		u, err := g.tryChooseWithPermit(ctx, service, exclude, choose)
		if !errors.Is(err, errLimited) {
			return u, err
		}
		at := g.nextOpening(service, exclude)
		if at.After(until) || !g.sleepUntil(ctx, at) {
			return fleet.Upstream{}, err
		}
	}
}

// tryChooseWithPermit is chooseWithPermit without the wait for an upstream. It still waits for the
// answer of the entry that grants permits.
func (g *Gateway) tryChooseWithPermit(ctx context.Context, service string, exclude map[string]bool, choose chooser) (fleet.Upstream, error) {
	if !g.limits.Any() {
		u, err := choose(exclude)
		if err != nil && g.allInBackOff(service, exclude) {
			err = errBackOff
		}
		return u, err
	}
	skipped := g.limits.Closed()
	for {
		u, err := choose(union(exclude, skipped))
		if err != nil {
			switch {
			case g.anyOf(service, skipped):
				err = errLimited
			case g.allInBackOff(service, exclude):
				err = errBackOff
			}
			return fleet.Upstream{}, err
		}
		err = g.limits.Take(ctx, u.ID)
		g.met.permitted(err)
		switch {
		case err == nil && g.acceptsRequests(u.ID):
			return u, nil
		case ctx.Err() != nil:
			return fleet.Upstream{}, ctx.Err()
		}
		skipped[u.ID] = true
	}
}

// awaitPermit waits for a permit for one upstream and for the end of its backoff, at most until
// the given time. No other upstream can take the request, so awaitPermit may use the one request
// that each backoff allows.
func (g *Gateway) awaitPermit(ctx context.Context, upstream string, until time.Time) error {
	for !g.fleet.TakeDuringBackOff(upstream) {
		u, known := g.fleet.Get(upstream)
		if !known || u.BackOffUntil().After(until) || !g.sleepUntil(ctx, u.BackOffUntil()) {
			return errBackOff
		}
	}
	for {
		err := g.limits.Take(ctx, upstream)
		if err == nil {
			return nil
		}
		if at := g.limits.OpensAt(upstream); at.After(until) || !g.sleepUntil(ctx, at) {
			return errLimited
		}
	}
}

// permitDeadline returns the time until which a request may wait for a permit.
func (rq *request) permitDeadline() time.Time {
	return rq.readAt.Add(time.Duration(permitShare * float64(rq.route.Objective)))
}

// sleepUntil waits until a time, and for minPermitWait at least. It returns false if ctx ends
// first.
func (g *Gateway) sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(max(at.Sub(g.now()), minPermitWait))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// anyOf reports whether a set contains an upstream of a service.
func (g *Gateway) anyOf(service string, set map[string]bool) bool {
	if len(set) == 0 {
		return false
	}
	for _, u := range g.fleet.Available(service) {
		if set[u.ID] {
			return true
		}
	}
	return false
}

// allInBackOff reports whether a service has upstreams that are not excluded and all of them are
// in backoff.
func (g *Gateway) allInBackOff(service string, exclude map[string]bool) bool {
	if !g.fleet.AnyBackOff() {
		return false
	}
	now, found := g.now(), false
	for _, u := range g.fleet.Available(service) {
		if exclude[u.ID] {
			continue
		}
		if !u.InBackOff(now) {
			return false
		}
		found = true
	}
	return found
}

// nextOpening returns the earliest time at which an upstream of a service takes a request again,
// among those that are limited or in backoff and not excluded. It is zero if there is none.
func (g *Gateway) nextOpening(service string, exclude map[string]bool) time.Time {
	var earliest time.Time
	for _, u := range g.fleet.Available(service) {
		at := g.limits.OpensAt(u.ID)
		if u.BackOffUntil().After(at) {
			at = u.BackOffUntil()
		}
		if !exclude[u.ID] && !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
			earliest = at
		}
	}
	return earliest
}

// retryDelayAfterLimit returns the retry delay for a caller whose request no upstream takes now. It
// lasts at least until an upstream takes requests, and grows with the number of refused callers.
func (g *Gateway) retryDelayAfterLimit(rq *request) time.Duration {
	overload := g.retryDelayAfterOverload(rq)
	opens := g.nextOpening(rq.service.Name, nil)
	if g.allInBackOff(rq.service.Name, nil) {
		return g.retryTimes.At(rq.service.Name, opens).Sub(g.now())
	}
	return max(opens.Sub(g.now()), overload)
}

// excludeLimited returns exclude with all upstreams added that state a rate limit. It is for hedges
// and for requests that cannot wait for a permit.
func (g *Gateway) excludeLimited(exclude map[string]bool) map[string]bool {
	if !g.limits.Any() {
		return exclude
	}
	return union(exclude, g.limits.Starts())
}

// admit chooses the engine for a generation and takes a permit for it. The caller of a stream that has begun
// waits for the rest of an answer, so a crowded engine is better than none.
func (s *stream) admit(ctx context.Context, exclude map[string]bool) (fleet.Upstream, error) {
	begun := s.begun()
	return s.g.chooseWithPermit(ctx, s.rq.service.Name, s.excludeOtherSoftware(exclude), s.rq.permitDeadline(), func(exclude map[string]bool) (fleet.Upstream, error) {
		u, err := s.g.admitEngine(s, exclude)
		if err == nil || !begun || s.rq.run.Isolation() == quarantine.Apart {
			return u, err
		}
		if u, ok := s.g.chooseEngine(s, exclude); ok {
			return u, nil
		}
		return fleet.Upstream{}, err
	})
}

// admitResumed chooses an engine for the rest of an answer and takes a permit for it. It may wait
// longer than admit because the caller already has the beginning of the answer.
func (s *stream) admitResumed(ctx context.Context, exclude map[string]bool) (fleet.Upstream, error) {
	return s.g.chooseWithPermit(ctx, s.rq.service.Name, s.excludeOtherSoftware(exclude), s.g.now().Add(resumeWait), func(exclude map[string]bool) (fleet.Upstream, error) {
		u, ok := s.g.chooseEngine(s, exclude)
		if !ok {
			return fleet.Upstream{}, placement.ErrNone
		}
		return u, nil
	})
}

// union returns the union of two sets without changing either. It returns a itself if b is empty.
func union(a, b map[string]bool) map[string]bool {
	if len(b) == 0 {
		return a
	}
	out := make(map[string]bool, len(a)+len(b))
	maps.Copy(out, a)
	maps.Copy(out, b)
	return out
}

// The results of permit requests, as metrics label them.
const (
	permitGranted      = "granted"
	permitReached      = "limit reached"
	permitNoAnswer     = "no answer"
	permitCallerClosed = "caller left"
)

// permitResult returns the metrics label for an error of limits.Set.Take.
func permitResult(err error) string {
	switch {
	case err == nil:
		return permitGranted
	case errors.Is(err, limits.ErrReached):
		return permitReached
	case errors.Is(err, limits.ErrNoAnswer):
		return permitNoAnswer
	default:
		return permitCallerClosed
	}
}
