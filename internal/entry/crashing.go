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
	// turnTimeout is how long a suspect waits while a request with the same fingerprint runs. Most
	// requests end within that time.
	turnTimeout = 500 * time.Millisecond
	// steadyAfter is the time since its start after which a generation of a suspect no longer delays
	// requests with the same fingerprint.
	steadyAfter = time.Second
	// sweepInterval is the time between two sweeps of the quarantine.
	sweepInterval = 250 * time.Millisecond
	// dialTimeout bounds the check whether a sidecar accepts connections. It allows for several round
	// trips.
	dialTimeout = 400 * time.Millisecond
	// sidecarSeparator separates the upstream from the incarnation in the name of a sidecar's incarnation.
	// Names of engine incarnations do not contain it.
	sidecarSeparator = "~"
	// headerNoRetry is the header that tells OpenAI's client libraries whether to retry.
	headerNoRetry = "X-Should-Retry"
)

// enterQuarantine registers a request with the quarantine and returns its run. It refuses a quarantined
// request at once with 503, since the request has not run and the caller is not at fault. That answer has
// no Retry-After, since it is unknown when the request will no longer crash upstreams. It also refuses a
// suspect that did not get its turn within turnTimeout.
func (e *Entry) enterQuarantine(w http.ResponseWriter, r callerRequest, name string, body []byte) (*quarantine.Run, bool) {
	q := quarantine.Request{Fingerprint: quarantine.FingerprintOf(r.Method, "", r.URL.RequestURI(), r.account.Name, body), Route: name, Account: r.account.Name}
	run, err := e.quarantine.Enter(r.Context(), q, turnTimeout)
	switch {
	case err == nil:
		return run, true
	case errors.Is(err, quarantine.ErrQuarantined):
		w.Header().Set(headerNoRetry, "false")
		e.refuse(w, r.id, errQuarantined, time.Time{}, "fingerprint", q.Fingerprint)
	default:
		e.refuse(w, r.id, errOnTrial, e.now().Add(defaultRetryDelay), "fingerprint", q.Fingerprint)
	}
	return nil, false
}

// isolatePeers returns the peers in the order in which to try them, so that the request is kept apart from
// suspects as far as its isolation demands.
func (e *Entry) isolatePeers(run *quarantine.Run, list []*membership.Peer) []*membership.Peer {
	crashedRecently := 0
	for _, route := range e.quarantine.RecentlyCrashed() {
		if route == run.Route() {
			crashedRecently++
		}
	}
	name := func(p *membership.Peer) string { return p.Identity().Upstream() }
	return isolate(list, name, e.quarantine.Trials(), run.Isolation(), crashedRecently)
}

// isolate moves the upstreams that run a suspect, which trials contains by name, to the end of the list.
// With quarantine.Apart it removes them, and returns no upstream at all if too many are unavailable.
// crashedRecently is the number of upstreams that crashed recently.
func isolate[T any](list []T, name func(T) string, trials map[string]bool, isolation quarantine.Isolation, crashedRecently int) []T {
	var withoutSuspect, withSuspect []T
	for _, u := range list {
		if trials[name(u)] {
			withSuspect = append(withSuspect, u)
		} else {
			withoutSuspect = append(withoutSuspect, u)
		}
	}
	switch {
	case isolation != quarantine.Apart:
		return append(withoutSuspect, withSuspect...)
	case !quarantine.EnoughAvailable(len(list)-crashedRecently, len(list)):
		return nil
	default:
		return withoutSuspect
	}
}

// reportCrash reports to the quarantine that an incarnation of an upstream crashed while it ran the request.
// An empty incarnation means that none crashed.
func (e *Entry) reportCrash(run *quarantine.Run, incarnation string) {
	if incarnation == "" {
		return
	}
	run.CrashedUnder(incarnation)
}

// reportLostSidecar reports to the quarantine that the connection to a sidecar was lost while it ran the
// request, and does nothing if err is another error. The request may have crashed the sidecar. The sidecar
// counts as crashed if its address refuses connections, which reportLostSidecar checks, or once a later
// incarnation replaces it, which SweepQuarantine checks.
func (e *Entry) reportLostSidecar(run *quarantine.Run, p *membership.Peer, sentTo membership.Identity, err error) {
	if !errors.Is(err, peer.ErrLost) {
		return
	}
	incarnation := sidecarIncarnation(sentTo)
	run.ResponseLost(incarnation)
	go func() {
		c, err := net.DialTimeout("tcp", p.Address(), dialTimeout)
		switch {
		case err == nil:
			_ = c.Close()
		case errors.Is(err, syscall.ECONNREFUSED):
			e.quarantine.ConfirmCrash(incarnation)
		}
	}()
}

// sidecarIncarnation returns the name under which the quarantine knows an incarnation of a sidecar.
func sidecarIncarnation(i membership.Identity) string {
	return i.Upstream() + sidecarSeparator + i.Incarnation()
}

// sidecarReplaced reports whether a later incarnation has replaced the given one of a sidecar.
func (e *Entry) sidecarReplaced(sidecar string) bool {
	upstream, incarnation, ok := strings.Cut(sidecar, sidecarSeparator)
	if !ok {
		return false
	}
	p, ok := e.set.Upstream(upstream)
	return ok && p.Identity().Incarnation() != incarnation
}

// reportResult reports the result of a call to the quarantine.
func (e *Entry) reportResult(run *quarantine.Run, res sidecar.Result) {
	if res.Outcome() == sidecar.Done {
		run.Served()
		return
	}
	e.reportCrash(run, res.EndedIncarnation())
}

// Quarantine returns this entry's quarantine of poison requests.
func (e *Entry) Quarantine() *quarantine.Set { return e.quarantine }

// SweepQuarantine determines periodically which sidecars have crashed, and removes old records of the
// quarantine, until ctx ends.
func (e *Entry) SweepQuarantine(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
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
