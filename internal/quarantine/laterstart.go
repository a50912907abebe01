package quarantine

import (
	"strconv"
	"strings"
	"time"
)

const (
	// restartSeparator separates the name of a start from the number of restarts since then, for
	// later starts whose own names are not yet known.
	restartSeparator = "+"
	// minDowntime is the shortest time for which a crashed upstream is down. A request sent sooner
	// after a crash was sent before the crash was detected and did not run at a later start.
	minDowntime = 200 * time.Millisecond
)

// resolveStart returns the start that ran a request which was routed to start at sentAt. An entry
// routes by the name of a start until it learns the name of the next one, or always if the upstream
// has only one name. Without this distinction, a crash of a later start would be merged with that
// of the earlier start and count against requests that did not run together. The caller must hold
// the lock.
func (s *Set) resolveStart(start string, sentAt time.Time) string {
	actual := start
	for n := 1; s.crashedBefore(actual, sentAt.Add(-minDowntime)); n++ {
		actual = start + restartSeparator + strconv.Itoa(n)
	}
	return actual
}

// crashedBefore reports whether a start is known to have crashed before a time. The caller must
// hold the lock.
func (s *Set) crashedBefore(start string, at time.Time) bool {
	for _, u := range s.suspects {
		if c, known := u.crashes[start]; known && c.at.Before(at) {
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
		for start, c := range u.crashes {
			if c.at.After(since) {
				name, _, _ := strings.Cut(start, restartSeparator)
				out[name] = u.route
			}
		}
	}
	return out
}
