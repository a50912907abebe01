package limits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minAnnounceTime is the least time for which a change is sent to all entries. It covers
	// several messages to each, of which most may be lost.
	minAnnounceTime = 3 * time.Second
	// announceRounds is the least number of times Peers.BroadcastTime for which a change is sent. With
	// hundreds of entries, messages are a second apart.
	announceRounds = 4
	// maxObservations bounds the observations in one message to about 2 KB.
	maxObservations = 64
)

// Observation is what an entry read itself in the answers of an upstream incarnation.
type Observation struct {
	Start string
	// Rate is the latest advertised limit in requests a second, and AdvertisedAt when it was read;
	// zero for never.
	Rate         float64
	AdvertisedAt time.Time
	// NoLimitAt is when the incarnation is last known to have had no limit; zero for never.
	NoLimitAt time.Time
}

// announce sends the latest changes to all other entries. The caller must hold s.mu.
func (s *Set) announce() {
	s.announceUntil = s.now().Add(max(minAnnounceTime, announceRounds*s.others.BroadcastTime()))
	s.others.Broadcast()
}

// observations returns the most recent observations of this entry, the latest first. The caller
// must hold s.mu.
func (s *Set) observations() []wireObservation {
	var list []Observation
	for incarnation, l := range s.limits {
		if l.observed.AdvertisedAt.IsZero() && l.observed.NoLimitAt.IsZero() {
			continue
		}
		w := l.observed
		w.Start = incarnation
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Observation) int {
		return cmp.Or(b.latest().Compare(a.latest()), cmp.Compare(a.Start, b.Start))
	})
	now := s.now()
	out := make([]wireObservation, 0, min(len(list), maxObservations))
	for _, w := range list[:min(len(list), maxObservations)] {
		out = append(out, encodeObservation(w, now))
	}
	return out
}

// latest returns the later of both times.
func (w Observation) latest() time.Time {
	if w.NoLimitAt.After(w.AdvertisedAt) {
		return w.NoLimitAt
	}
	return w.AdvertisedAt
}

// merge applies an observation of another entry. The caller must hold s.mu.
func (s *Set) merge(from string, w Observation) {
	if !w.AdvertisedAt.IsZero() {
		s.noteAdvertised(w.Start, w.Rate, w.AdvertisedAt, from)
	}
	if !w.NoLimitAt.IsZero() {
		s.noteNoLimit(w.Start, w.NoLimitAt, from)
	}
}
