package quarantine

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

const (
	// quarantineThreshold is the number of crashes after which a request can be quarantined. One
	// crash makes a suspect of every request that ran there. A harmless request practically never
	// runs at three crashes while it is kept apart from other suspects, with no complete response
	// in between.
	quarantineThreshold = 3
	// maxRetryCrashes is the number of crashes up to which an entry repeats a request on its own.
	maxRetryCrashes = 1
	// maxCrashes bounds the crashes remembered of one request. A poison request causes fewer, even
	// at hundreds of entries that get gossip late. A forgotten crash no longer explains the crashes
	// of other requests.
	maxCrashes = 64
	// maxSuspects bounds the suspects remembered. It is about the number of requests that twenty
	// fully loaded engines run, with the parts of their prompts.
	maxSuspects = 4096
	// minQuarantine is the first quarantine period. Finding out whether the request still crashes
	// upstreams costs one upstream, so the period doubles with each crash, up to maxQuarantine.
	minQuarantine = 10 * time.Minute
	maxQuarantine = 8 * time.Hour
	// confirmTimeout is how long it takes at most to find out whether an upstream crashed after a
	// lost response, from its address or from the record of its next incarnation.
	confirmTimeout = 3 * time.Second
	// suspectTTL is how long a request with one or two crashes is remembered, and how long a
	// quarantined request is remembered after its quarantine period.
	suspectTTL = 10 * time.Minute
	// voidTTL is how long voided crashes are remembered, because late messages may still report
	// them.
	voidTTL = time.Minute
	// servedTTL is how long crashes are not counted against a request after it was served here: a
	// poison request is never served. It is longer than gossip takes. A harmless request that many
	// callers send runs at many crashes: of 52,000 harmless requests beside one poison request, 6
	// to 8 were not served, and 15 to 18 without this rule (three simulations, 300 entries, gossip
	// delayed by 0.7 s).
	servedTTL = 2 * time.Second
	// maxServed bounds the requests remembered as served.
	maxServed = 4096
	// peerRunTTL is how long a peer's report that it runs a suspect is valid unless renewed.
	peerRunTTL = 2 * time.Second
	// peerReportTime is how long peers take to report which other requests ran at a crash, or that
	// these were served. A request with three crashes that is not quarantined is not tried again
	// for that long after the latest crash.
	peerReportTime = time.Second
	// usualDowntime is how long a crashed upstream is usually down.
	usualDowntime = 2 * time.Second
)

// The reasons for which a request is refused. Callers get these texts.
var (
	// ErrQuarantined is returned for a quarantined request.
	ErrQuarantined = errors.New("upstreams ended while they ran this request")
	// ErrOnTrial is returned for a suspect while another run of it is in progress, or while it is
	// not yet known whether upstreams crashed.
	ErrOnTrial = errors.New("an upstream ended under this request, and it is being tried at another one")
)

// Set holds the suspects of an entry.
type Set struct {
	rec *events.Recorder
	now func() time.Time
	// gossipNow sends the reports to the other entries at once.
	gossipNow func()

	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// explained holds the incarnations whose crashes a quarantined request explains.
	explained explained
	// served maps requests served here recently to the time of the latest response.
	served map[Fingerprint]time.Time
	// servedParts does the same for parts of prompts.
	servedParts map[Fingerprint]time.Time
	// running counts, by request, the runs here whose trial is not over.
	running map[Fingerprint]int
	// trials maps the runs of suspects at this entry to their upstreams.
	trials map[*Run]string
	// localQuarantines counts the quarantines that are based on crashes seen by this entry.
	localQuarantines int
	// peerRuns holds the suspects that peers run, by peer.
	peerRuns map[string]peerSnapshot
	// name is the name of this entry, and lastReportAt maps peers to the time of their latest message.
	name         string
	lastReportAt map[string]time.Time
	// changed is closed and replaced when waiting requests must check again whether they may run.
	changed chan struct{}
}

