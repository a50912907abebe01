package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
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
	// endCheckTimeout limits the time of an end check. Health checks wait for a slot as requests do, and an upstream that
	// is full refuses them, or resets their connections.
	endCheckTimeout = 3 * time.Second
	// endCheckInterval is the least time between the starts of two end checks of one upstream. All answers that
	// end in between share a check.
	endCheckInterval = 20 * time.Millisecond
	// firstCheckPause is the pause before a query that decided nothing is repeated. It doubles up to maxCheckPause.
	firstCheckPause = 20 * time.Millisecond
	maxCheckPause   = 80 * time.Millisecond
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
	done     chan struct{}
	proof    endProof
	deadline time.Time
	// answers counts the answers that have ended, and asked the queries that began after that.
	answers, asked int
}

// endChecks holds the end checks of one upstream.
type endChecks struct {
	// next is the check that has not started; nil if there is none. No check starts before notBefore.
	next      *endCheck
	notBefore time.Time
	// repeating is set while queries are repeated that decided nothing. They serve all further checks, and waiting are
	// those that have joined since the latest query began.
	repeating bool
	waiting   []*endCheck
}

// endProofTimes estimates how long it takes to prove the ends of the answers of each service that have neither a length
// nor chunks.
type endProofTimes struct {
	mu    sync.Mutex
	times map[string]time.Duration
}

// note adds the time of a proof. A longer one counts in full, because a stop cuts answers whose ends are proved later than
// expected.
func (e *endProofTimes) note(service string, took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.times == nil {
		e.times = map[string]time.Duration{}
	}
	t := e.times[service]
	e.times[service] = max(took, t+time.Duration(sampleWeight*float64(took-t)))
}

// expected returns the expected time of a proof; 0 for a service whose answers have all had a length or chunks.
func (e *endProofTimes) expected(service string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.times[service]
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
	c := checks.next
	switch {
	case checks.repeating && len(checks.waiting) > 0:
		c = checks.waiting[len(checks.waiting)-1]
	case checks.repeating:
		c = g.newEndCheck()
		checks.waiting = append(checks.waiting, c)
	case c == nil:
		c = g.newEndCheck()
		checks.next = c
		time.AfterFunc(checks.notBefore.Sub(g.now()), func() { g.runEndCheck(service, u, checks) })
	}
	c.answers++
	return c
}

func (g *Gateway) newEndCheck() *endCheck {
	return &endCheck{done: make(chan struct{}), deadline: g.now().Add(endCheckTimeout)}
}

// runEndCheck runs the next check of an upstream. If its first query decides nothing, it repeats the query, unless
// another check does so already.
func (g *Gateway) runEndCheck(service *routetable.Service, u fleet.Upstream, checks *endChecks) {
	g.mu.Lock()
	list := []*endCheck{checks.next}
	checks.next, checks.notBefore = nil, g.now().Add(endCheckInterval)
	g.mu.Unlock()
	list = g.askForChecks(service, u, list)
	g.mu.Lock()
	if checks.repeating {
		checks.waiting, list = append(checks.waiting, list...), nil
	} else {
		checks.repeating = len(list) > 0
	}
	g.mu.Unlock()
	for pause := firstCheckPause; len(list) > 0; pause = min(max(2*pause, firstCheckPause), maxCheckPause) {
		time.Sleep(pause)
		g.mu.Lock()
		list, checks.waiting = append(list, checks.waiting...), nil
		g.mu.Unlock()
		list = g.askForChecks(service, u, list)
		if len(list) > 0 {
			continue
		}
		pause = 0
		g.mu.Lock()
		list, checks.waiting = checks.waiting, nil
		checks.repeating = len(list) > 0
		g.mu.Unlock()
	}
}

// askForChecks queries an upstream on behalf of checks and returns those that need another query.
func (g *Gateway) askForChecks(service *routetable.Service, u fleet.Upstream, list []*endCheck) (undecided []*endCheck) {
	ctx, cancel := context.WithDeadline(context.Background(), list[len(list)-1].deadline)
	defer cancel()
	proof, err := g.checkIncarnation(ctx, service, u)
	g.met.endChecked(proof)
	for _, c := range list {
		c.asked++
		if proof == unproven && !decidesEnd(err) && g.now().Before(c.deadline) && g.incarnationKnown(u.ID) {
			undecided = append(undecided, c)
			continue
		}
		c.proof = proof
		took := endCheckTimeout - c.deadline.Sub(g.now())
		if proof != unproven {
			g.endProofTimes.note(service.Name, took)
		}
		g.rec.Note(events.AnswerEndChecked, "", "upstream", u.ID, "proof", proof, "answers", c.answers, "asked", c.asked, "took", took, "error", err)
		close(c.done)
	}
	return undecided
}

// decidesEnd reports whether an error shows that an incarnation cannot be asked. Other errors may be due to load.
func decidesEnd(err error) bool {
	for _, decisive := range []error{errOtherIncarnation, syscall.ECONNREFUSED, errNoHealthCheck, errBacksOff} {
		if errors.Is(err, decisive) {
			return true
		}
	}
	return false
}

// sweepEndChecks forgets the end checks of upstreams that had none lately.
func (g *Gateway) sweepEndChecks() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for id, checks := range g.endChecks {
		if checks.next == nil && !checks.repeating && checks.notBefore.Before(now) {
			delete(g.endChecks, id)
		}
	}
}

// checkIncarnation asks an upstream whether its incarnation still serves. It prefers the report of an engine, which
// needs no slot and tells incarnations of one name apart.
func (g *Gateway) checkIncarnation(ctx context.Context, service *routetable.Service, u fleet.Upstream) (endProof, error) {
	if err := g.awaitBackOff(ctx, u.ID); err != nil {
		return unproven, err
	}
	if service.Engine != nil && u.Born != 0 {
		state, err := g.queryAnew(ctx, u, "an answer without length and chunks ended")
		switch {
		case err == nil && state.StartedAt == u.Born:
			return provenByReport, nil
		case errors.Is(err, errOtherIncarnation):
			return unproven, err
		}
	}
	if service.HealthPath == "" {
		return unproven, errNoHealthCheck
	}
	// The report may have asked for a backoff.
	if err := g.awaitBackOff(ctx, u.ID); err != nil {
		return unproven, err
	}
	if err := g.checkHealth(ctx, service, u); err != nil {
		return unproven, err
	}
	return provenByHealth, nil
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
