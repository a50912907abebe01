package quarantine

import (
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

// judge holds the requests that are to blame, and returns those that it holds newly, and
// which ends are explained.
//
// All that an upstream runs ends with it, so a count alone condemns sound requests that
// are at many upstreams. A request is held that ended three upstreams, at one of which none
// ran that ended as many; what it explains counts for no other. Those that ran at the same
// three ends are tried on, apart from each other, until one more end tells them apart.
func judge(suspects map[Fingerprint]*suspect, now time.Time) (newly []*suspect, e explained) {
	e = explained{}
	open := map[*suspect][]string{}
	for _, u := range suspects {
		if u.held.IsZero() {
			open[u] = nil
			continue
		}
		e.add([]*suspect{u})
	}
	for {
		for u := range open {
			open[u] = e.unexplained(u)
		}
		held := toBlame(open)
		if len(held) == 0 {
			return newly, e
		}
		for _, u := range held {
			u.held = now
			delete(open, u)
		}
		e.add(held)
		newly = append(newly, held...)
	}
}

// toBlame returns those that are to be held next, of requests with the ends that speak
// against them.
func toBlame(open map[*suspect][]string) []*suspect {
	var sure, last []*suspect
	for u, ends := range open {
		switch {
		case len(ends) < verdictEnds:
		case stoodOut(u, open):
			sure = append(sure, u)
		case len(ends) > verdictEnds:
			last = append(last, u)
		}
	}
	if len(sure) > 0 {
		return sure
	}
	return last
}

// stoodOut reports whether a request ran at an end at which no other one ran that has as
// many ends.
func stoodOut(u *suspect, open map[*suspect][]string) bool {
	return slices.ContainsFunc(open[u], func(start string) bool {
		for other, ends := range open {
			if other != u && len(ends) >= len(open[u]) && slices.Contains(ends, start) {
				return false
			}
		}
		return true
	})
}