// peerSnapshot is what a peer last reported about the suspects that it runs.
type peerSnapshot struct {
	takenAt time.Time
	runs    map[Fingerprint]bool
	// upstreams are the upstreams that run them.
	upstreams []string
}

// New returns an empty Set. gossipNow is called when other entries need a report at once.
func New(rec *events.Recorder, now func() time.Time, gossipNow func()) *Set {
	return &Set{
		rec: rec, now: now, gossipNow: gossipNow, suspects: map[Fingerprint]*suspect{},
		running: map[Fingerprint]int{}, served: map[Fingerprint]time.Time{}, servedParts: map[Fingerprint]time.Time{}, trials: map[*Run]string{},
		lastReportAt: map[string]time.Time{},
		peerRuns:     map[string]peerSnapshot{}, changed: make(chan struct{}),
	}
}

// Request identifies a request to operators, or a part of prompts.
type Request struct {
	Fingerprint Fingerprint
	Route       string
	Account     string
	// Part is the ID of the part of prompts, empty for a request. The fingerprint of a part does not depend
	// on the route, which is one of those on which requests with it came.
	Part string
}

// Enter begins to serve a request. A suspect runs once at a time: Enter waits until it may run, at
// most for the given time, and then returns ErrOnTrial. For a quarantined request it returns
// ErrQuarantined at once. Without this wait, a poison request sent 30 times a second to 300 entries
// crashed 13 or 14 upstreams instead of 10 (three simulations, gossip delayed by 0.1 s). parts are the parts of
// its prompt, as PartOf returns them.
func (s *Set) Enter(ctx context.Context, r Request, wait time.Duration, parts ...Request) (*Run, error) {
	var expired <-chan time.Time
	for {
		run, changed, err := s.enter(r, parts)
		if err == nil || errors.Is(err, ErrQuarantined) {
			return run, err
		}
		if expired == nil {
			t := time.NewTimer(wait)
			defer t.Stop()
			expired = t.C
		}
		select {
		case <-changed:
		case <-expired:
			return nil, err
		case <-ctx.Done():
			return nil, err
		}
	}
}

func (s *Set) enter(r Request, parts []Request) (*Run, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := &Run{set: s, request: r, parts: parts}
	refused, trials := s.refusedPart(parts)
	if refused != nil {
		refused.refused++
		return nil, nil, ErrQuarantined
	}
	if slices.ContainsFunc(trials, s.partBusy) {
		return nil, s.changed, ErrOnTrial
	}
	if u, ok := s.suspects[r.Fingerprint]; ok && s.restricted(u) {
		if !u.quarantinedAt.IsZero() && s.now().Before(u.quarantinedUntil()) {
			u.refused++
			return nil, nil, ErrQuarantined
		}
		if s.suspicion(u) >= quarantineThreshold && !s.hasTurn(u) ||
			s.running[r.Fingerprint] > 0 || s.runsAtPeer(r.Fingerprint) || s.decisionPending(u) {
			return nil, s.changed, ErrOnTrial
		}
		run.probation, run.onTrial = !u.quarantinedAt.IsZero(), true
		defer s.gossipNow()
	}
	for _, u := range trials {
		run.partTrials = append(run.partTrials, u.fingerprint)
		s.running[u.fingerprint]++
		defer s.gossipNow()
	}
	s.running[r.Fingerprint]++
	return run, nil, nil
}

// suspicion returns the number of crashes that count against a request, including possible crashes
// that are not confirmed yet. The caller must hold the lock.
func (s *Set) suspicion(u *suspect) int {
	if s.explainedByOne(u) {
		return u.unconfirmed()
	}
	return len(u.activeCrashes()) + u.unconfirmed()
}

