package fleet

import (
	"maps"
	"time"
)

const (
	// departureWindow is the time within which departures count as simultaneous, since their
	// streams need capacity elsewhere at the same time.
	departureWindow = time.Second
	// departureRetention is how long simultaneous departures are expected to recur.
	departureRetention = 10 * time.Second
	// maxDepartures bounds the departures that are kept for one service.
	maxDepartures = 256
)

// noteDeparture records that an upstream of a service began to leave.
func (s *Set) noteDeparture(service string) {
	now := s.now()
	departures := append(s.departures[service], now)
	for len(departures) > maxDepartures || now.Sub(departures[0]) > departureRetention {
		departures = departures[1:]
	}
	s.departures[service] = departures
}

// sweepDepartures forgets the departures that are no longer kept. The caller must hold s.mu.
func (s *Set) sweepDepartures(now time.Time) {
	maps.DeleteFunc(s.departures, func(_ string, at []time.Time) bool {
		return now.Sub(at[len(at)-1]) > departureRetention
	})
}

// LeavingShare returns the largest share of a service's upstreams, from 0 to 1, that recently began
// to leave at the same time.
func (s *Set) LeavingShare(service string) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := s.largestDeparture(service)
	if largest == 0 {
		return 0
	}
	return float64(largest) / float64(len(s.servingIDs(service))+largest)
}

// largestDeparture returns the largest number of upstreams that began to leave within
// departureWindow, among the departures that are kept.
func (s *Set) largestDeparture(service string) int {
	now, departures := s.now(), s.departures[service]
	largest, first := 0, 0
	for i, at := range departures {
		for at.Sub(departures[first]) > departureWindow {
			first++
		}
		if now.Sub(departures[first]) <= departureRetention {
			largest = max(largest, i-first+1)
		}
	}
	return largest
}
