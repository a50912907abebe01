package quarantine

import (
	"slices"
	"time"
)

// suspect is a request under which upstreams ended.
type suspect struct {
	fingerprint Fingerprint
	route       string
	account     string
	// ends are the starts of upstreams that ended while they ran the request.
	ends map[string]end
	// broke are the starts whose answer to the request broke off: it is not known yet
	// whether they ended.
	broke map[string]breakOff
	// held is when the quarantine began; zero without one.
	held time.Time
	// refused counts the times at which this entry refused it for that.
	refused int
}

// end is the end of a start of an upstream. Ends and their voids are only ever added, so
// that entries may join what they know in any order, twice and late.
type end struct {
	at time.Time
	// own is set if this entry saw it.
	own bool
	// kind is how the request ran there, and told is set once the others that ran there had
	// time to be heard of.
	kind runKind
	told bool
	// voidAt is when this entry learnt that the request was served, or its quarantine
	// lifted, after this end: it speaks against the request no more. Zero if it does.
	voidAt time.Time
}

func (e end) void() bool { return !e.voidAt.IsZero() }

// breakOff is an answer that broke off.
type breakOff struct {
	at time.Time
	// name is the start by the name under which it got the request, and kind how it ran there.
	name string
	kind runKind
	// alive tells that the upstream's address took a connection afterwards.
	alive bool
}

func newSuspect(f Fingerprint) *suspect {
	return &suspect{fingerprint: f, ends: map[string]end{}, broke: map[string]breakOff{}}
}

// add notes that a start ended under the request; it returns false if that was known.
func (u *suspect) add(start string, at time.Time, own bool) bool {
	if _, known := u.ends[start]; known {
		return false
	}
	if len(u.ends) >= mostEnds {
		u.dropOldest()
	}
	u.ends[start] = end{at: at, own: own}
	return true
}

// dropOldest forgets one end, of those that are void if there are any.
func (u *suspect) dropOldest() {
	oldest := ""
	for start, e := range u.ends {
		o, ok := u.ends[oldest]
		if !ok || e.void() && !o.void() || e.void() == o.void() && e.at.Before(o.at) {
			oldest = start
		}
	}
	delete(u.ends, oldest)
}

// clear voids all that speaks against the request; it returns the number of ends voided.
func (u *suspect) clear(now time.Time) int {
	live := u.live()
	for _, start := range live {
		u.voidEnd(start, now)
	}
	clear(u.broke)
	return len(live)
}

// voidEnd voids one end; it returns false if that was done.
func (u *suspect) voidEnd(start string, now time.Time) bool {
	if u.ends[start].void() {
		return false
	}
	u.add(start, now, false)
	e := u.ends[start]
	e.voidAt = now
	u.ends[start] = e
	return true
}

// seenHere reports whether this entry saw an end that speaks against the request.
func (u *suspect) seenHere() bool {
	for _, e := range u.ends {
		if e.own && !e.void() {
			return true
		}
	}
	return false
}

// ran notes how the request ran at a start that ended, and reports whether that is news.
func (u *suspect) ran(start string, kind runKind) bool {
	e, known := u.ends[start]
	if !known || kind <= e.kind {
		return false
	}
	e.kind = kind
	u.ends[start] = e
	return true
}

// runKind is how a request ran at a start that ended. Of two that are told the greater one holds,
// so that entries may join what they know in any order.
type runKind int

const (
	// unknownRun: another entry did not tell.
	unknownRun runKind = iota
	// triedRun was of a suspect, which runs once at a time, and apart from other suspects.
	triedRun
	// firstRun began before the request was a suspect: several such runs may end beside what
	// ends upstreams.
	firstRun
)

// live returns the starts whose ends speak against the request.
func (u *suspect) live() []string {
	var out []string
	for start, e := range u.ends {
		if !e.void() {
			out = append(out, start)
		}
	}
	return out
}

// tried returns those of some ends at which the request ran as a suspect.
func (u *suspect) tried(ends []string) []string {
	return slices.DeleteFunc(slices.Clone(ends), func(start string) bool { return u.ends[start].kind == firstRun })
}

// noteTold notes of which ends the others that ran there had time to be heard of; peers tells whether
// other entries may still tell of some.
func (u *suspect) noteTold(now time.Time, peers bool) {
	for start, e := range u.ends {
		within := aloneAfter
		switch {
		case peers:
			within = newsWithin
		case e.kind == triedRun:
			// It ran once at a time, and the entry itself knows of all others.
			within = 0
		}
		if !e.told && now.Sub(e.at) >= within {
			e.told = true
			u.ends[start] = e
		}
	}
}

// ranAt reports whether the end of a start speaks against the request.
func (u *suspect) ranAt(start string) bool {
	e, known := u.ends[start]
	return known && !e.void()
}

// unsettled is the number of breaks of which it is not known whether the upstream ended.
func (u *suspect) unsettled() int {
	n := 0
	for _, b := range u.broke {
		if !b.alive {
			n++
		}
	}
	return n
}

// latestEnd is when the latest end came that speaks against the request.
func (u *suspect) latestEnd() (latest time.Time) {
	for _, e := range u.ends {
		if !e.void() && e.at.After(latest) {
			latest = e.at
		}
	}
	return latest
}

// heldUntil is when the request may be tried again: the time doubles with each end.
func (u *suspect) heldUntil() time.Time {
	hold := holdLeast
	for range len(u.live()) - verdictEnds {
		hold = min(2*hold, holdMost)
	}
	return u.latestEnd().Add(hold)
}

// old reports whether the request may be forgotten.
func (u *suspect) old(now time.Time) bool {
	if len(u.broke) > 0 {
		return false
	}
	switch n := len(u.live()); {
	case n >= verdictEnds:
		return now.After(u.heldUntil().Add(rememberFor))
	case n > 0:
		return now.After(u.latestEnd().Add(rememberFor))
	}
	for _, e := range u.ends {
		if now.Before(e.voidAt.Add(voidFor)) {
			return false
		}
	}
	return true
}
