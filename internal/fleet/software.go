package fleet

import (
	"maps"
	"slices"
	"time"
)

// softwareRetention is how long a software version is remembered after its last upstream: longer than any
// stream runs.
const softwareRetention = 10 * time.Minute

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

// sweepSoftware forgets the versions that no upstream had for softwareRetention. The caller must hold s.mu.
func (s *Set) sweepSoftware(now time.Time) {
	for service, versions := range s.software {
		maps.DeleteFunc(versions, func(_ string, at time.Time) bool { return now.Sub(at) > softwareRetention })
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
