package quarantine

import (
	"slices"
	"time"
)

const (
	// gossipTTL is how long this entry reports a crash that it saw if the request has only that
	// one. It allows for several messages to each peer, even if a peer is frozen for seconds.
	// Requests with more crashes are reported by all entries for as long as they keep them, so that
	// new entries learn of them.
	gossipTTL = 10 * time.Second
	// gossipByAllThreshold is the number of crashes from which on all entries report a request.
	gossipByAllThreshold = 2
	// maxReports bounds the requests in one message to another entry, which is then about 6 KB.
	maxReports = 64
	// maxNameBytes bounds the names of routes and accounts in messages.
	maxNameBytes = 64
)

// Report is what an entry reports about a request to other entries. Reports may arrive in any order,
// repeatedly and late.
type Report struct {
	Request
	// Crashes maps the incarnations that crashed under the request to the time of the crash.
	Crashes map[string]time.Time
	// OrdinaryRuns lists the crashed incarnations at which the request's run had begun before it was a suspect,
	// and TrialRuns those at which it ran as a suspect.
	OrdinaryRuns []string
	TrialRuns    []string
	// Voided lists the incarnations whose crashes no longer count against the request.
	Voided []string
	// Runs is set if the reporting entry runs the request. At is the upstream that runs it, if it
	// was a suspect when it was sent there.
	Runs bool
	At   string
}

// kind returns how the request ran at an incarnation.
func (w *Report) kind(incarnation string) runKind {
	switch {
	case slices.Contains(w.OrdinaryRuns, incarnation):
		return ordinaryRun
	case slices.Contains(w.TrialRuns, incarnation):
		return trialRun
	default:
		return unknownRun
	}
}

// Reports returns the reports for the other entries, the most important first. It returns nil while
// there are no suspects.
func (s *Set) Reports() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects) == 0 {
		return nil
	}
	var reported []*suspect
	for _, u := range s.suspects {
		if s.shouldReport(u) || s.runsHere(u) {
			reported = append(reported, u)
		}
	}
	slices.SortFunc(reported, func(a, b *suspect) int { return compareEvidence(b, a) })
	out := make([]Report, 0, min(len(reported), maxReports))
	for _, u := range reported[:min(len(reported), maxReports)] {
		out = append(out, s.report(u))
	}
	return out
}

// runsHere reports whether this entry runs a suspect. The caller must hold the lock.
func (s *Set) runsHere(u *suspect) bool { return s.running[u.fingerprint] > 0 && s.restricted(u) }

// shouldReport reports whether other entries should be informed about a request. The caller must hold
// the lock.
func (s *Set) shouldReport(u *suspect) bool {
	if len(u.activeCrashes()) >= gossipByAllThreshold {
		return true
	}
	for _, c := range u.crashes {
		if s.shouldReportCrash(c) {
			return true
		}
	}
	return false
}

// shouldReportCrash reports whether a crash or its void is reported even if the request has no other
// crash: this entry saw the crash recently, or learned recently that it is void. The caller must hold
// the lock.
func (s *Set) shouldReportCrash(c crash) bool {
	now := s.now()
	return c.local && now.Sub(c.at) < gossipTTL || c.voided() && now.Sub(c.voidedAt) < gossipTTL
}

