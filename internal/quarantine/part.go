package quarantine

import (
	"slices"
	"strings"
	"time"
)

// A part of a prompt may crash the upstreams that run a request with it, whatever else the request holds.
// Such requests have different fingerprints, so each part of a prompt is a suspect of its own, beside the
// request. It never runs on trial as long as it is only suspected: harmless requests with the same part would
// wait for each other. Once it is quarantined, requests with it are refused.

const (
	// partServedTTL is how long crashes are not counted against a part after a request with it was served
	// here. It is longer than servedTTL because many different requests share a part.
	partServedTTL = 10 * time.Second
	// maxServedParts bounds the parts remembered as served.
	maxServedParts = 8192
	// partMark begins the account of a part in messages, which name no account of parts otherwise. Earlier
	// releases decode a fixed set of fields and show it as an account.
	partMark = "prompt part "
)

// PartOf returns the suspect that a part of a prompt is, by its ID. Services are kept apart: a part that
// crashes the upstreams of one service may be harmless at others.
func PartOf(service, route, id string) Request {
	return Request{Fingerprint: hashOf(nil, partMark, service, id), Route: route, Part: id[:min(len(id), maxNameBytes)]}
}

// wireAccount returns the account of a suspect in messages.
func (r Request) wireAccount() string {
	if r.Part == "" {
		return r.Account
	}
	return partMark + r.Part
}

// setWireAccount sets the account, or the part, of a suspect from a message.
func (r *Request) setWireAccount(text string) {
	if id, ok := strings.CutPrefix(text, partMark); ok {
		r.Part = id
		return
	}
	r.Account = text
}

// isPart reports whether the suspect is a part of prompts rather than a request.
func (u *suspect) isPart() bool { return u.part != "" }

// refusedPart returns the quarantined part for which a request is refused; nil if there is none. trials are
// the quarantined parts for which the request is allowed as a trial. The caller must hold the lock.
func (s *Set) refusedPart(parts []Request) (refused *suspect, trials []*suspect) {
	for _, p := range parts {
		u, ok := s.suspects[p.Fingerprint]
		if !ok || u.quarantinedAt.IsZero() {
			continue
		}
		if s.now().Before(u.quarantinedUntil()) && !u.doubtful && s.hasIndistinguishable(u, parts) {
			return u, nil
		}
		trials = append(trials, u)
	}
	return nil, trials
}

// hasIndistinguishable reports whether a prompt has all quarantined parts that cannot be told apart from one of
// them, because they ran at the same crashes. Any of these parts may be the cause, so a prompt without some of
// them is tried. The caller must hold the lock.
func (s *Set) hasIndistinguishable(u *suspect, parts []Request) bool {
	for _, other := range s.suspects {
		if other == u || !other.isPart() || other.quarantinedAt.IsZero() || !sameCrashes(u, other) {
			continue
		}
		if !slices.ContainsFunc(parts, func(p Request) bool { return p.Fingerprint == other.fingerprint }) {
			return false
		}
	}
	return true
}

// sameCrashes reports whether the same crashes count against two suspects.
func sameCrashes(a, b *suspect) bool {
	active := a.activeCrashes()
	for _, incarnation := range active {
		if !b.countsCrash(incarnation) {
			return false
		}
	}
	return len(active) == len(b.activeCrashes())
}

// partBusy reports whether a trial of a part has to wait: another request with it is being tried, here or at
// a peer, or other entries have the turn. The caller must hold the lock.
func (s *Set) partBusy(u *suspect) bool {
	return s.running[u.fingerprint] > 0 || s.runsAtPeer(u.fingerprint) || !s.hasTurn(u)
}

// servePart notes that a request with a part was served, which clears the part of suspicion. The caller must
// hold the lock.
func (s *Set) servePart(f Fingerprint) {
	if _, known := s.servedParts[f]; known || len(s.servedParts) < maxServedParts {
		s.servedParts[f] = s.now()
	}
	u, ok := s.suspects[f]
	if ok && len(u.activeCrashes())+len(u.lostResponses) > 0 {
		s.clear(u, "a request with it was served")
	}
}
