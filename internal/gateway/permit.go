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
)

// errLimited: each upstream that could take the request gets as much as it says it takes.
var errLimited = errors.New("the upstreams take no more requests now")

// errBackOff: each upstream that could take the request asked to back off.
var errBackOff = fmt.Errorf("%w: they asked to back off", errLimited)

const (
	// permitShare is the part of a route's objective for which a request waits for a permit
	// where no other upstream can take it: the answer still comes in time.
	permitShare = 0.25
	// permitPause is the least pause before a permit is asked for again.
	permitPause = time.Millisecond
)

// chooser returns the upstream that is to get a request, without those excluded; the error
// tells why there is none.
type chooser func(exclude map[string]bool) (fleet.Upstream, error)

// permitted returns the upstream that choose returns, with a permit to send one request to it.
// Limited upstreams that get as much as they take are passed over: they are no failing ones, and
// are not to learn of what they refuse. So are those in back-off. If no other can take the request it waits until a time;
// a zero time is for a request that cannot wait. The error is that of choose, or errLimited.
func (g *Gateway) permitted(ctx context.Context, service string, exclude map[string]bool, until time.Time, choose chooser) (fleet.Upstream, error) {
	for {
		u, err := g.permittedNow(ctx, service, exclude, choose)
		if !errors.Is(err, errLimited) {
			return u, err
		}
		at := g.opensAt(service, exclude)
		if at.After(until) || !g.sleepUntil(ctx, at) {
			return fleet.Upstream{}, err
		}
	}
}

// permittedNow is permitted without a wait, but for the answer of the entry that grants permits.
func (g *Gateway) permittedNow(ctx context.Context, service string, exclude map[string]bool, choose chooser) (fleet.Upstream, error) {
	if !g.limits.Any() {
		u, err := choose(exclude)
		if err != nil && g.allInBackOff(service, exclude) {
			err = errBackOff
		}
		return u, err
	}
	reached := g.limits.Closed()
	for {
		u, err := choose(union(exclude, reached))
		if err != nil {
			switch {
			case g.anyOf(service, reached):
				err = errLimited
			case g.allInBackOff(service, exclude):
				err = errBackOff
			}
			return fleet.Upstream{}, err
		}
		err = g.limits.Take(ctx, u.ID)
		g.met.permitted(err)
		switch {
		case err == nil && g.takesWork(u.ID):
			return u, nil
		case ctx.Err() != nil:
			return fleet.Upstream{}, ctx.Err()
		}
		reached[u.ID] = true
	}
}

// await waits for a permit for one upstream, and for the end of its back-off, until a time. Nothing
// else can take the request, so it may use what is left to it during a back-off.
func (g *Gateway) await(ctx context.Context, upstream string, until time.Time) error {
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

// waitsUntil is until when a request may wait for a permit.
func (rq *request) waitsUntil() time.Time {
	return rq.start.Add(time.Duration(permitShare * float64(rq.route.Objective)))
}

// sleepUntil waits until a time; it returns false if ctx ends before.
func (g *Gateway) sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(max(at.Sub(g.now()), permitPause))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// anyOf reports whether any upstream of a service is in a set.
func (g *Gateway) anyOf(service string, set map[string]bool) bool {
	if len(set) == 0 {
		return false
	}
	for _, u := range g.fleet.Of(service) {
		if set[u.ID] {
			return true
		}
	}
	return false
}

// allInBackOff reports whether each upstream of a service that is not excluded is in back-off, and any is.
func (g *Gateway) allInBackOff(service string, exclude map[string]bool) bool {
	if !g.fleet.AnyBackOff() {
		return false
	}
	now, found := g.now(), false
	for _, u := range g.fleet.Of(service) {
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

// opensAt is when the first upstream of a service that is limited or in back-off, and is not excluded,
// takes a request again.
func (g *Gateway) opensAt(service string, exclude map[string]bool) time.Time {
	var first time.Time
	for _, u := range g.fleet.Of(service) {
		at := g.limits.OpensAt(u.ID)
		if u.BackOffUntil().After(at) {
			at = u.BackOffUntil()
		}
		if !exclude[u.ID] && !at.IsZero() && (first.IsZero() || at.Before(first)) {
			first = at
		}
	}
	return first
}

// backAfterLimit is the time after which a caller should come back whose request no upstream
// takes now: not before one does, and the later the more callers are refused.
func (g *Gateway) backAfterLimit(rq *request) time.Duration {
	overload := g.backAfterOverload(rq)
	opens := g.opensAt(rq.service.Name, nil)
	if g.allInBackOff(rq.service.Name, nil) {
		return g.returns.At(rq.service.Name, opens).Sub(g.now())
	}
	return max(opens.Sub(g.now()), overload)
}

// unlimited adds to the upstreams that a request is not to be sent to all that named a limit:
// for requests that are sent besides, and for those that cannot wait for a permit.
func (g *Gateway) unlimited(exclude map[string]bool) map[string]bool {
	if !g.limits.Any() {
		return exclude
	}
	return union(exclude, g.limits.Starts())
}

// admit chooses the engine for a new generation, with a permit.
func (s *stream) admit(ctx context.Context, exclude map[string]bool) (fleet.Upstream, error) {
	return s.g.permitted(ctx, s.rq.service.Name, exclude, s.rq.waitsUntil(), func(exclude map[string]bool) (fleet.Upstream, error) {
		return s.g.admitEngine(s, exclude)
	})
}

// goOnAt chooses an engine for the rest of an answer, with a permit. The caller has the
// beginning, so it may wait longer.
func (s *stream) goOnAt(ctx context.Context, exclude map[string]bool) (fleet.Upstream, error) {
	return s.g.permitted(ctx, s.rq.service.Name, exclude, s.g.now().Add(goOnWithin), func(exclude map[string]bool) (fleet.Upstream, error) {
		u, ok := s.g.chooseEngine(s, exclude)
		if !ok {
			return fleet.Upstream{}, placement.ErrNone
		}
		return u, nil
	})
}

// union returns all that are in one of two sets. Neither is changed, and one of them is returned
// if the other one is empty.
func union(a, b map[string]bool) map[string]bool {
	if len(b) == 0 {
		return a
	}
	out := make(map[string]bool, len(a)+len(b))
	maps.Copy(out, a)
	maps.Copy(out, b)
	return out
}

// The results of asking for a permit, by which operators count them.
const (
	permitGranted  = "granted"
	permitReached  = "limit reached"
	permitNoAnswer = "no answer"
	permitLeft     = "caller left"
)

// permitResult returns how operators count a result of limits.Set.Take.
func permitResult(err error) string {
	switch {
	case err == nil:
		return permitGranted
	case errors.Is(err, limits.ErrReached):
		return permitReached
	case errors.Is(err, limits.ErrNoAnswer):
		return permitNoAnswer
	default:
		return permitLeft
	}
}
