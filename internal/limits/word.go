package limits

import (
	"cmp"
	"slices"
	"time"
)

const (
	// tellLeast is the least time for which all others are told of a change: some messages
	// to each, of which most may be lost.
	tellLeast = 3 * time.Second
	// tellRounds is the number of the times within which all are told that news lasts at
	// least: with hundreds of entries messages are a second apart.
	tellRounds = 4
	// mostTold bounds the limits in one message, some 2 KB.
	mostTold = 64
)

// Word is what an entry read itself in the answers of a start of an upstream.
type Word struct {
	Start string
	// Rate is what it named last, in requests a second, and Named when; zero for never.
	Rate  float64
	Named time.Time
	// Over is when it was last known to have no limit; zero for never.
	Over time.Time
}

// Telling is what an entry tells others.
type Telling struct {
	// Words are what it read itself.
	Words []Word
	// All tells that all are to hear it; else only those that have told nothing of limits.
	All bool
	// Some tells that there is anything to tell: it may be only that this entry knows of
	// limits and heeds them.
	Some bool
}

// news makes the latest changes known to all others. It needs the lock.
func (s *Set) news() {
	s.newsUntil = s.now().Add(max(tellLeast, tellRounds*s.others.Told()))
	s.others.Urge()
}

// Tell returns what others are to be told. It is empty while no limit is in force and none
// was lately.
func (s *Set) Tell() Telling {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := Telling{All: s.now().Before(s.newsUntil)}
	t.Some = t.All || s.Any()
	if !t.Some {
		return t
	}
	for start, l := range s.limits {
		if l.own.Named.IsZero() && l.own.Over.IsZero() {
			continue
		}
		w := l.own
		w.Start = start
		t.Words = append(t.Words, w)
	}
	slices.SortFunc(t.Words, func(a, b Word) int { return cmp.Or(b.latest().Compare(a.latest()), cmp.Compare(a.Start, b.Start)) })
	t.Words = t.Words[:min(len(t.Words), mostTold)]
	return t
}

// latest is when the word was true last.
func (w Word) latest() time.Time {
	if w.Over.After(w.Named) {
		return w.Over
	}
	return w.Named
}

// hear takes over what an entry read or believes. It needs the lock.
func (s *Set) hear(from string, w Word) {
	if !w.Named.IsZero() {
		s.named(w.Start, w.Rate, w.Named, from)
	}
	if !w.Over.IsZero() {
		s.over(w.Start, w.Over, from)
	}
}
