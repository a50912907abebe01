package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

const (
	// turnWithin is how long a request waits while the same one runs elsewhere after an
	// upstream ended under it: most end in that time.
	turnWithin = 500 * time.Millisecond
	// trialLasts is how long after its begin a generation under which an engine ended keeps
	// others with the same request back.
	trialLasts = time.Second
	// sweepEvery is the pause between looks at requests to forget.
	sweepEvery = 250 * time.Millisecond
	// reachWithin bounds a look at whether a sidecar listens: some round trips.
	reachWithin = 400 * time.Millisecond
	// sidecarMark stands in the names of sidecars' starts only.
	sidecarMark = "~"
	// headerNoRetry tells OpenAI's client libraries not to send the request again.
	headerNoRetry = "X-Should-Retry"
)

// enterRun begins to serve a request, unless it is one that ends upstreams: then it is
// refused at once. That is no fault of the caller, and it has not run, hence 503; there is
// no time to come back, since nobody knows when the upstreams will bear it.
func (e *Entry) enterRun(w http.ResponseWriter, r callerRequest, name string, body []byte) (*quarantine.Run, bool) {
	q := quarantine.Request{Fingerprint: quarantine.FingerprintOf(r.Method, "", r.URL.RequestURI(), r.account.Name, body), Route: name, Account: r.account.Name}
	run, err := e.quarantine.Enter(r.Context(), q, turnWithin)
	switch {
	case err == nil:
		return run, true
	case errors.Is(err, quarantine.ErrHeld):
		w.Header().Set(headerNoRetry, "false")
		e.refuse(w, r.id, errHeld, time.Time{}, "fingerprint", q.Fingerprint)
	default:
		e.refuse(w, r.id, errOnTrial, e.now().Add(overloadRetry), "fingerprint", q.Fingerprint)
	}
	return nil, false
}

// isolated puts the upstreams that run a suspect last, and leaves them out for a request that is
// to run apart from suspects: all of them, unless most upstreams are there.
func (e *Entry) isolated(run *quarantine.Run, list []*membership.Peer) []*membership.Peer {
	away := 0
	for _, route := range e.quarantine.EndedLately() {
		if route == run.Route() {
			away++
		}
	}
	name := func(p *membership.Peer) string { return p.Identity().Upstream() }
	return isolate(list, name, e.quarantine.Trials(), run.Isolation(), away)
}

// isolate is isolated for upstreams with names, some of which run suspects; away is the number of
// those that ended lately.
func isolate[T any](list []T, name func(T) string, trials map[string]bool, isolation quarantine.Isolation, away int) []T {
	var free, busy []T
	for _, u := range list {
		if trials[name(u)] {
			busy = append(busy, u)
		} else {
			free = append(free, u)
		}
	}
	switch {
	case isolation != quarantine.Apart:
		return append(free, busy...)
	case !quarantine.MostThere(len(list)-away, len(list)):
		return nil
	default:
		return free
	}
}

// lost notes that a start of an upstream ended under a request; empty for none.
func (e *Entry) lost(run *quarantine.Run, start string) {
	if start == "" {
		return
	}
	run.EndedWith(start)
}

// sidecarLost notes that the connection to a sidecar ended under a request, which may have
// ended that process: its next start, or its address, tells.
func (e *Entry) sidecarLost(run *quarantine.Run, p *membership.Peer, sent membership.Identity, err error) {
	if !errors.Is(err, peer.ErrLost) {
		return
	}
	start := sidecarStart(sent)
	run.Broke(start)
	go func() {
		c, err := net.DialTimeout("tcp", p.Address(), reachWithin)
		switch {
		case err == nil:
			_ = c.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			e.quarantine.Ended(start)
		}
	}()
}

// sidecarStart names a start of a sidecar.
func sidecarStart(i membership.Identity) string {
	return i.Upstream() + sidecarMark + i.Incarnation()
}

// sidecarReplaced reports whether a later start took the place of a sidecar's.
func (e *Entry) sidecarReplaced(start string) bool {
	upstream, incarnation, ok := strings.Cut(start, sidecarMark)
	if !ok {
		return false
	}
	p, ok := e.set.Upstream(upstream)
	return ok && p.Identity().Incarnation() != incarnation
}

// settleCall notes what the result of a call tells about its request.
func (e *Entry) settleCall(run *quarantine.Run, res sidecar.Result) {
	if res.Outcome() == sidecar.Done {
		run.Served()
		return
	}
	e.lost(run, res.EndedWith())
}

// Quarantine returns what this entry knows of requests that end upstreams.
func (e *Entry) Quarantine() *quarantine.Set { return e.quarantine }

// SweepQuarantine settles which sidecars ended, and forgets requests that are old, until ctx
// ends.
func (e *Entry) SweepQuarantine(ctx context.Context) {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			e.quarantine.Sweep(e.sidecarReplaced)
		}
	}
}