// report returns the report about a request. The caller must hold the lock.
func (s *Set) report(u *suspect) Report {
	w := Report{
		Request: Request{
			Fingerprint: u.fingerprint,
			Route:       u.route[:min(len(u.route), maxNameBytes)],
			Account:     u.account[:min(len(u.account), maxNameBytes)],
			Part:        u.part,
		},
		Crashes: map[string]time.Time{}, Runs: s.runsHere(u),
	}
	for r, upstream := range s.trials {
		if r.request.Fingerprint == u.fingerprint {
			w.At = upstream
		}
	}
	reportAll := len(u.activeCrashes()) >= gossipByAllThreshold
	for incarnation, c := range u.crashes {
		switch {
		case c.voided() && s.shouldReportCrash(c):
			w.Voided = append(w.Voided, incarnation)
		case !c.voided() && (reportAll || s.shouldReportCrash(c)):
			w.Crashes[incarnation] = c.at
			switch c.kind {
			case ordinaryRun:
				w.OrdinaryRuns = append(w.OrdinaryRuns, incarnation)
			case trialRun:
				w.TrialRuns = append(w.TrialRuns, incarnation)
			case unknownRun:
			}
		}
	}
	slices.Sort(w.OrdinaryRuns)
	slices.Sort(w.TrialRuns)
	slices.Sort(w.Voided)
	return w
}

// maxSaved bounds the quarantined requests that are saved in case all entries are lost, and
// maxSavedCrashes the crashes of each. Together they take about 10 KB.
const (
	maxSaved        = 32
	maxSavedCrashes = 8
)

// Quarantined returns the quarantined requests, those with the most crashes first.
func (s *Set) Quarantined() []Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var quarantined []*suspect
	for _, u := range s.suspects {
		if !u.quarantinedAt.IsZero() {
			quarantined = append(quarantined, u)
		}
	}
	slices.SortFunc(quarantined, func(a, b *suspect) int { return compareEvidence(b, a) })
	var out []Report
	for _, u := range quarantined[:min(len(quarantined), maxSaved)] {
		w := s.report(u)
		w.Voided, w.OrdinaryRuns, w.TrialRuns, w.Runs, w.At = nil, nil, nil, false, ""
		for incarnation := range w.Crashes {
			if len(w.Crashes) > maxSavedCrashes {
				delete(w.Crashes, incarnation)
			}
		}
		out = append(out, w)
	}
	return out
}

// LocalQuarantines returns how often a request was quarantined because of crashes that this entry saw.
func (s *Set) LocalQuarantines() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.localQuarantines
}

// Restore restores what Quarantined returned before a restart of this entry, or at entries that may no
// longer exist.
func (s *Set) Restore(reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := false
	for _, w := range reports {
		changed = s.merge(w) || changed
	}
	if changed {
		s.updateQuarantines()
	}
}

// Merge merges the reports of another entry.
func (s *Set) Merge(entry string, reports []Report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastReportAt[entry] = s.now()
	runs, changed := map[Fingerprint]bool{}, false
	var upstreams []string
	for _, w := range reports {
		if w.Runs {
			runs[w.Fingerprint] = true
		}
		if w.At != "" {
			upstreams = append(upstreams, w.At)
		}
		changed = s.merge(w) || changed
	}
	_, wasRunning := s.peerRuns[entry]
	delete(s.peerRuns, entry)
	if len(runs) > 0 {
		s.peerRuns[entry] = peerSnapshot{takenAt: s.now(), runs: runs, upstreams: upstreams}
	}
	switch {
	case changed:
		s.updateQuarantines()
	case wasRunning:
		s.notifyWaiters()
	}
}

// merge merges a report; it returns false if it contained nothing new. The caller must hold the
// lock.
func (s *Set) merge(w Report) (changed bool) {
	if _, known := s.suspects[w.Fingerprint]; !known && len(w.Crashes) == 0 {
		// A report of voids alone has no effect on a request without known crashes.
		return false
	}
	u := s.getOrAdd(w.Request)
	for incarnation, at := range w.Crashes {
		if u.addCrash(incarnation, at, false) {
			changed = true
			s.voidIfServed(u, incarnation)
		}
		changed = u.setRunKind(incarnation, w.kind(incarnation)) || changed
	}
	for _, incarnation := range w.Voided {
		changed = u.voidCrash(incarnation, s.now()) || changed
	}
	if u.expired(s.now()) {
		// Other entries may remember it a little longer.
		delete(s.suspects, w.Fingerprint)
	}
	return changed
}
