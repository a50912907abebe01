package quarantine

import (
	"slices"
	"time"
)

// suspect is a request that was running when upstreams crashed or may have crashed.
type suspect struct {
	fingerprint Fingerprint
	route       string
	account     string
	// part is the ID of the part of prompts; empty if the suspect is a request.
	part string
	// doubtful is set for a quarantined part that may be harmless, so that requests with it are tried one at
	// a time.
	doubtful bool
	// crashes maps the incarnations that crashed while they ran the request.
	crashes map[string]crash
	// lostResponses maps the incarnations whose response to the request was lost; it is not known yet
	// whether they crashed.
	lostResponses map[string]lostResponse
	// quarantinedAt is when the quarantine began; zero if there is none.
	quarantinedAt time.Time
	// refused counts how often this entry refused the request because of the quarantine.
	refused int
}

// crash is the crash of one incarnation of an upstream. Merging only adds crashes and voids, so entries
// may merge reports late, repeatedly and in any order.
type crash struct {
	at time.Time
	// local is set if this entry saw the crash.
	local bool
	// kind is how the request ran there. complete is set once there was enough time to learn which
	// other requests ran there.
	kind     runKind
	complete bool
	// voidedAt is when this entry learned that the request was served, or its quarantine lifted,
	// after this crash. A voided crash no longer counts against the request. Zero if the crash
	// counts.
	voidedAt time.Time
}

func (c crash) voided() bool { return !c.voidedAt.IsZero() }

// lostResponse is a response whose connection was lost before it was complete.
type lostResponse struct {
	at time.Time
	// routedTo is the name of the incarnation to which the request was routed, and kind how it ran there.
	routedTo string
	kind     runKind
	// alive is set if the upstream's address accepted a connection afterwards.
	alive bool
}

func newSuspect(f Fingerprint) *suspect {
	return &suspect{fingerprint: f, crashes: map[string]crash{}, lostResponses: map[string]lostResponse{}}
}

// addCrash records the crash of an incarnation that ran the request; it returns false if it was known.
func (u *suspect) addCrash(incarnation string, at time.Time, local bool) bool {
	if _, known := u.crashes[incarnation]; known {
		return false
	}
	if len(u.crashes) >= maxCrashes {
		u.dropOldest()
	}
	u.crashes[incarnation] = crash{at: at, local: local}
	return true
}

// dropOldest forgets the oldest voided crash or, if there is none, the oldest crash.
func (u *suspect) dropOldest() {
	oldest := ""
	for incarnation, c := range u.crashes {
		o, ok := u.crashes[oldest]
		if !ok || c.voided() && !o.voided() || c.voided() == o.voided() && c.at.Before(o.at) {
			oldest = incarnation
		}
	}
	delete(u.crashes, oldest)
}

// clear voids all crashes of the request and returns their number.
func (u *suspect) clear(now time.Time) int {
	active := u.activeCrashes()
	for _, incarnation := range active {
		u.voidCrash(incarnation, now)
	}
	clear(u.lostResponses)
	return len(active)
}

// voidCrash voids one crash; it returns false if it was already void.
func (u *suspect) voidCrash(incarnation string, now time.Time) bool {
	if u.crashes[incarnation].voided() {
		return false
	}
	u.addCrash(incarnation, now, false)
	c := u.crashes[incarnation]
	c.voidedAt = now
	u.crashes[incarnation] = c
	return true
}

// seenLocally reports whether this entry saw a crash that counts against the request.
func (u *suspect) seenLocally() bool {
	for _, c := range u.crashes {
		if c.local && !c.voided() {
			return true
		}
	}
	return false
}

// setRunKind records how the request ran at a crashed incarnation, and reports whether that changed
// anything.
func (u *suspect) setRunKind(incarnation string, kind runKind) bool {
	c, known := u.crashes[incarnation]
	if !known || kind <= c.kind {
		return false
	}
	c.kind = kind
	u.crashes[incarnation] = c
	return true
}

// runKind is how a request ran at an incarnation that crashed. If reports differ, the greater value wins,
// so that they can be merged in any order.
type runKind int

const (
	// unknownRun is a run whose kind the reporting entry did not send.
	unknownRun runKind = iota
	// trialRun is the run of a suspect, which runs once at a time and apart from other suspects.
	trialRun
	// ordinaryRun began before the request was a suspect. Several such runs may be hit by the same
	// crash as bystanders of a poison request.
	ordinaryRun
)

// activeCrashes returns the incarnations whose crashes count against the request.
func (u *suspect) activeCrashes() []string {
	var out []string
	for incarnation, c := range u.crashes {
		if !c.voided() {
			out = append(out, incarnation)
		}
	}
	return out
}

// trialCrashes returns those of the given crashes at which the request may have run as a suspect.
func (u *suspect) trialCrashes(crashes []string) []string {
	return slices.DeleteFunc(slices.Clone(crashes), func(incarnation string) bool {
		return u.crashes[incarnation].kind == ordinaryRun
	})
}

// markComplete marks the crashes for which there was enough time to learn which other requests ran
// there. hasPeers tells whether peers may still report some.
func (u *suspect) markComplete(now time.Time, hasPeers bool) {
	for incarnation, c := range u.crashes {
		within := localReportTime
		switch {
		case hasPeers:
			within = peerReportTime
		case c.kind == trialRun:
			// A suspect runs once at a time, and without peers all other runs are at this entry.
			within = 0
		}
		if !c.complete && now.Sub(c.at) >= within {
			c.complete = true
			u.crashes[incarnation] = c
		}
	}
}

// countsCrash reports whether the crash of an incarnation counts against the request.
func (u *suspect) countsCrash(incarnation string) bool {
	c, known := u.crashes[incarnation]
	return known && !c.voided()
}

// unconfirmed returns the number of lost responses that may still turn out to be crashes.
func (u *suspect) unconfirmed() int {
	n := 0
	for _, lost := range u.lostResponses {
		if !lost.alive {
			n++
		}
	}
	return n
}

// latestCrash returns the time of the latest crash that counts against the request.
func (u *suspect) latestCrash() (latest time.Time) {
	for _, c := range u.crashes {
		if !c.voided() && c.at.After(latest) {
			latest = c.at
		}
	}
	return latest
}

// quarantinedUntil returns when the request may be tried again. The period doubles with each
// further crash.
func (u *suspect) quarantinedUntil() time.Time {
	period := minQuarantine
	for range len(u.activeCrashes()) - quarantineThreshold {
		period = min(2*period, maxQuarantine)
	}
	return u.latestCrash().Add(period)
}

// expired reports whether the request can be forgotten.
func (u *suspect) expired(now time.Time) bool {
	if len(u.lostResponses) > 0 {
		return false
	}
	switch n := len(u.activeCrashes()); {
	case n >= quarantineThreshold:
		return now.After(u.quarantinedUntil().Add(suspectTTL))
	case n > 0:
		return now.After(u.latestCrash().Add(suspectTTL))
	}
	for _, c := range u.crashes {
		if now.Before(c.voidedAt.Add(voidTTL)) {
			return false
		}
	}
	return true
}
