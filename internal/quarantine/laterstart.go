package quarantine

import (
	"strconv"
	"strings"
	"time"
)

const (
	// restartSeparator separates the name of an incarnation from the number of restarts since then, for
	// later incarnations whose own names are not yet known.
	restartSeparator = "+"
	// minDowntime is the shortest time for which a crashed upstream is down. A request sent sooner
	// after a crash was sent before the crash was detected and did not run at a later incarnation.
	minDowntime = 200 * time.Millisecond
)

// resolveIncarnation returns the incarnation that ran a request which was routed to the given one at
// sentAt. An entry routes by the name of an incarnation until it learns the name of the next one, or
// always if the upstream has only one name. Without this distinction, a crash of a later incarnation
// would be merged with that of the earlier incarnation and count against requests that did not run
// together. The caller must hold the lock.
func (s *Set) resolveIncarnation(incarnation string, sentAt time.Time) string {
	actual := incarnation
	for n := 1; s.crashedBefore(actual, sentAt.Add(-minDowntime)); n++ {
		actual = incarnation + restartSeparator + strconv.Itoa(n)
	}
	return actual
}

// crashedBefore reports whether an incarnation is known to have crashed before a time. The caller must
// hold the lock.
func (s *Set) crashedBefore(incarnation string, at time.Time) bool {
	for _, u := range s.suspects {
		if c, known := u.crashes[incarnation]; known && c.at.Before(at) {
			return true
		}
	}
	return false
}

// RecentlyCrashed returns the upstreams that crashed within the usual downtime while they ran requests,
// each with the route of one of these requests.
func (s *Set) RecentlyCrashed() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.now().Add(-usualDowntime)
	out := map[string]string{}
	for _, u := range s.suspects {
		for incarnation, c := range u.crashes {
			if c.at.After(since) {
				name, _, _ := strings.Cut(incarnation, restartSeparator)
				out[name] = u.route
			}
		}
	}
	return out
}
