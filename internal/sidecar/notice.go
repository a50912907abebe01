package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/protocol"
)

// notices tracks what the upstream announces about itself in its answers: a backoff that it asks
// for, and that it is leaving. All requests to the upstream go through this sidecar, so an
// announcement holds for the requests of all entries.
type notices struct {
	// leavingHeader is the name of the header that announces that the upstream is leaving; empty if
	// the upstream does not announce it.
	leavingHeader string
	incarnations  *upstreamIncarnations
	rec           *events.Recorder
	now           func() time.Time

	mu sync.Mutex
	// incarnation is the incarnation of the upstream that announced the values below.
	incarnation string
	// backoffUntil is the end of the backoff that the upstream asked for.
	backoffUntil time.Time
	// leavingUntil is until when the upstream counts as leaving; zero if it did not announce that.
	leavingUntil time.Time
}

const (
	// leavingTTL is how long an upstream that announced that it is leaving gets no requests. If it
	// is still there after that, it gets requests again, and their answers show whether it is still
	// leaving.
	leavingTTL = time.Minute
	// leavingProbePeriod is the pause between two probes of whether a leaving upstream has ended.
	leavingProbePeriod = 100 * time.Millisecond
	// leavingRetryDelay is the retry delay for requests that no other upstream may run. It is about
	// the time that the next incarnation needs to start.
	leavingRetryDelay = time.Second
)

func newNotices(incarnations *upstreamIncarnations, rec *events.Recorder, now func() time.Time) *notices {
	return &notices{incarnations: incarnations, rec: rec, now: now}
}

// observeHeader records what the header of an answer announces.
func (n *notices) observeHeader(status int, h http.Header) {
	now, incarnation := n.now(), n.incarnations.current()
	leaving := n.leavingHeader != "" && protocol.ParseLeaving(h.Get(n.leavingHeader))
	var backoffUntil time.Time
	if status == http.StatusServiceUnavailable {
		backoffUntil = protocol.ParseRetryAfter(h.Get("Retry-After"), now)
	}
	if !leaving && backoffUntil.IsZero() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetLocked(incarnation)
	changed := leaving && !n.leavingUntil.After(now)
	if changed {
		go n.probeUntilGone(incarnation)
	}
	if leaving {
		n.leavingUntil = now.Add(leavingTTL)
	}
	if backoffUntil.After(n.backoffUntil) {
		n.backoffUntil, changed = backoffUntil, true
	}
	if changed {
		n.rec.Note(events.UpstreamNotice, "", "upstream", incarnation, "leaving", leaving, "back-off", max(backoffUntil.Sub(now), 0))
	}
}

// probeUntilGone probes a leaving incarnation until it has ended or no longer counts as leaving. It
// gets no requests, so no broken answer would reveal its end.
func (n *notices) probeUntilGone(incarnation string) {
	for n.isLeaving(incarnation) {
		n.incarnations.probeEnded(context.Background())
		time.Sleep(leavingProbePeriod)
	}
}

// isLeaving reports whether the incarnation is the current one and counts as leaving.
func (n *notices) isLeaving(incarnation string) bool {
	if n.incarnations.current() != incarnation {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.incarnation == incarnation && n.now().Before(n.leavingUntil)
}

// resetLocked forgets what an earlier incarnation announced. It needs the lock.
func (n *notices) resetLocked(incarnation string) {
	if n.incarnation != incarnation {
		n.incarnation, n.backoffUntil, n.leavingUntil = incarnation, time.Time{}, time.Time{}
	}
}

// opensAt returns when the upstream accepts requests again; zero or past if it does now. For a
// leaving upstream that time is unknown, and opensAt returns the earliest time for a retry.
func (n *notices) opensAt() time.Time {
	incarnation := n.incarnations.current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetLocked(incarnation)
	if now := n.now(); now.Before(n.leavingUntil) && n.backoffUntil.Before(now.Add(leavingRetryDelay)) {
		return now.Add(leavingRetryDelay)
	}
	return n.backoffUntil
}
