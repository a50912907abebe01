package fleet

import (
	"maps"
	"slices"
	"time"
)

// SoftwareRetention is how long a software version is remembered after its last upstream: longer than any
// stream runs.
const SoftwareRetention = 10 * time.Minute

// maxFollowGap is the longest time between two answers about the upstreams after which a version that came and
// went in between may have been missed.
const maxFollowGap = 5 * time.Second

// maxVersions bounds the software versions that are remembered of one service, in case rows invent some.
const maxVersions = 64

// noteSoftware notes that an upstream of a software version is known now. The caller must hold s.mu.
func (s *Set) noteSoftware(r Record) {
	versions, ok := s.software[r.Service]
	if !ok {
		versions = map[string]time.Time{}
		s.software[r.Service] = versions
	}
	if _, known := versions[r.Software]; known || len(versions) < maxVersions {
		versions[r.Software] = s.now()
	}
}

// sweepSoftware forgets the versions that no upstream had for SoftwareRetention. The caller must hold s.mu.
func (s *Set) sweepSoftware(now time.Time) {
	for service, versions := range s.software {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > SoftwareRetention })
		if len(versions) == 0 {
			delete(s.software, service)
		}
	}
}

// SoftwareSince returns the software versions of which upstreams of a service were known at or after the
// given time, sorted.
func (s *Set) SoftwareSince(service string, since time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for version, at := range s.software[service] {
		if !at.Before(since) {
			out[version] = true
		}
	}
	for _, m := range s.byID {
		if m.Service == service {
			out[m.Software] = true
		}
	}
	return slices.Sorted(maps.Keys(out))
}

// Software returns the software versions that are remembered, by service.
func (s *Set) Software() map[string][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string][]string, len(s.software))
	for service, versions := range s.software {
		out[service] = slices.Collect(maps.Keys(versions))
	}
	// A version is remembered from when a row last changed, and rows may stay the same for long.
	for _, m := range s.byID {
		if !slices.Contains(out[m.Service], m.Software) {
			out[m.Service] = append(out[m.Service], m.Software)
		}
	}
	for _, versions := range out {
		slices.Sort(versions)
	}
	return out
}

// Followed notes that the rows of all upstreams were known as of a steady time.
func (s *Set) Followed(at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.followedSince.IsZero() || at.Sub(s.followedUntil) > maxFollowGap {
		s.followedSince = at
	}
	s.followedUntil = later(s.followedUntil, at)
}

// MissedChanges notes that changes of the rows may be missing: the store was restored from a backup.
func (s *Set) MissedChanges() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followedSince = time.Time{}
}

// FollowedSince returns the time since which the rows of all upstreams have been known without a gap; ok is
// false if they are not known now.
func (s *Set) FollowedSince() (since time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followedSince, !s.followedSince.IsZero() && s.now().Sub(s.followedUntil) <= maxFollowGap
}

// FollowedUntil returns the time as of which the rows of all upstreams were last known; zero if they never were.
func (s *Set) FollowedUntil() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.followedUntil
}

// AvailableOf is Available for the upstreams of one software version.
func (s *Set) AvailableOf(service, software string) []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []Upstream
	for _, id := range s.servingIDs(service) {
		if m := s.byID[id]; m.Software == software {
			out = append(out, m.Upstream)
		}
	}
	if len(out) > 0 {
		return out
	}
	return slices.DeleteFunc(s.lapsed(service), func(u Upstream) bool { return u.Software != software })
}

// Latest returns the latest known incarnation of an upstream by its name.
func (s *Set) Latest(name string) (Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.byName[name]
	if !ok {
		return Upstream{}, false
	}
	return m.Upstream, true
}
