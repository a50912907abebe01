package relay

import (
	"math"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// source returns the entry that this one asks. ok is false if there is none, and self tells that
// this entry is to follow the store itself. All entries that hear each other agree on who the
// delegates are: those on the largest machines that reach the store. While those fail this entry,
// the next ones take their place.
//
// With many entries only the delegates of the zones ask these, and the others ask those of their
// zone: a change crosses between zones some times only, and nobody has to tell it to hundreds.
func (s *Store) source() (chosen Peer, ok, self bool) {
	all := append(s.peers(), s.own())
	if roster.ByZone(len(all)) && !s.leads(all) {
		zone := ranked(slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p.Zone != s.settings.Zone }))
		if near, found, delegate := s.first(zone, roster.ZoneDelegates(len(zone))); found && !delegate {
			return near, true, false
		}
	}
	reach := ranked(slices.DeleteFunc(all, func(p Peer) bool { return p.StoreLost }))
	return s.first(reach, s.settings.Delegates)
}

// own is this entry as the others see it.
func (s *Store) own() Peer {
	return Peer{Name: s.settings.Name, Zone: s.settings.Zone, Size: s.settings.Size, StoreLost: s.StoreLost()}
}

// leads reports whether this entry is among the first that reach the store.
func (s *Store) leads(all []Peer) bool {
	own, before := s.own(), 0
	for _, p := range all {
		if !p.StoreLost && roster.Compare(p.candidate(), own.candidate()) < 0 && !s.avoided(p.Name) {
			before++
		}
	}
	return !own.StoreLost && before < s.settings.Delegates
}

// ranked orders entries, those on the largest machines first.
func ranked(list []Peer) []Peer {
	slices.SortFunc(list, func(a, b Peer) int { return roster.Compare(a.candidate(), b.candidate()) })
	return list
}

// first returns the entry to ask among ordered ones, of which each n work together: one of the
// first n that do not all fail this entry. self tells that this entry is among them. One of the
// own zone is preferred; entries spread over equal ones.
func (s *Store) first(ordered []Peer, n int) (chosen Peer, ok, self bool) {
	for group := range slices.Chunk(ordered, n) {
		begin := roster.Pick(s.settings.Name, len(group))
		for i := range group {
			p := group[(begin+i)%len(group)]
			if p.Name == s.settings.Name {
				return Peer{}, false, true
			}
			if s.avoided(p.Name) {
				continue
			}
			if !ok || p.Zone == s.settings.Zone && chosen.Zone != s.settings.Zone {
				chosen, ok = p, true
			}
		}
		if ok {
			return chosen, true, false
		}
	}
	return Peer{}, false, false
}

func (p Peer) candidate() roster.Candidate {
	return roster.Candidate{Name: p.Name, Zone: p.Zone, Size: p.Size}
}

// unbounded is the age up to which an answer is taken by who knows nothing.
const unbounded = time.Duration(math.MaxInt64)

// freshest returns the entries with a confirmation that is not older than oldest,
// the newest first.
func (s *Store) freshest(oldest time.Duration) []Peer {
	list := slices.DeleteFunc(s.peers(), func(p Peer) bool {
		return p.Confirmed.IsZero() || s.now().Sub(p.Confirmed) > oldest || s.avoided(p.Name)
	})
	slices.SortFunc(list, func(a, b Peer) int { return b.Confirmed.Compare(a.Confirmed) })
	return list[:min(maxAsked, len(list))]
}

// maxAsked bounds the entries that are asked when the store does not answer.
const maxAsked = 2

func (s *Store) avoided(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.avoid[name])
}
