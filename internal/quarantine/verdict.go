package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// explained reports whether a request that is held ran at a start's end: its end tells
// nothing about the others that ran there.
type explained map[string]bool

func (e explained) add(u *suspect) {
	for _, start := range u.live() {
		e[start] = true
	}
}

// unexplained returns the ends under a request that no held one explains.
func (e explained) unexplained(u *suspect) []string {
	var out []string
	for _, start := range u.live() {
		if !e[start] {
			out = append(out, start)
		}
	}
	return out
}

// judge holds the requests that are to blame, and returns those that it holds newly, and
// which ends are explained.
//
// All that an upstream runs ends with it, so a count alone condemns sound requests that
// are at many upstreams: the request with the most ends is judged first, and what it
// explains counts for no other. Two requests that ran at the same ends are tried on, apart
// from each other, until one more end tells them apart.
func judge(suspects map[Fingerprint]*suspect, now time.Time) (newly []*suspect, e explained) {
	e = explained{}
	var open []*suspect
	for _, u := range suspects {
		switch {
		case !u.held.IsZero():
			e.add(u)
		case len(u.live()) >= verdictEnds:
			open = append(open, u)
		}
	}
	slices.SortFunc(open, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(len(b.live()), len(a.live())), slices.Compare(a.fingerprint[:], b.fingerprint[:]))
	})
	for _, u := range open {
		rest := e.unexplained(u)
		if len(rest) < verdictEnds || len(rest) == verdictEnds && rivalled(suspects, u, rest) {
			continue
		}
		u.held = now
		e.add(u)
		newly = append(newly, u)
	}
	return newly, e
}

// rivalled reports whether another request that is not held ran at all of some ends.
func rivalled(suspects map[Fingerprint]*suspect, u *suspect, ends []string) bool {
	for _, other := range suspects {
		if other != u && other.held.IsZero() && ranAtAll(other, ends) {
			return true
		}
	}
	return false
}

func ranAtAll(u *suspect, ends []string) bool {
	return !slices.ContainsFunc(ends, func(start string) bool {
		e, ran := u.ends[start]
		return !ran || e.void()
	})
}
