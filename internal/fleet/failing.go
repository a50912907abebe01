package fleet

import (
	"slices"
	"time"
)

const (
	// failureWindow is how long a failed request counts against its upstream. It is also the time
	// after which an upstream that gets no more requests is tried again.
	failureWindow = 5 * time.Second
	// minFailures is the least number of failures, over all entries, that marks an upstream as
	// failing. Healthy upstreams fail a request now and then, too.
	minFailures = 4
	// failingFactor is by how many times an upstream's failures exceed the average of the others
	// when it counts as failing. A fault that all upstreams share is not the fault of any one of
	// them.
	failingFactor = 3
	// maxFailures bounds the failure times kept for one upstream.
	maxFailures = 64
	// peerReportTTL is how long another entry's count is used without a newer one.
	peerReportTTL = 2 * time.Second
)

// peerReport is the latest failure count of another entry for an upstream.
type peerReport struct {
	count int
	at    time.Time
}

// noteFailure records a failed request. The caller must hold the Set's lock.
func (m *member) noteFailure(now time.Time) {
	m.localFailures = append(m.localFailures, now)
	if len(m.localFailures) > maxFailures {
		m.localFailures = slices.Delete(m.localFailures, 0, 1)
	}
}

// localFailureCount returns how many of this entry's requests the upstream failed within
// failureWindow. The caller must hold the Set's lock.
func (m *member) localFailureCount(now time.Time) int {
	for len(m.localFailures) > 0 && now.Sub(m.localFailures[0]) > failureWindow {
		m.localFailures = m.localFailures[1:]
	}
	return len(m.localFailures)
}

// totalFailures adds the counts of the other entries to the local count. The caller must hold the
// Set's lock.
func (m *member) totalFailures(now time.Time) int {
	n := m.localFailureCount(now)
	for entry, p := range m.peerReports {
		if now.Sub(p.at) > peerReportTTL {
			delete(m.peerReports, entry)
			continue
		}
		n += p.count
	}
	return n
}

// Failures returns how many recent requests of this entry each upstream failed.
func (s *Set) Failures() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, out := s.now(), map[string]int{}
	for id, m := range s.byID {
		if n := m.localFailureCount(now); n > 0 {
			out[id] = n
		}
	}
	return out
}

// PeerFailures applies another entry's counts of recently failed requests.
func (s *Set) PeerFailures(entry string, failures map[string]int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for id, n := range failures {
		m, ok := s.byID[id]
		if !ok {
			continue
		}
		if m.peerReports == nil {
			m.peerReports = map[string]peerReport{}
		}
		m.peerReports[entry] = peerReport{count: n, at: now}
	}
}

// Failing returns the upstreams of a service that recently failed many more requests than the
// others, over all entries with current reports.
func (s *Set) Failing(service string) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, sum, counts := s.now(), 0, map[string]int{}
	for _, id := range s.servingIDs(service) {
		n := s.byID[id].totalFailures(now)
		counts[id] = n
		sum += n
	}
	var out map[string]bool
	for id, n := range counts {
		others := float64(sum-n) / float64(max(len(counts)-1, 1))
		if n < minFailures || float64(n) <= failingFactor*others {
			continue
		}
		if out == nil {
			out = map[string]bool{}
		}
		out[id] = true
	}
	return out
}
