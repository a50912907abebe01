package relay

import (
	"errors"
	"slices"
	"time"
)

// ErrNotAsked is answered while no other entry can tell and it is left to others to
// ask the store itself.
var ErrNotAsked = errors.New("other entries ask the store")

// turnsMost is the number of entries that take turns at the store. The others wait until one of
// these can tell them: with a turn for each of hundreds, one that no other can tell would wait for
// longer than routes are trusted.
const turnsMost = 32

// turn reports whether this entry may ask the store for what no other entry can tell, and
// takes its turn. What all know grows old at the same moment when the store falls silent,
// so all would ask it then, and again after each failure. Each waits for a random part of
// the time in which all have their turn, which serves for all tables.
func (s *Store) turn() bool {
	if !s.due() {
		return false
	}
	all := ranked(append(s.peers(), s.own()))
	takers := all[:min(len(all), turnsMost)]
	return slices.ContainsFunc(takers, func(p Peer) bool { return p.Name == s.settings.Name })
}

// due reports whether the turn of this entry has come, and sets the next one.
func (s *Store) due() bool {
	all := float64(min(len(s.peers()), turnsMost)) * float64(s.settings.CallEach)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.turnAt.IsZero() {
		s.turnAt = now.Add(time.Duration(s.random() * all))
	}
	if now.Before(s.turnAt) {
		return false
	}
	s.turnAt = now.Add(time.Duration((0.5 + s.random()) * all))
	return true
}
