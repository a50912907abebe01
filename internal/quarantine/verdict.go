package quarantine

import (
	"bytes"
	"cmp"
	"maps"
	"slices"
	"time"
)

// explained are the starts at whose end a request ran that is held: their ends tell nothing
// about the others that ran there.
type explained map[string]bool

func (e explained) add(held []*suspect) {
	for _, u := range held {
		for _, start := range u.live() {
			e[start] = true
		}
	}
}

// unexplained returns the ends under a request that no held one explains.
func (e explained) unexplained(u *suspect) []string {
	return slices.DeleteFunc(u.live(), func(start string) bool { return e[start] })
}

// mostUnclear is the number of ends after which a request is held although other suspects ran at
// too many of them to tell it apart: callers of one that ends upstreams would go on.
const mostUnclear = verdictEnds + 2

// The number of ends, of those that a request is held for, that are to tell it apart from others.
const (
	tellingEnds = 1
	// tellingBesideOthers is that while upstreams end for other causes as well: a sound request that
	// is tried meets one of these now and then.
	tellingBesideOthers = 2
	// mostStray is the number of ends, in strayWithin about the latest one of a request, at which
	// only requests ran that ran at no other one, above which upstreams end by themselves.
	// Fewer are the first ends of others that end upstreams.
	mostStray   = 4
	strayWithin = 10 * time.Second
)

// aloneAfter is the time in which an entry itself learns which requests ran at an end.
const aloneAfter = 300 * time.Millisecond

// judge returns the requests that are to blame for what is known by now, and which ends they
// explain.
//
// All that an upstream runs ends with it, so neither the count of ends nor who has the most
// condemns: one that many callers send alike runs beside one that ends upstreams here and beside
// another there, and has more ends than either. A request is held that ended three upstreams and
// that one of them tells apart from others; the surest one goes first, and what it explains counts
// for no other. Of 10,800 sound requests beside four requests that end upstreams none were refused
// as held, 0 to 107 when who had the most was held; of 10,700 while upstreams end each 0.15 s by
// themselves none, 461 so. Each such request ended 3.5 upstreams, 2.7 so: an end that two of them
// shared counted for both (20 plays of each row of the rig of the tests, 4 entries, 9 upstreams).
func judge(suspects map[Fingerprint]*suspect) (held map[*suspect]bool, e explained) {
	e, held = explained{}, map[*suspect]bool{}
	open := make(openEnds, len(suspects))
	for _, u := range suspects {
		open[u] = u.live()
	}
	for {
		blamed := open.toBlame()
		if len(blamed) == 0 {
			return held, e
		}
		e.add(blamed)
		for _, u := range blamed {
			held[u] = true
			delete(open, u)
		}
		for u := range open {
			open[u] = e.unexplained(u)
		}
	}
}

// openEnds are requests that are not held, with the ends that no held one explains.
type openEnds map[*suspect][]string

// toBlame returns those that are to be held next: the one that is most surely to blame, or those
// that cannot be told apart any more.
func (o openEnds) toBlame() []*suspect {
	var surest *suspect
	var last []*suspect
	stray := o.stray()
	for u, ends := range o {
		live := u.live()
		if len(live) < verdictEnds || len(ends) == 0 {
			continue
		}
		needed := o.tellingNeeded(u, stray)
		telling := o.telling(u, needed == tellingEnds)
		switch {
		case len(live) >= mostUnclear && len(u.tried(live)) >= verdictEnds:
			last = append(last, u)
		case len(telling) < needed:
		case o.stoodOut(u, telling):
			if surest == nil || o.surer(u, surest) {
				surest = u
			}
		case len(ends) > verdictEnds:
			last = append(last, u)
		}
	}
	if surest != nil {
		return []*suspect{surest}
	}
	return o.widest(last)
}

// widest leaves out those of some requests that another one of them covers.
func (o openEnds) widest(list []*suspect) []*suspect {
	return slices.DeleteFunc(slices.Clone(list), func(u *suspect) bool {
		return slices.ContainsFunc(list, func(other *suspect) bool { return o.covers(other, u) })
	})
}

// covers reports whether a request ran at all ends of another one, and at more: it explains them.
func (o openEnds) covers(u, other *suspect) bool {
	return len(o[u]) > len(o[other]) && !slices.ContainsFunc(o[other], func(start string) bool { return !slices.Contains(o[u], start) })
}

// stray returns the ends at which only requests ran that ran at no other one, and when they came.
func (o openEnds) stray() map[string]time.Time {
	out, shared := map[string]time.Time{}, map[string]bool{}
	for u, ends := range o {
		for _, start := range ends {
			out[start] = u.ends[start].at
			shared[start] = shared[start] || len(ends) > 1
		}
	}
	maps.DeleteFunc(out, func(start string, _ time.Time) bool { return shared[start] })
	return out
}

// tellingNeeded is the number of ends that are to tell a request apart from others: more while
// upstreams end that no request has in common, or another request has more than one that it does
// not cover.
func (o openEnds) tellingNeeded(u *suspect, stray map[string]time.Time) int {
	latest, n := u.latestEnd(), 0
	for _, at := range stray {
		if latest.Sub(at).Abs() < strayWithin {
			n++
		}
	}
	if n > mostStray {
		return tellingBesideOthers
	}
	for other, ends := range o {
		if other != u && len(ends) > 1 && !o.covers(u, other) && latest.Sub(other.latestEnd()).Abs() < strayWithin {
			return tellingBesideOthers
		}
	}
	return tellingEnds
}

// telling returns the ends that tell a request apart from all others: it ran there as a suspect,
// and none did of which more is known; or it is the only one left that ran there. The others had
// time to be heard of. Ends of which nobody told how it ran count, too. With alone, no other one ends
// upstreams as far as is known, and those that the request covers do not count.
func (o openEnds) telling(u *suspect, alone bool) []string {
	return slices.DeleteFunc(slices.Clone(o[u]), func(start string) bool {
		e := u.ends[start]
		switch e.kind {
		case firstRun:
			return !e.told || o.others(u, start, func(*suspect) bool { return true })
		case triedRun:
			return !e.told || o.others(u, start, func(other *suspect) bool {
				suspicious := other.ends[start].kind == triedRun || len(o[other]) > 1
				return suspicious && (!alone || !o.covers(u, other))
			})
		default:
			return false
		}
	})
}

// stoodOut reports whether a request ran at one of some ends at which no other one ran that
// has as many ends.
func (o openEnds) stoodOut(u *suspect, ends []string) bool {
	return slices.ContainsFunc(ends, func(start string) bool {
		return !o.others(u, start, func(other *suspect) bool { return len(o[other]) >= len(o[u]) })
	})
}

// others reports whether another request that ran at an end is of some kind.
func (o openEnds) others(u *suspect, start string, kind func(other *suspect) bool) bool {
	for other, ends := range o {
		if other != u && slices.Contains(ends, start) && kind(other) {
			return true
		}
	}
	return false
}

// surer reports whether more speaks against one request than against another one.
func (o openEnds) surer(a, b *suspect) bool {
	return cmp.Or(
		cmp.Compare(len(a.tried(o[a])), len(b.tried(o[b]))),
		cmp.Compare(len(o[a]), len(o[b])),
		bytes.Compare(a.fingerprint[:], b.fingerprint[:]),
	) > 0
}
