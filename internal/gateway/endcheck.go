package gateway

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/routetable"
)

// endProof tells how it is known that an answer is complete. An answer without length and chunks ends with its
// connection, and a crash of the upstream ends the connection as well. Such an answer is complete if the incarnation
// that sent it still answers after the end.
type endProof string

const (
	unproven        endProof = ""
	provenByFraming endProof = "framing"
	provenByReport  endProof = "report"
	provenByHealth  endProof = "health check"
)

const (
	// endCheckTimeout limits the time of one end check. A health check waits for a slot as requests do.
	endCheckTimeout = 3 * time.Second
	// endCheckInterval is the least time between the starts of two end checks of one upstream. All answers that
	// end in between share a check.
	endCheckInterval = 20 * time.Millisecond
	// maxHealthChecks limits the health checks of one end check if the upstream refuses them without its name, and
	// healthCheckPause is the time between two of them.
	maxHealthChecks  = 3
	healthCheckPause = 50 * time.Millisecond
)

// The reasons for not taking the end of a connection for the end of an answer.
var (
	errEndUnproven   = fmt.Errorf("%w: the answer has neither a length nor chunks, and its upstream is not known to have survived its end", link.ErrBroken)
	errUnnamed       = errors.New("the answer does not name its upstream")
	errNoHealthCheck = errors.New("the service has no health check")
	errBacksOff      = errors.New("the upstream is in backoff")
)

// endCheck finds out whether an upstream has survived the ends of some of its answers.
type endCheck struct {
	// done is closed once proof is set.
	done  chan struct{}
	proof endProof
	// answers counts the answers that have ended.
	answers int
}

// endChecks holds the end checks of one upstream.
type endChecks struct {
	// next is the check that has not started; nil if there is none. No check starts before notBefore.
	next      *endCheck
	notBefore time.Time
}

// proveEnd returns how it is known that an answer is complete whose connection has just ended. It asks the upstream
// if the answer has neither a length nor chunks.
func (g *Gateway) proveEnd(ctx context.Context, service *routetable.Service, u fleet.Upstream, a *link.Answer) endProof {
	if a.Framed {
		return provenByFraming
	}
	if !g.incarnationKnown(u.ID) {
		return unproven
	}
	c := g.joinEndCheck(service, u)
	select {
	case <-c.done:
	case <-ctx.Done():
		return unproven
	}
	if !g.incarnationKnown(u.ID) {
		return unproven
	}
	return c.proof
}

// joinEndCheck returns an end check of an upstream that starts from now on.
func (g *Gateway) joinEndCheck(service *routetable.Service, u fleet.Upstream) *endCheck {
	g.mu.Lock()
	defer g.mu.Unlock()
	checks := g.endChecks[u.ID]
	if checks == nil {
		checks = &endChecks{}
		g.endChecks[u.ID] = checks
	}
	if checks.next == nil {
		checks.next = &endCheck{done: make(chan struct{})}
		time.AfterFunc(checks.notBefore.Sub(g.now()), func() { g.runEndCheck(service, u, checks) })
	}
	checks.next.answers++
	return checks.next
}

func (g *Gateway) runEndCheck(service *routetable.Service, u fleet.Upstream, checks *endChecks) {
	started := g.now()
	g.mu.Lock()
	c := checks.next
	checks.next, checks.notBefore = nil, started.Add(endCheckInterval)
	g.mu.Unlock()
	defer close(c.done)
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	proof, asked, err := g.checkIncarnation(ctx, service, u)
	c.proof = proof
	g.met.endChecked(proof, asked)
	g.rec.Note(events.AnswerEndChecked, "", "upstream", u.ID, "proof", proof, "answers", c.answers, "asked", asked, "took", g.now().Sub(started), "error", err)
}

// sweepEndChecks forgets the end checks of upstreams that had none lately.
func (g *Gateway) sweepEndChecks() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, checks := range g.endChecks {
		if checks.next == nil && checks.notBefore.Before(now) {
			delete(g.endChecks, id)
		}
	}
}

// checkIncarnation asks an upstream whether its incarnation still serves, and counts the queries. It prefers the
// report of an engine, which needs no slot and tells incarnations of one name apart.
func (g *Gateway) checkIncarnation(ctx context.Context, service *routetable.Service, u fleet.Upstream) (proof endProof, asked int, err error) {
	if err := g.awaitBackOff(ctx, u.ID); err != nil {
		return unproven, 0, err
	}
	if service.Engine != nil && u.Born != 0 {
		state, err := g.query(ctx, u, "an answer without length and chunks ended")
		asked++
		switch {
		case err == nil && state.StartedAt == u.Born:
			return provenByReport, asked, nil
		case errors.Is(err, errOtherIncarnation):
			return unproven, asked, err
		}
	}
	if service.HealthPath == "" {
		return unproven, asked, errNoHealthCheck
	}
	for range maxHealthChecks {
		if err = g.awaitBackOff(ctx, u.ID); err != nil {
			break
		}
		asked++
		if err = g.checkHealth(ctx, service, u); !errors.Is(err, errUnnamed) {
			break
		}
		sleep(ctx, healthCheckPause)
	}
	if err != nil {
		return unproven, asked, err
	}
	return provenByHealth, asked, nil
}

// checkHealth sends a health check to an upstream and returns nil if the answer names its incarnation, whatever else
// it states: an upstream that is full, failing or about to leave is alive.
func (g *Gateway) checkHealth(ctx context.Context, service *routetable.Service, u fleet.Upstream) error {
	req := g.proto.HealthCheck(u.Name, service.HealthPath)
	// On an open connection, a late surplus answer to an earlier health check could come first.
	req.OwnConnection = true
	a, err := g.exchange(ctx, u, req)
	if err != nil {
		return err
	}
	defer a.Close()
	body, readErr := a.ReadAll(maxCommandAnswer)
	switch id := g.proto.DecodeIdentity(u.Name, a.Status, a.Header, body); {
	case id.Other || id.StartedAt != 0 && u.Born != 0 && id.StartedAt != u.Born:
		return errOtherIncarnation
	case id.Name == "":
		return errors.Join(errUnnamed, readErr)
	}
	return nil
}

// awaitBackOff waits for the end of an upstream's backoff, in which it gets no queries.
func (g *Gateway) awaitBackOff(ctx context.Context, id string) error {
	for {
		u, known := g.fleet.Get(id)
		wait := u.BackOffUntil().Sub(g.now())
		if !known || wait <= 0 {
			return nil
		}
		if deadline, ok := ctx.Deadline(); ok && !u.BackOffUntil().Before(deadline) {
			return errBacksOff
		}
		if sleep(ctx, wait); ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
