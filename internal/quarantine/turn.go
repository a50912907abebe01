package quarantine

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// turnLasts is how long the turn of some entries lasts to try a request that may be about
	// to be held, and turnUsed the part of it in which they may: entries learn of the end
	// from which turns are counted up to that much later than others.
	turnLasts = time.Second
	turnUsed  = turnLasts / 2
	// entriesToTurn is the number of entries of which one has its turn at a time: a caller
	// comes to any of them.
	entriesToTurn = 30
	// peerFor is how long an entry that is not heard of is counted.
	peerFor = 5 * time.Second
)

// SetName tells by which name other entries know this one. One that has no name takes no turns.
func (s *Set) SetName(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.name = name
}

// myTurn reports whether this entry may try a request that may be about to be held, or that was:
// all entries would try it at once when upstreams are back, or a quarantine is over. Turns go by
// the time since the latest end, in an order that all entries agree on. It needs the lock.
func (s *Set) myTurn(u *suspect) bool {
	now := s.now()
	names := []string{s.name}
	for name, at := range s.heardAt {
		if now.Sub(at) < peerFor {
			names = append(names, name)
		}
	}
	if s.name == "" || len(names) == 1 {
		return true
	}
	since := max(now.Sub(u.latestEnd()), 0)
	if since%turnLasts >= turnUsed {
		return false
	}
	slices.SortFunc(names, func(a, b string) int { return bytes.Compare(u.order(a), u.order(b)) })
	turns := (len(names) + entriesToTurn - 1) / entriesToTurn
	groups := (len(names) + turns - 1) / turns
	return slices.Index(names, s.name)%groups == int(since/turnLasts)%groups
}

// order is where an entry stands among those that try a request.
func (u *suspect) order(entry string) []byte {
	sum := sha256.Sum256(append(u.fingerprint[:], entry...))
	return sum[:]
}
