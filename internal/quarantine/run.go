package quarantine

import (
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// Run is a request that an entry is serving. Its methods are safe for concurrent use.
type Run struct {
	set     *Set
	request Request
	// parts are the parts of the request's prompt.
	parts []Request

	// The set's lock guards the fields below.

	// sentAt is when the request last went to an upstream; zero before that.
	sentAt time.Time
	// onTrial is set if the request was a suspect when it was sent; a suspect runs once at a time.
	onTrial bool
	// probation is set for the one trial after a quarantine period.
	probation bool
	// trialOver is set once other runs with the same fingerprint no longer wait for this one.
	trialOver bool
	finished  bool
	// partTrials are the quarantined parts that this run tries.
	partTrials []Fingerprint
}

// Route returns the name of the request's route.
func (r *Run) Route() string { return r.request.Route }

// Suspected reports whether the request is a suspect.
func (r *Run) Suspected() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	u, ok := r.set.suspects[r.request.Fingerprint]
	return ok && r.set.restricted(u)
}

// MayRepeat reports whether the request may be sent to another upstream after it may have run.
// After one crash it gets one more attempt, provided that no other run of it is in progress. That
// is enough for a request whose upstream was killed for another reason. Without the limit, a poison
// request would crash as many upstreams as its route allows attempts, each time a caller sends it.
func (r *Run) MayRepeat() bool {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range r.parts {
		if u, ok := s.suspects[p.Fingerprint]; ok && s.suspicion(u) > maxRetryCrashes {
			return false
		}
	}
	u, ok := s.suspects[r.request.Fingerprint]
	if !ok || !s.restricted(u) {
		return true
	}
	return u.quarantinedAt.IsZero() && s.suspicion(u) <= maxRetryCrashes &&
		s.running[r.request.Fingerprint] <= 1 && !s.runsAtPeer(r.request.Fingerprint)
}

// MaySend reports whether the request may be sent now. It may have been quarantined while it
// waited.
func (r *Run) MaySend() bool {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	if !r.partsMaySend() {
		return false
	}
	u, ok := r.set.suspects[r.request.Fingerprint]
	return !ok || u.quarantinedAt.IsZero() || r.probation && r.sentAt.IsZero()
}

// partsMaySend reports whether no part of the prompt was quarantined since the run began, or the run is the
// trial of that part and has not been sent. The caller must hold the lock.
func (r *Run) partsMaySend() bool {
	for _, p := range r.parts {
		u, ok := r.set.suspects[p.Fingerprint]
		if ok && !u.quarantinedAt.IsZero() && (!r.sentAt.IsZero() || !slices.Contains(r.partTrials, p.Fingerprint)) {
			return false
		}
	}
	return true
}

// Sent notes that the request is being sent to an upstream whose shared name is unknown. A run
// whose trial was over starts a new one.
func (r *Run) Sent() { r.SentTo("") }

// SentTo notes that the request is being sent to an upstream, given by the name that all entries
// use for it.
func (r *Run) SentTo(upstream string) {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.sentAt = r.set.now()
	u, ok := r.set.suspects[r.request.Fingerprint]
	r.onTrial = ok && r.set.restricted(u)
	delete(r.set.trials, r)
	if r.onTrial && upstream != "" {
		r.set.trials[r] = upstream
		defer r.set.gossipNow()
	}
	if r.trialOver && !r.finished {
		r.trialOver = false
		r.set.running[r.request.Fingerprint]++
	}
}

// ResponseLost notes that the connection to an incarnation was lost before its response was complete. The
// incarnation is given by the name under which the request was routed. The caller then finds out whether the
// upstream crashed and calls Set.ConfirmCrash or Set.ConfirmAlive.
func (r *Run) ResponseLost(incarnation string) {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.responseLost(incarnation, r.set.resolveIncarnation(incarnation, r.sentAt))
}

// CrashedUnder notes that an incarnation crashed while it ran the request, as reported by the upstream's
// sidecar.
func (r *Run) CrashedUnder(incarnation string) {
	r.set.mu.Lock()
	r.responseLost(incarnation, incarnation)
	r.set.mu.Unlock()
	r.set.ConfirmCrash(incarnation)
}

