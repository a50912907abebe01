package fleet

import "time"

const (
	// leavingSpan is the time within which upstreams count as leaving together:
	// their streams need room elsewhere at once.
	leavingSpan = time.Second
	// leavingMemory is how long such a loss is expected to come again.
	leavingMemory = 10 * time.Second
	// mostLeft bounds the departures that are remembered of one service.
	mostLeft = 256
)

// noteLeft remembers that an upstream of a service began to leave.
func (s *Set) noteLeft(service string) {
	now := s.now()
	left := append(s.left[service], now)
	for len(left) > mostLeft || now.Sub(left[0]) > leavingMemory {
		left = left[1:]
	}
	s.left[service] = left
}

// LeavingShare returns the largest part of a service's upstreams, 0 to 1, that
// lately began to leave together.
func (s *Set) LeavingShare(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := s.mostTogether(service)
	if most == 0 {
		return 0
	}
	return float64(most) / float64(len(s.servingIDs(service))+most)
}

// mostTogether is the largest number of upstreams that began to leave within
// leavingSpan, of those that are remembered.
func (s *Set) mostTogether(service string) int {
	now, left := s.now(), s.left[service]
	most, first := 0, 0
	for i, at := range left {
		for at.Sub(left[first]) > leavingSpan {
			first++
		}
		if now.Sub(left[first]) <= leavingMemory {
			most = max(most, i-first+1)
		}
	}
	return most
}
