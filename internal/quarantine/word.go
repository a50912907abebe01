package quarantine

import (
	"slices"
	"time"
)

const (
	// tellFor is how long others are told of what this entry saw of a request under which
	// one upstream ended: some messages to each, also while one is frozen for seconds.
	// Of requests with more ends all entries tell for as long as they know them, so that
	// those that start anew learn of them.
	tellFor = 10 * time.Second
	// tellEnds is the number of ends from which on all tell.
	tellEnds = 2
	// mostTold bounds the requests in one message to another entry, some 6 KB.
	mostTold = 64
	// mostName bounds in bytes the names of routes and accounts in messages.
	mostName = 64
)

// Word is what an entry tells another one of a request. Words may come in any order, twice
// and late.
type Word struct {
	Request
	// Ends are the starts of upstreams that ended under it, and when.
	Ends map[string]time.Time
	// First are those of them whose run had begun before the request was a suspect, and
	// Tried those whose run had not.
	First []string
	Tried []string
	// Void are the starts whose ends speak against it no more.
	Void []string
	// Runs tells that the teller runs it, and At is the upstream that runs it, if it was a suspect
	// when it was sent there.
	Runs bool
	At   string
}

// kind returns how the request ran at a start.
func (w *Word) kind(start string) runKind {
	switch {
	case slices.Contains(w.First, start):
		return firstRun
	case slices.Contains(w.Tried, start):
		return triedRun
	default:
		return unknownRun
	}
}

// Tell returns what the other entries are to know, the most important first. It is empty
// while no upstream ended under a request.
func (s *Set) Tell() []Word {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.suspects) == 0 {
		return nil
	}
	var told []*suspect
	for _, u := range s.suspects {
		if s.tells(u) || s.runs(u) {
			told = append(told, u)
		}
	}
	slices.SortFunc(told, func(a, b *suspect) int { return matters(b, a) })
	out := make([]Word, 0, min(len(told), mostTold))
	for _, u := range told[:min(len(told), mostTold)] {
		out = append(out, s.word(u))
	}
	return out
}

// runs reports whether a suspect runs here. It needs the lock.
func (s *Set) runs(u *suspect) bool { return s.running[u.fingerprint] > 0 && s.restrained(u) }

// tells reports whether others are told of a request. It needs the lock.
func (s *Set) tells(u *suspect) bool {
	if len(u.live()) >= tellEnds {
		return true
	}
	for _, e := range u.ends {
		if s.tellsEnd(e) {
			return true
		}
	}
	return false
}

// tellsEnd reports whether others are told of an end as such: this entry saw it lately, or
// learnt lately that it counts no more. It needs the lock.
func (s *Set) tellsEnd(e end) bool {
	now := s.now()
	return e.own && now.Sub(e.at) < tellFor || e.void() && now.Sub(e.voidAt) < tellFor
}

// word returns what is told of a request. It needs the lock.
func (s *Set) word(u *suspect) Word {
	w := Word{
		Request: Request{Fingerprint: u.fingerprint, Route: u.route[:min(len(u.route), mostName)], Account: u.account[:min(len(u.account), mostName)]},
		Ends:    map[string]time.Time{}, Runs: s.runs(u),
	}
	for r, upstream := range s.trials {
		if r.request.Fingerprint == u.fingerprint {
			w.At = upstream
		}
	}
	all := len(u.live()) >= tellEnds
	for start, e := range u.ends {
		switch {
		case e.void() && s.tellsEnd(e):
			w.Void = append(w.Void, start)
		case !e.void() && (all || s.tellsEnd(e)):
			w.Ends[start] = e.at
			switch e.kind {
			case firstRun:
				w.First = append(w.First, start)
			case triedRun:
				w.Tried = append(w.Tried, start)
			case unknownRun:
			}
		}
	}
	slices.Sort(w.First)
	slices.Sort(w.Tried)
	slices.Sort(w.Void)
	return w
}

// mostHeld bounds the requests that are kept for the time after a loss of all entries, and
// mostHeldEnds the ends of each: some 10 KB.
const (
	mostHeld     = 32
	mostHeldEnds = 8
)

// Held returns the requests that are held, those with the most ends first.
func (s *Set) Held() []Word {
	s.mu.Lock()
	defer s.mu.Unlock()
	var held []*suspect
	for _, u := range s.suspects {
		if !u.held.IsZero() {
			held = append(held, u)
		}
	}
	slices.SortFunc(held, func(a, b *suspect) int { return matters(b, a) })
	var out []Word
	for _, u := range held[:min(len(held), mostHeld)] {
		w := s.word(u)
		w.Void, w.First, w.Tried, w.Runs, w.At = nil, nil, nil, false, ""
		for start := range w.Ends {
			if len(w.Ends) > mostHeldEnds {
				delete(w.Ends, start)
			}
		}
		out = append(out, w)
	}
	return out
}

// Verdicts is the number of times at which a request was held for what this entry saw.
func (s *Set) Verdicts() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.verdicts
}

// Recall takes over what Held returned before a start of this entry, or at others that may be
// gone.
func (s *Set) Recall(words []Word) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := false
	for _, w := range words {
		news = s.join(w) || news
	}
	if news {
		s.judge()
	}
}

// Hear takes over what another entry tells.
func (s *Set) Hear(entry string, words []Word) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heardAt[entry] = s.now()
	runs, news := map[Fingerprint]bool{}, false
	var upstreams []string
	for _, w := range words {
		if w.Runs {
			runs[w.Fingerprint] = true
		}
		if w.At != "" {
			upstreams = append(upstreams, w.At)
		}
		news = s.join(w) || news
	}
	_, ran := s.busy[entry]
	delete(s.busy, entry)
	if len(runs) > 0 {
		s.busy[entry] = peerRuns{at: s.now(), runs: runs, upstreams: upstreams}
	}
	switch {
	case news:
		s.judge()
	case ran:
		s.wake()
	}
}

// join adds what a word tells; it returns false if all of that was known. It needs the lock.
func (s *Set) join(w Word) (news bool) {
	if _, known := s.suspects[w.Fingerprint]; !known && len(w.Ends) == 0 {
		// That ends count no more matters only where they count.
		return false
	}
	u := s.suspectOf(w.Request)
	for start, at := range w.Ends {
		if u.add(start, at, false) {
			news = true
			s.exculpate(u, start)
		}
		news = u.ran(start, w.kind(start)) || news
	}
	for _, start := range w.Void {
		news = u.voidEnd(start, s.now()) || news
	}
	if u.old(s.now()) {
		// Others may remember it a little longer.
		delete(s.suspects, w.Fingerprint)
	}
	return news
}
