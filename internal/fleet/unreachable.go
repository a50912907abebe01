package fleet

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

const (
	// UnreachableInterval is the time between two attempts to connect to an upstream that cannot be
	// reached. A restarted engine is found again within it.
	UnreachableInterval = time.Second
	// unreachableFor is how long an upstream is avoided after a failed attempt to connect: until the next
	// attempt has had its time, which is 400 ms, and as much again for a process that runs late.
	unreachableFor = UnreachableInterval + 800*time.Millisecond
	// checkFor is how long an upstream is avoided that another entry cannot reach, until the check of
	// this entry ends.
	checkFor = 500 * time.Millisecond
	// recheckAfter is how long reports of other entries are ignored after a check that reached the
	// upstream: an entry behind a failed link goes on reporting, and each report would make all other
	// entries connect to all upstreams behind that link.
	recheckAfter = 5 * time.Second
	// MaxUnreachable bounds the upstreams about which one message reports.
	MaxUnreachable = 24
)

// reachability is what is known about connections to an upstream.
type reachability struct {
	// failedAt is when this entry last failed to connect, or zero if a connection was opened since.
	failedAt time.Time
	// checkedAt is when a check last opened a connection.
	checkedAt time.Time
	// avoidUntil is until when the upstream is avoided for this reason.
	avoidUntil time.Time
}

// Unreachable records that this entry could not connect to an upstream. It reports whether the upstream
// was taken for reachable until now; the caller then has to try again every UnreachableInterval.
func (s *Set) Unreachable(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return false
	}
	now, first := s.now(), m.reachability.failedAt.IsZero()
	m.reachability.failedAt, m.reachability.avoidUntil = now, now.Add(unreachableFor)
	if first {
		s.rec.Note(events.UpstreamUnreachable, "", "upstream", id, "zone", m.Zone)
	}
	return first
}

// Reachable records that a check could connect to an upstream.
func (s *Set) Reachable(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	if !ok {
		return
	}
	now := s.now()
	if !m.reachability.failedAt.IsZero() {
		s.rec.Note(events.UpstreamReachable, "", "upstream", id, "last-failed", now.Sub(m.reachability.failedAt))
	}
	m.reachability = reachability{checkedAt: now}
}

// Silent records that a stream of an upstream has been silent for longer than its route allows. It reports
// whether this entry has to check the upstream, which is then avoided for at most checkFor.
func (s *Set) Silent(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byID[id]
	return ok && m.reachability.beginCheck(checkFor, s.now())
}

// beginCheck reports whether to check an upstream that was not reached by a check within pause, and is not being
// checked. It makes requests avoid the upstream for at most checkFor.
func (r *reachability) beginCheck(pause time.Duration, now time.Time) bool {
	if !r.failedAt.IsZero() || now.Before(r.avoidUntil) || now.Sub(r.checkedAt) < pause {
		return false
	}
	r.avoidUntil = now.Add(checkFor)
	return true
}

// UnreachableSince returns the upstreams to which this entry cannot connect, with the time of the latest
// failed attempt.
func (s *Set) UnreachableSince() map[string]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var out map[string]time.Time
	for id, m := range s.byID {
		if at := m.reachability.failedAt; !at.IsZero() && now.Sub(at) < unreachableFor {
			if out == nil {
				out = map[string]time.Time{}
			}
			out[id] = at
		}
	}
	return out
}

// PeerUnreachable applies what another entry reports about upstreams that it cannot reach. It returns those
// that this entry has to check: they are avoided until then, and no longer than checkFor. A report alone
// excludes no upstream for long, since the fault may be at the link of the other entry.
func (s *Set) PeerUnreachable(reports map[string]time.Time) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	var check []Upstream
	for id, at := range reports {
		m, ok := s.byID[id]
		if !ok || at.After(now) || now.Sub(at) >= unreachableFor {
			continue
		}
		if m.reachability.beginCheck(recheckAfter, now) {
			check = append(check, m.Upstream)
		}
	}
	return check
}