// responseLost notes a lost response. actualIncarnation differs from routedTo if a later incarnation ran the
// request. The caller must hold the lock.
func (r *Run) responseLost(routedTo, actualIncarnation string) {
	s := r.set
	for _, p := range r.parts {
		s.noteLostResponse(p, actualIncarnation, lostResponse{at: s.now(), routedTo: routedTo, kind: ordinaryRun})
	}
	lost := lostResponse{at: s.now(), routedTo: routedTo, kind: trialRun}
	if !r.onTrial {
		lost.kind = ordinaryRun
	}
	s.noteLostResponse(r.request, actualIncarnation, lost)
}

// noteLostResponse notes a lost response to a request, or to one with a part. The caller must hold the lock.
func (s *Set) noteLostResponse(q Request, actualIncarnation string, lost lostResponse) {
	if s.servedRecently(q.Fingerprint) {
		return
	}
	u := s.getOrAdd(q)
	if _, known := u.crashes[actualIncarnation]; known {
		return
	}
	if u.lostResponses[actualIncarnation].kind == ordinaryRun {
		lost.kind = ordinaryRun
	}
	u.lostResponses[actualIncarnation] = lost
}

// Served notes that an upstream completed the response, which clears the request and the parts of its prompt
// of suspicion.
func (r *Run) Served() {
	r.AnsweredWithError()
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range r.parts {
		s.servePart(p.Fingerprint)
	}
}

// AnsweredWithError notes that an upstream completed a response that reports an error. That clears the
// request, but not the parts of its prompt, of which the upstream wrote nothing.
func (r *Run) AnsweredWithError() {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.served) < maxServed {
		s.served[r.request.Fingerprint] = s.now()
	}
	u, ok := s.suspects[r.request.Fingerprint]
	if !ok {
		return
	}
	s.clear(u, "it was served")
}

// clear voids all crashes that count against a request. The caller must hold the lock.
func (s *Set) clear(u *suspect, reason string) {
	wasQuarantined := !u.quarantinedAt.IsZero()
	voided := u.clear(s.now())
	u.quarantinedAt = time.Time{}
	if voided > 0 {
		s.rec.Note(events.RequestCleared, "", "fingerprint", u.fingerprint, "route", u.route,
			"account", u.account, "part", u.part, "why", reason, "ends", voided, "held", wasQuarantined)
		s.gossipNow()
	}
	s.updateQuarantines()
}

// EndTrial notes that the request runs well after its start, so it is not about to crash its upstream.
// Other requests with its fingerprint need not wait for it to finish.
func (r *Run) EndTrial() {
	r.set.mu.Lock()
	defer r.set.mu.Unlock()
	r.endTrial()
}

// endTrial lets other runs of the request start. The caller must hold the lock.
func (r *Run) endTrial() {
	if r.trialOver {
		return
	}
	r.trialOver = true
	delete(r.set.trials, r)
	f := r.request.Fingerprint
	r.set.endRun(f)
	for _, part := range r.partTrials {
		r.set.endRun(part)
	}
	r.partTrials = nil
	if _, ok := r.set.suspects[f]; ok {
		r.set.notifyWaiters()
	}
}

// endRun counts one run less of a request, or of a part on trial. The caller must hold the lock.
func (s *Set) endRun(f Fingerprint) {
	if s.running[f]--; s.running[f] <= 0 {
		delete(s.running, f)
	}
	if u, ok := s.suspects[f]; ok && u.isPart() {
		s.notifyWaiters()
		s.gossipNow()
	}
}

// Leave ends the run.
func (r *Run) Leave() {
	s := r.set
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.finished {
		return
	}
	r.finished = true
	r.endTrial()
	if u, ok := s.suspects[r.request.Fingerprint]; ok && s.restricted(u) {
		// Other entries may be waiting for this run to finish.
		s.gossipNow()
	}
}