// explainedByOne reports whether a single quarantined request explains all crashes of another one,
// as is typical of a harmless request that many callers send. A request whose crashes only several
// quarantined requests together explain stays a suspect, because it may crash upstreams as well.
// The caller must hold the lock.
func (s *Set) explainedByOne(u *suspect) bool {
	active := u.activeCrashes()
	if len(s.explained.unexplained(u)) > 0 {
		return false
	}
	for _, h := range s.suspects {
		if h != u && !h.quarantinedAt.IsZero() &&
			!slices.ContainsFunc(active, func(incarnation string) bool { return !h.countsCrash(incarnation) }) {
			return true
		}
	}
	return false
}

// restricted reports whether a request runs once at a time or not at all. The caller must hold the
// lock.
func (s *Set) restricted(u *suspect) bool { return !u.quarantinedAt.IsZero() || s.suspicion(u) > 0 }

// decisionPending reports whether a request has enough crashes for a quarantine, but some of them
// are unconfirmed or peers may still report other requests that ran there. Crashed upstreams may
// take seconds to come back: without this wait, a poison request sent seven times a second crashed
// 6 to 8 sidecars instead of 3. The caller must hold the lock.
func (s *Set) decisionPending(u *suspect) bool {
	return u.quarantinedAt.IsZero() && s.suspicion(u) >= quarantineThreshold &&
		(u.unconfirmed() > 0 || s.now().Before(u.latestCrash().Add(peerReportTime)))
}

// runsAtPeer reports whether a peer runs a suspect. The caller must hold the lock.
func (s *Set) runsAtPeer(f Fingerprint) bool {
	now := s.now()
	for _, p := range s.peerRuns {
		if p.runs[f] && now.Sub(p.takenAt) < peerRunTTL {
			return true
		}
	}
	return false
}

// notifyWaiters makes waiting requests check again whether they may run. The caller must hold the
// lock.
func (s *Set) notifyWaiters() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// getOrAdd returns the suspect for a request and adds it if it is new. The caller must hold the
// lock.
func (s *Set) getOrAdd(r Request) *suspect {
	u, ok := s.suspects[r.Fingerprint]
	if !ok {
		s.evictIfFull()
		u = newSuspect(r.Fingerprint)
		s.suspects[r.Fingerprint] = u
	}
	if u.route == "" {
		u.route, u.account, u.part = r.Route, r.Account, r.Part
	}
	return u
}

// evictIfFull forgets the suspect with the least evidence if there are too many. A flood of
// requests with one crash each thus does not displace the quarantined ones.
func (s *Set) evictIfFull() {
	if len(s.suspects) < maxSuspects {
		return
	}
	var weakest *suspect
	for _, u := range s.suspects {
		if weakest == nil || compareEvidence(u, weakest) < 0 {
			weakest = u
		}
	}
	delete(s.suspects, weakest.fingerprint)
	s.rec.Note(events.RequestForgotten, "", "fingerprint", weakest.fingerprint,
		"ends", len(weakest.activeCrashes()), "suspects", maxSuspects)
}

// compareEvidence orders suspects by their number of crashes, then by the time of the latest one.
func compareEvidence(a, b *suspect) int {
	return cmp.Or(
		cmp.Compare(len(a.activeCrashes()), len(b.activeCrashes())),
		a.latestCrash().Compare(b.latestCrash()),
	)
}

// ConfirmCrash confirms that an incarnation of an upstream crashed. It becomes a crash of all requests that lost a
// response there.
func (s *Set) ConfirmCrash(incarnation string) {
	s.mu.Lock()
	changed := false
	for _, u := range s.suspects {
		for actualIncarnation, lost := range u.lostResponses {
			if lost.routedTo != incarnation {
				continue
			}
			delete(u.lostResponses, actualIncarnation)
			if u.addCrash(actualIncarnation, lost.at, true) {
				changed = true
				u.setRunKind(actualIncarnation, lost.kind)
				s.voidIfServed(u, actualIncarnation)
				s.rec.Note(events.RequestSuspected, "", "fingerprint", u.fingerprint, "route", u.route,
					"account", u.account, "part", u.part, "upstream", actualIncarnation, "ends", len(u.activeCrashes()),
					"on-trial", lost.kind == trialRun)
			}
		}
	}
	s.updateQuarantines()
	s.mu.Unlock()
	if changed {
		s.gossipNow()
	}
}

