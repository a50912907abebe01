package relay

import (
	"math"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// source returns the peer that this entry asks. ok is false if there is none, and self is set if
// this entry is a delegate and polls the store itself. All entries that see the same peers agree
// on the delegates: the entries on the largest machines that reach the store. If all delegates
// fail this entry, it asks the next ones in that order.
//
// In large deployments only the delegates of each zone ask the store's delegates, and the other
// entries ask the delegates of their zone. A change then crosses between zones only a few times,
// and no entry has to send it to hundreds of others.
func (s *Store) source() (chosen Peer, ok, self bool) {
	all := append(s.peers(), s.ownPeer())
	if roster.ByZone(len(all)) && !s.isStoreDelegate(all) {
		zone := ranked(slices.DeleteFunc(slices.Clone(all), func(p Peer) bool { return p.Zone != s.settings.Zone }))
		if near, found, delegate := s.pickPeer(zone, roster.ZoneDelegates(len(zone))); found && !delegate {
			return near, true, false
		}
	}
	reach := ranked(slices.DeleteFunc(all, func(p Peer) bool { return p.StoreLost }))
	return s.pickPeer(reach, s.settings.Delegates)
}

// ownPeer returns the Peer that other entries have for this one.
func (s *Store) ownPeer() Peer {
	return Peer{Name: s.settings.Name, Zone: s.settings.Zone, Size: s.settings.Size, StoreLost: s.StoreLost()}
}

// isStoreDelegate reports whether this entry is one of the delegates that poll the store. Peers
// that are avoided do not count.
func (s *Store) isStoreDelegate(all []Peer) bool {
	own, before := s.ownPeer(), 0
	for _, p := range all {
		if !p.StoreLost && roster.Compare(p.candidate(), own.candidate()) < 0 && !s.avoided(p.Name) {
			before++
		}
	}
	return !own.StoreLost && before < s.settings.Delegates
}

// ranked sorts entries in place by the size of their machines, the largest first.
func ranked(list []Peer) []Peer {
	slices.SortFunc(list, func(a, b Peer) int { return roster.Compare(a.candidate(), b.candidate()) })
	return list
}

// pickPeer returns the peer to ask from a ranked list, which it searches in groups of n. It stops
// at the first group that holds this entry or a peer that is not avoided. self is set if this
// entry is in that group. Peers of the same zone are preferred, and entries spread over equally
// suitable peers.
func (s *Store) pickPeer(ordered []Peer, n int) (chosen Peer, ok, self bool) {
	for group := range slices.Chunk(ordered, n) {
		begin := roster.StartIndex(s.settings.Name, len(group))
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

// anyAge is the age limit for an entry that has no copy of the table: it accepts answers of any
// age.
const anyAge = time.Duration(math.MaxInt64)

// freshest returns at most maxAsked peers whose last confirmation is not older than oldest, the
// newest first.
func (s *Store) freshest(oldest time.Duration) []Peer {
	list := slices.DeleteFunc(s.peers(), func(p Peer) bool {
		return p.Confirmed.IsZero() || s.now().Sub(p.Confirmed) > oldest || s.avoided(p.Name)
	})
	slices.SortFunc(list, func(a, b Peer) int { return b.Confirmed.Compare(a.Confirmed) })
	return list[:min(maxAsked, len(list))]
}

// maxAsked bounds how many delegates are tried before the store, and how many peers after it has
// failed.
const maxAsked = 2

func (s *Store) avoided(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now().Before(s.avoidUntil[name])
}
