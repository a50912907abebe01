package quarantine

import (
	"bytes"
	"crypto/sha256"
	"slices"
	"time"
)

const (
	// turnDuration is how long an entry's turn lasts to try a request that may be quarantined soon.
	// turnActive is the part of the turn in which the entry may try it. The remainder is a margin:
	// turns are counted from the latest crash, and some entries learn of it up to half a turn later
	// than others.
	turnDuration = time.Second
	turnActive   = turnDuration / 2
	// entriesPerTurn is the largest number of entries among which one turn rotates. With more
	// entries, several have their turn at the same time, because callers may reach any entry.
	entriesPerTurn = 30
	// peerTTL is how long a peer counts as alive after its latest message.
	peerTTL = 5 * time.Second
)

// SetName sets the name by which other entries know this one. An entry without a name takes no
// turns.
func (s *Set) SetName(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.name = name
}

// hasTurn reports whether this entry may try a request that may be quarantined soon or whose
// quarantine period is over. Without turns, all entries would try it at once as soon as upstreams
// are back or the period ends. The turn depends on the time since the latest crash and on an order
// of entries that is the same everywhere. The caller must hold the lock.
func (s *Set) hasTurn(u *suspect) bool {
	now := s.now()
	names := []string{s.name}
	for name, at := range s.lastReportAt {
		if now.Sub(at) < peerTTL {
			names = append(names, name)
		}
	}
	if s.name == "" || len(names) == 1 {
		return true
	}
	since := max(now.Sub(u.latestCrash()), 0)
	if since%turnDuration >= turnActive {
		return false
	}
	slices.SortFunc(names, func(a, b string) int { return bytes.Compare(u.turnOrder(a), u.turnOrder(b)) })
	turns := (len(names) + entriesPerTurn - 1) / entriesPerTurn
	groups := (len(names) + turns - 1) / turns
	return slices.Index(names, s.name)%groups == int(since/turnDuration)%groups
}

// turnOrder returns the sort key of an entry in the order of turns for a request.
func (u *suspect) turnOrder(entry string) []byte {
	sum := sha256.Sum256(append(u.fingerprint[:], entry...))
	return sum[:]
}
