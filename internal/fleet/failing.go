package fleet

import (
	"slices"
	"time"
)

const (
	// failingSpan is how long a failed request counts against its upstream. It is
	// also the time after which one that gets nothing any more is tried again.
	failingSpan = 5 * time.Second
	// failingLeast is the least number of failures, over all entries, that tells
	// something: calls fail now and then at sound upstreams.
	failingLeast = 4
	// failingOver is how many times as many failures as the others have on average
	// mark an upstream as failing; a fault that all share is no one's own.
	failingOver = 3
	// mostFailures bounds the failures of one upstream that an entry remembers.
	mostFailures = 64
	// peerFailuresFor is how long another entry's count is gone by without a newer one.
	peerFailuresFor = 2 * time.Second
)

// peerFailures is what another entry last said about an upstream.
type peerFailures struct {
	count int
	at    time.Time
}

// noteFailure remembers that an upstream failed a request. It needs the lock.
func (m *member) noteFailure(now time.Time) {
	m.failedAt = append(m.failedAt, now)
	if len(m.failedAt) > mostFailures {
		m.failedAt = slices.Delete(m.failedAt, 0, 1)
	}
}

// ownFailures is the number of requests that an upstream lately failed this entry.
// It needs the lock.
func (m *member) ownFailures(now time.Time) int {
	for len(m.failedAt) > 0 && now.Sub(m.failedAt[0]) > failingSpan {
		m.failedAt = m.failedAt[1:]
	}
	return len(m.failedAt)
}

// allFailures adds what the other entries say. It needs the lock.
func (m *member) allFailures(now time.Time) int {
	n := m.ownFailures(now)
	for entry, p := range m.peerFailed {
		if now.Sub(p.at) > peerFailuresFor {
			delete(m.peerFailed, entry)
			continue
		}
		n += p.count
	}
	return n
}

// Failures returns how many requests upstreams lately failed this entry.
func (s *Set) Failures() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, out := s.now(), map[string]int{}
	for id, m := range s.byID {
		if n := m.ownFailures(now); n > 0 {
			out[id] = n
		}
	}
	return out
}

// PeerFailures takes over how many requests upstreams lately failed another entry.
func (s *Set) PeerFailures(entry string, failures map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, n := range failures {
		m, ok := s.byID[id]
		if !ok {
			continue
		}
		if m.peerFailed == nil {
			m.peerFailed = map[string]peerFailures{}
		}
		m.peerFailed[entry] = peerFailures{count: n, at: now}
	}
}

// Failing returns the upstreams of a service that lately failed many more requests
// than the others, over all entries that are heard.
func (s *Set) Failing(service string) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, sum, counts := s.now(), 0, map[string]int{}
	for _, id := range s.servingIDs(service) {
		n := s.byID[id].allFailures(now)
		counts[id] = n
		sum += n
	}
	var out map[string]bool
	for id, n := range counts {
		others := float64(sum-n) / float64(max(len(counts)-1, 1))
		if n < failingLeast || float64(n) <= failingOver*others {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[id] = true
	}
	return out
}
