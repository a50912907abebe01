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

// news makes the latest changes known to all others. It needs the lock.
func (s *Set) news() {
	s.newsUntil = s.now().Add(max(tellLeast, tellRounds*s.others.Told()))
	s.others.Urge()
}

// words returns what this entry read itself, the latest first. It needs the lock.
func (s *Set) words() []wireWord {
	var words []Word
	for start, l := range s.limits {
		if l.own.Named.IsZero() && l.own.Over.IsZero() {
			continue
		}
		w := l.own
		w.Start = start
		words = append(words, w)
	}
	slices.SortFunc(words, func(a, b Word) int { return cmp.Or(b.latest().Compare(a.latest()), cmp.Compare(a.Start, b.Start)) })
	now := s.now()
	out := make([]wireWord, 0, min(len(words), mostTold))
	for _, w := range words[:min(len(words), mostTold)] {
		out = append(out, encodeWord(w, now))
	}
	return out
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
