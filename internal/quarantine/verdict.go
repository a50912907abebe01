package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// explained holds the incarnations at which a quarantined request ran when they crashed. These crashes
// are no evidence against the other requests that ran there.
type explained map[string]bool

func (e explained) add(quarantined []*suspect) {
	for _, u := range quarantined {
		for _, incarnation := range u.activeCrashes() {
			e[incarnation] = true
		}
	}
}

// unexplained returns the crashes of a request that no quarantined request explains.
func (e explained) unexplained(u *suspect) []string {
	return slices.DeleteFunc(u.activeCrashes(), func(incarnation string) bool { return e[incarnation] })
}

// ambiguousThreshold is the number of crashes after which a request is quarantined although other
// suspects ran at too many of them to tell which request is the cause. Without it, callers of a
// poison request could go on crashing upstreams.
const ambiguousThreshold = quarantineThreshold + 2

// The number of distinctive crashes that are needed for a quarantine (see distinctive).
const (
	minDistinctive = 1
	// minDistinctiveAmidOthers applies while upstreams also crash for other causes, because a
	// harmless request on trial may run at one of these crashes by chance.
	minDistinctiveAmidOthers = 2
	// maxSpontaneous is the number of spontaneous crashes, within spontaneousWindow of the latest
	// crash of a request, above which upstreams are taken to crash without a poison request. Up to
	// this number they may be the first crashes of other poison requests.
	maxSpontaneous    = 4
	spontaneousWindow = 10 * time.Second
)

// localReportTime is how long an entry takes to learn which of its own requests ran at a crash.
const localReportTime = 300 * time.Millisecond

// attribute returns the requests to quarantine for the known crashes, and the crashes that they
// explain.
//
// A crash hits all requests that the upstream runs, so neither the number of crashes nor the
// maximum identifies the cause: a harmless request that many callers send may run beside several
// poison requests and have more crashes than any of them. A request is quarantined if it has three
// crashes and a distinctive one among them. The request with the strongest evidence goes first, and
// the crashes that it explains no longer count against the others.
//
// In 20 simulations of each case with 4 entries and 9 upstreams, none of 10,800 harmless requests
// beside four poison requests was refused as quarantined, and none of 10,700 while upstreams
// crashed every 0.15 s without a poison request. When the request with the most crashes was
// quarantined instead, 0 to 107 and 461 were refused, respectively. The price is 3.5 crashes for
// each poison request instead of 2.7, where a crash shared by two of them counted for both.
func attribute(suspects map[Fingerprint]*suspect) (quarantined map[*suspect]bool, e explained) {
	e = explained{}
	parts := attributeParts(suspects, e)
	defer func() { maps.Copy(quarantined, parts) }()
	quarantined = map[*suspect]bool{}
	open := make(openCrashes, len(suspects))
	for _, u := range suspects {
		if !u.isPart() {
			open[u] = e.unexplained(u)
		}
	}
	for {
		next := open.nextToQuarantine()
		if len(next) == 0 {
			releaseRedundant(quarantined)
			return quarantined, e
		}
		e.add(next)
		for _, u := range next {
			quarantined[u] = true
			delete(open, u)
		}
		for u := range open {
			open[u] = e.unexplained(u)
		}
	}
}

// releaseRedundant releases the requests whose crashes other quarantined requests explain without
// them, those with the least evidence first. When a harmless request ran beside several poison
// requests, it may have been quarantined before these crashed upstreams on their own. It then runs
// on trial until it is served.
func releaseRedundant(quarantined map[*suspect]bool) {
	list := slices.SortedFunc(maps.Keys(quarantined), func(a, b *suspect) int {
		return cmp.Or(
			cmp.Compare(a.ownTrials(quarantined), b.ownTrials(quarantined)),
			cmp.Compare(len(a.activeCrashes()), len(b.activeCrashes())),
			bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
		)
	})
	for _, u := range list {
		if u.isRedundant(quarantined) {
			delete(quarantined, u)
		}
	}
}

// isRedundant reports whether each crash of a request also counts against a quarantined one that
// crashed upstreams without it.
func (u *suspect) isRedundant(quarantined map[*suspect]bool) bool {
	return !slices.ContainsFunc(u.activeCrashes(), func(incarnation string) bool {
		for other := range quarantined {
			if other != u && other.countsCrash(incarnation) && other.ownTrials(map[*suspect]bool{u: true}) > 0 {
				return false
			}
		}
		return true
	})
}

// ownTrials returns the number of trial crashes of a request at which none of the others ran.
func (u *suspect) ownTrials(others map[*suspect]bool) (n int) {
	for _, incarnation := range u.trialCrashes(u.activeCrashes()) {
		own := true
		for other := range others {
			own = own && (other == u || !other.countsCrash(incarnation))
		}
		if own {
			n++
		}
	}
	return n
}

// openCrashes maps the requests that are not quarantined to their unexplained crashes.
type openCrashes map[*suspect][]string