// servedRecently reports whether this entry served the request recently. The caller must hold the
// lock.
func (s *Set) servedRecently(f Fingerprint) bool {
	now := s.now()
	return now.Sub(s.served[f]) < servedTTL || now.Sub(s.servedParts[f]) < partServedTTL
}

// voidIfServed voids a crash if this entry served the request recently. The caller must hold the
// lock.
func (s *Set) voidIfServed(u *suspect, incarnation string) {
	if s.servedRecently(u.fingerprint) {
		u.voidCrash(incarnation, s.now())
	}
}

// ConfirmAlive notes that an incarnation whose responses were lost still accepts connections, so it probably did
// not crash.
func (s *Set) ConfirmAlive(incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.suspects {
		for actualIncarnation, lost := range u.lostResponses {
			if lost.routedTo == incarnation {
				lost.alive = true
				u.lostResponses[actualIncarnation] = lost
			}
		}
	}
	s.notifyWaiters()
}

// updateQuarantines attributes the known crashes, quarantines the requests that cause them and
// releases the others. A harmless request may be quarantined for a short time until gossip arrives.
// The caller must hold the lock.
func (s *Set) updateQuarantines() {
	hasPeers := s.hasLivePeers()
	for _, u := range s.suspects {
		u.markComplete(s.now(), hasPeers)
	}
	quarantined, e := attribute(s.suspects)
	s.explained = e
	for _, u := range s.suspects {
		switch wasQuarantined := !u.quarantinedAt.IsZero(); {
		case quarantined[u] && !wasQuarantined:
			u.quarantinedAt = s.now()
			if u.seenLocally() {
				s.localQuarantines++
			}
			s.rec.Note(events.RequestHeld, "", "fingerprint", u.fingerprint, "route", u.route,
				"account", u.account, "part", u.part, "ends", len(u.activeCrashes()),
				"upstreams", slices.Sorted(slices.Values(u.activeCrashes())), "for", u.quarantinedUntil().Sub(s.now()))
		case !quarantined[u] && wasQuarantined:
			u.quarantinedAt = time.Time{}
			s.rec.Note(events.RequestCleared, "", "fingerprint", u.fingerprint, "route", u.route,
				"account", u.account, "part", u.part, "why", "other requests account for its crashes, or it was served",
				"ends", len(u.activeCrashes()), "held", true)
		}
	}
	s.notifyWaiters()
}

// hasLivePeers reports whether a peer sent a message recently. The caller must hold the lock.
func (s *Set) hasLivePeers() bool {
	for _, at := range s.lastReportAt {
		if s.now().Sub(at) < peerTTL {
			return true
		}
	}
	return false
}

// Sweep confirms or drops possible crashes and forgets expired suspects. replaced reports whether a
// later incarnation has taken the place of an incarnation.
func (s *Set) Sweep(replaced func(incarnation string) bool) {
	s.mu.Lock()
	now := s.now()
	maps.DeleteFunc(s.lastReportAt, func(_ string, at time.Time) bool { return now.Sub(at) >= peerTTL })
	maps.DeleteFunc(s.served, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= servedTTL })
	maps.DeleteFunc(s.servedParts, func(_ Fingerprint, at time.Time) bool { return now.Sub(at) >= partServedTTL })
	replacedIncarnations := map[string]bool{}
	for f, u := range s.suspects {
		for actualIncarnation, lost := range u.lostResponses {
			switch {
			case replaced(lost.routedTo):
				replacedIncarnations[lost.routedTo] = true
			case now.Sub(lost.at) > confirmTimeout:
				delete(u.lostResponses, actualIncarnation)
			}
		}
		if u.expired(now) {
			delete(s.suspects, f)
		}
	}
	s.updateQuarantines()
	s.mu.Unlock()
	for incarnation := range replacedIncarnations {
		s.ConfirmCrash(incarnation)
	}
}
