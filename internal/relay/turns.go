package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"time"
)

// ErrNotOwnTurn is returned if no peer can answer and it is not the turn of this entry to call the
// store.
var ErrNotOwnTurn = errors.New("no peer answered, and it is not the turn of this entry to call the store")

// maxTurnTakers is the number of entries that take turns at calling the store. The others wait
// until one of these can answer them. If each of hundreds had a turn, an entry that gets no answer
// from its peers would wait for longer than routes are trusted.
const maxTurnTakers = 32

// takeTurn reports whether this entry may call the store now although it is not a delegate, and
// uses up its turn. When the store stops answering, all copies become stale at the same moment, so
// without turns all entries would call it at once, and again after each failure. Each entry waits
// for a random part of the cycle in which all of them have a turn; one turn serves all tables.
func (s *Store) takeTurn() bool {
	if !s.turnDue() {
		return false
	}
	own, before := turnOrder(s.settings.Name), 0
	for _, p := range s.peers() {
		if turnOrder(p.Name) < own {
			before++
		}
	}
	return before < maxTurnTakers
}

// turnOrder returns the place of an entry in the order of those that take turns. It does not depend on machines
// and the order of names, as the choice of delegates does: a fault that cuts off the delegates, such as that of a
// zone, may cut off all entries that come next to them.
func turnOrder(name string) uint64 {
	sum := sha256.Sum256([]byte(name))
	return binary.BigEndian.Uint64(sum[:])
}

// turnDue reports whether the turn of this entry has come, and schedules the next one if so.
func (s *Store) turnDue() bool {
	cycle := float64(min(len(s.peers()), maxTurnTakers)) * float64(s.settings.StoreCallInterval)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.nextTurn.IsZero() {
		s.nextTurn = now.Add(time.Duration(s.random() * cycle))
	}
	if now.Before(s.nextTurn) {
		return false
	}
	s.nextTurn = now.Add(time.Duration((0.5 + s.random()) * cycle))
	return true
}
