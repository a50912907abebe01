package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// minPartRemainder is how many crashes of a part no single request may account for: one poison request
	// that is repeated crashes upstreams under all of its parts.
	minPartRemainder = 2
	// minPartUnexplained is how many crashes of a part no quarantined part may explain.
	minPartUnexplained = 2
	// maxOtherMoments is the number of other moments at which upstreams crashed, for each crash of a part,
	// above which upstreams are taken to crash for other causes. A harmless part that is rare may then run at
	// some of these crashes without being served in between.
	maxOtherMoments = 2
	// certainPartCrashes is the number of crashes of a part from which on it is quarantined whatever else
	// crashes upstreams. A harmless part is served before it runs at so many.
	certainPartCrashes = 8
	// crashMoment is the time within which crashes count as one moment. Many upstreams may crash at once, as
	// in a power failure, and any request runs at only one of these.
	crashMoment = 250 * time.Millisecond
)

// attributeParts returns the parts of prompts to quarantine, and adds the crashes that they explain. A part is
// quarantined if it has three crashes under different requests and no request with it was served since. The
// part with the most unexplained crashes goes first, together with those that cannot be told apart from it.
func attributeParts(suspects map[Fingerprint]*suspect, e explained) map[*suspect]bool {
	quarantined := map[*suspect]bool{}
	open := openCrashes{}
	for _, u := range suspects {
		if u.isPart() && u.enoughCrashesOfParts() && differentRequests(u, suspects) {
			open[u] = u.activeCrashes()
		}
	}
	if len(open) == 0 {
		return quarantined
	}
	times := crashTimes(suspects)
	for {
		next := open.nextParts(times, e)
		if len(next) == 0 {
			releaseRedundantParts(quarantined)
			for u := range quarantined {
				u.doubtful = times.doubtful(u, e)
			}
			return quarantined
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

// nextParts returns the part to quarantine next and those that cannot be told apart from it.
func (o openCrashes) nextParts(times knownCrashes, e explained) (next []*suspect) {
	var strongest *suspect
	for u, crashes := range o {
		if len(crashes) >= minPartUnexplained && times.standsOut(u, e) && (strongest == nil || o.partStrongerThan(u, strongest)) {
			strongest = u
		}
	}
	for u := range o {
		if strongest != nil && sameCrashes(u, strongest) {
			next = append(next, u)
		}
	}
	return next
}

// knownCrashes maps the incarnations that crashed to the time of the crash.
type knownCrashes map[string]time.Time

// crashTimes returns the crashes of all suspects, also those that no longer count against them.
func crashTimes(suspects map[Fingerprint]*suspect) knownCrashes {
	out := knownCrashes{}
	for _, u := range suspects {
		for incarnation, c := range u.crashes {
			if at, known := out[incarnation]; !known || c.at.Before(at) {
				out[incarnation] = c.at
			}
		}
	}
	return out
}

// standsOut reports whether a part has many crashes compared with those of other causes before its latest one.
// Later crashes are no reason to release a part that is kept away from upstreams.
func (k knownCrashes) standsOut(u *suspect, e explained) bool {
	return !k.outnumbered(u, e, u.latestCrash())
}

// doubtful reports whether so many upstreams crashed for other causes, also since the latest crash of a part,
// that a harmless part might have as many crashes. Each trial of a bad part costs an upstream, so none is made
// of those with many crashes.
func (k knownCrashes) doubtful(u *suspect, e explained) bool {
	return len(u.activeCrashes()) < ambiguousThreshold && k.outnumbered(u, e, u.latestCrash().Add(spontaneousWindow))
}

// outnumbered reports whether a part has few crashes compared with the other moments, around its latest one and
// until the given time, at which upstreams crashed under neither the part nor one that is quarantined.
func (k knownCrashes) outnumbered(u *suspect, e explained, until time.Time) bool {
	n := len(u.activeCrashes())
	if n >= certainPartCrashes {
		return false
	}
	from, moments := u.latestCrash().Add(-spontaneousWindow), map[int64]bool{}
	for incarnation, at := range k {
		if !e[incarnation] && !u.countsCrash(incarnation) && at.After(from) && !at.After(until) {
			moments[at.UnixNano()/int64(crashMoment)] = true
		}
	}
	return len(moments) > maxOtherMoments*n
}

// enoughCrashesOfParts reports whether a part has enough crashes for a quarantine: three of which there was
// time to learn whether other requests with it were served, or more than that.
func (u *suspect) enoughCrashesOfParts() bool {
	active, complete := u.activeCrashes(), 0
	for _, incarnation := range active {
		if u.crashes[incarnation].complete {
			complete++
		}
	}
	return complete >= quarantineThreshold || len(active) >= ambiguousThreshold
}

// differentRequests reports whether no single request accounts for the crashes of a part.
func differentRequests(part *suspect, suspects map[Fingerprint]*suspect) bool {
	active := part.activeCrashes()
	for _, q := range suspects {
		if q.isPart() {
			continue
		}
		remainder := 0
		for _, incarnation := range active {
			if !q.countsCrash(incarnation) {
				remainder++
			}
		}
		if remainder < minPartRemainder {
			return false
		}
	}
	return true
}

// partStrongerThan reports whether there is more evidence against part a than against b.
func (o openCrashes) partStrongerThan(a, b *suspect) bool {
	return cmp.Or(
		cmp.Compare(len(o[a]), len(o[b])),
		cmp.Compare(len(a.activeCrashes()), len(b.activeCrashes())),
		bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
	) > 0
}

// releaseRedundantParts releases the parts all of whose crashes other quarantined parts explain that crashed
// upstreams without them. A harmless part that comes with several bad ones has more crashes than each.
func releaseRedundantParts(quarantined map[*suspect]bool) {
	for _, u := range slices.SortedFunc(maps.Keys(quarantined), func(a, b *suspect) int { return bytes.Compare(a.fingerprint[:], b.fingerprint[:]) }) {
		if u.isRedundantPart(quarantined) {
			delete(quarantined, u)
		}
	}
}

func (u *suspect) isRedundantPart(quarantined map[*suspect]bool) bool {
	for _, incarnation := range u.activeCrashes() {
		covered := false
		for other := range quarantined {
			covered = covered || other != u && other.countsCrash(incarnation) && other.hasCrashWithout(u)
		}
		if !covered {
			return false
		}
	}
	return true
}

// hasCrashWithout reports whether a part has a crash at which another one did not run.
func (u *suspect) hasCrashWithout(other *suspect) bool {
	return slices.ContainsFunc(u.activeCrashes(), func(incarnation string) bool { return !other.countsCrash(incarnation) })
}
