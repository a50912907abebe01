package quarantine

import (
	"strconv"
	"strings"
	"time"
)

const (
	// laterMark stands between the name of a start and the number of those that took its place
	// before their own name was known.
	laterMark = "+"
	// backLeast is the time that an upstream is away at least: what was sent sooner after an end
	// crossed it.
	backLeast = 200 * time.Millisecond
)

// startThatRan returns the start that ran a request which went to a start at a time. An entry
// routes by the name of a start until it knows the next one, or always, where upstreams have no
// other name; an end of the later start would count for all that had ended with the earlier
// one, and speak against those that ran at neither. It needs the lock.
func (s *Set) startThatRan(start string, sentAt time.Time) string {
	ran := start
	for n := 1; s.endedBefore(ran, sentAt.Add(-backLeast)); n++ {
		ran = start + laterMark + strconv.Itoa(n)
	}
	return ran
}

// endedBefore reports whether a start is known to have ended before a time. It needs the lock.
func (s *Set) endedBefore(start string, at time.Time) bool {
	for _, u := range s.suspects {
		if e, known := u.ends[start]; known && e.at.Before(at) {
			return true
		}
	}
	return false
}

// EndedLately returns the upstreams of which a start ended in the time for which they are usually
// away, as far as requests ran there, with the route of one of them.
func (s *Set) EndedLately() map[string]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := s.now().Add(-awayFor)
	out := map[string]string{}
	for _, u := range s.suspects {
		for start, e := range u.ends {
			if e.at.After(since) {
				name, _, _ := strings.Cut(start, laterMark)
				out[name] = u.route
			}
		}
	}
	return out
}