// nextToQuarantine returns the requests to quarantine next: the one with the strongest evidence, or
// all those that can no longer be distinguished.
func (o openCrashes) nextToQuarantine() []*suspect {
	var strongest *suspect
	var ambiguous []*suspect
	spontaneous := o.spontaneous()
	for u, crashes := range o {
		active := u.activeCrashes()
		if len(active) < quarantineThreshold || len(crashes) == 0 {
			continue
		}
		needed := o.distinctiveNeeded(u, spontaneous)
		distinctive := o.distinctive(u, needed == minDistinctive)
		switch {
		case len(active) >= ambiguousThreshold && len(u.trialCrashes(active)) >= quarantineThreshold:
			ambiguous = append(ambiguous, u)
		case len(distinctive) < needed:
		case o.leadsAtAny(u, distinctive):
			if strongest == nil || o.strongerThan(u, strongest) {
				strongest = u
			}
		case len(crashes) > quarantineThreshold:
			ambiguous = append(ambiguous, u)
		}
	}
	if strongest != nil {
		return []*suspect{strongest}
	}
	return o.withoutCovered(ambiguous)
}

// withoutCovered removes the requests that are covered by another one in the list.
func (o openCrashes) withoutCovered(list []*suspect) []*suspect {
	return slices.DeleteFunc(slices.Clone(list), func(u *suspect) bool {
		return slices.ContainsFunc(list, func(other *suspect) bool { return o.covers(other, u) })
	})
}

// covers reports whether a request ran at all crashes of another one and at further crashes, so
// that it explains the crashes of the other.
func (o openCrashes) covers(u, other *suspect) bool {
	return len(o[u]) > len(o[other]) &&
		!slices.ContainsFunc(o[other], func(incarnation string) bool { return !slices.Contains(o[u], incarnation) })
}

// spontaneous returns the crashes, with their times, at which only requests ran that ran at no
// other crash.
func (o openCrashes) spontaneous() map[string]time.Time {
	out, shared := map[string]time.Time{}, map[string]bool{}
	for u, crashes := range o {
		for _, incarnation := range crashes {
			out[incarnation] = u.crashes[incarnation].at
			shared[incarnation] = shared[incarnation] || len(crashes) > 1
		}
	}
	maps.DeleteFunc(out, func(incarnation string, _ time.Time) bool { return shared[incarnation] })
	return out
}

// distinctiveNeeded returns the number of distinctive crashes that are needed to quarantine a
// request. More are needed while many crashes seem spontaneous, or while another request has more
// than one crash and is not covered by this one.
func (o openCrashes) distinctiveNeeded(u *suspect, spontaneous map[string]time.Time) int {
	latest, n := u.latestCrash(), 0
	for _, at := range spontaneous {
		if latest.Sub(at).Abs() < spontaneousWindow {
			n++
		}
	}
	if n > maxSpontaneous {
		return minDistinctiveAmidOthers
	}
	for other, crashes := range o {
		if other != u && len(crashes) > 1 && !o.covers(u, other) &&
			latest.Sub(other.latestCrash()).Abs() < spontaneousWindow {
			return minDistinctiveAmidOthers
		}
	}
	return minDistinctive
}

// distinctive returns the crashes that point to a request rather than to any other one. These are
// crashes during a trial of the request at which no other request with similar evidence ran, and
// crashes of ordinary runs at which no other unexplained request ran. Both count only once there
// was time to learn of the others. Crashes at which the kind of run is unknown always count. With
// ignoreCovered, which applies while no other request seems to crash upstreams, requests that this
// one covers are not considered.
func (o openCrashes) distinctive(u *suspect, ignoreCovered bool) []string {
	return slices.DeleteFunc(slices.Clone(o[u]), func(incarnation string) bool {
		c := u.crashes[incarnation]
		switch c.kind {
		case ordinaryRun:
			return !c.complete || o.anyOther(u, incarnation, func(*suspect) bool { return true })
		case trialRun:
			return !c.complete || o.anyOther(u, incarnation, func(other *suspect) bool {
				suspicious := other.crashes[incarnation].kind == trialRun || len(o[other]) > 1
				return suspicious && (!ignoreCovered || !o.covers(u, other))
			})
		default:
			return false
		}
	})
}

// leadsAtAny reports whether there is one among the given crashes at which no other request ran
// that has at least as many crashes as this one.
func (o openCrashes) leadsAtAny(u *suspect, crashes []string) bool {
	return slices.ContainsFunc(crashes, func(incarnation string) bool {
		return !o.anyOther(u, incarnation, func(other *suspect) bool { return len(o[other]) >= len(o[u]) })
	})
}

// anyOther reports whether another request that ran at a crash matches.
func (o openCrashes) anyOther(u *suspect, incarnation string, match func(other *suspect) bool) bool {
	for other, crashes := range o {
		if other != u && slices.Contains(crashes, incarnation) && match(other) {
			return true
		}
	}
	return false
}

// strongerThan reports whether there is more evidence against a than against b.
func (o openCrashes) strongerThan(a, b *suspect) bool {
	return cmp.Or(
		cmp.Compare(len(a.trialCrashes(o[a])), len(b.trialCrashes(o[b]))),
		cmp.Compare(len(o[a]), len(o[b])),
		bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
	) > 0
}
