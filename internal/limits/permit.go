package limits

import (
	"context"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// The reasons for which there is no permit.
var (
	// ErrReached: the upstream gets as much as it takes.
	ErrReached = errors.New("the upstream takes no more requests now")
	// ErrNoAnswer: the entry that grants permits did not answer in time.
	ErrNoAnswer = errors.New("the entry that grants permits does not answer")
)

const (
	// askAgainLeast is the least time after which a question is sent again, and askAgainWays
	// the number of usual ways there and back that it takes.
	askAgainLeast = 25 * time.Millisecond
	askAgainWays  = 2
	// askTimes is the number of those times within which an answer is waited for.
	askTimes = 2.5
	// unanswered is the time for which nothing is asked after a question without an answer:
	// each request would wait in vain.
	unanswered = 150 * time.Millisecond
	// reachedEach is the least time between two lines that tell that an upstream gets as much
	// as it takes: a large limit is reached a hundred times a second.
	reachedEach = time.Second
)

// Take takes a permit to send one request to a start of an upstream now. Without a limit there
// is always one. The error is ErrReached or ErrNoAnswer, or that of ctx; OpensAt then tells when
// to ask again.
func (s *Set) Take(ctx context.Context, start string) error {
	if !s.Any() {
		return nil
	}
	s.mu.Lock()
	l, now := s.inForceOf(start), s.now()
	if l == nil {
		s.mu.Unlock()
		return nil
	}
	if now.Before(l.closedUntil) {
		s.mu.Unlock()
		return ErrReached
	}
	granter := s.granterOf(start, l)
	if granter != s.name {
		s.mu.Unlock()
		return s.ask(ctx, granter, start)
	}
	defer s.mu.Unlock()
	if wait := s.grant(l); wait > 0 {
		s.close(start, l, wait)
		return ErrReached
	}
	return nil
}

// Closed returns the starts for which there is no permit now.
func (s *Set) Closed() map[string]bool {
	return s.starts(func(l *limit) bool { return s.now().Before(l.closedUntil) })
}

// Starts returns the starts that have a limit.
func (s *Set) Starts() map[string]bool {
	return s.starts(func(*limit) bool { return true })
}

// starts returns the starts whose limit is in force and that are so.
func (s *Set) starts(so func(l *limit) bool) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for start, l := range s.limits {
		if l.holds() && so(l) {
			out[start] = true
		}
	}
	return out
}

// close notes that there is no permit for a time. It needs the lock.
func (s *Set) close(start string, l *limit, wait time.Duration) {
	now := s.now()
	l.closedUntil = now.Add(wait)
	l.reached++
	if now.Sub(l.reachedNoted) < reachedEach {
		return
	}
	s.rec.Note(events.LimitReached, "", "upstream", start, "rate", l.rate, "granter", l.granter, "next-in", wait, "times", l.reached)
	l.reached, l.reachedNoted = 0, now
}

// OpensAt returns when a permit for a start may be had; a time that is not in the future if
// there may be one now.
func (s *Set) OpensAt(start string) time.Time {
	if !s.Any() {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.inForceOf(start); l != nil {
		return l.closedUntil
	}
	return time.Time{}
}

// ask asks another entry for a permit.
func (s *Set) ask(ctx context.Context, granter, start string) error {
	id, answers := s.begin()
	defer s.end(id)
	pause := max(askAgainLeast, askAgainWays*s.others.Way())
	again := time.NewTimer(pause)
	defer again.Stop()
	last := time.NewTimer(time.Duration(askTimes * float64(pause)))
	defer last.Stop()
	s.sendQuestion(granter, id, start)
	for {
		select {
		case a := <-answers:
			return s.take(start, a)
		case <-again.C:
			s.sendQuestion(granter, id, start)
		case <-last.C:
			return s.notAnswered(granter, start)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// begin returns the identifier of a new question and where its answer comes.
func (s *Set) begin() (id uint64, answers chan Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	answers = make(chan Answer, 1)
	s.asked[s.lastID] = answers
	return s.lastID, answers
}

func (s *Set) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.asked, id)
}

func (s *Set) sendQuestion(granter string, id uint64, start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := Word{Start: start}
	if l, ok := s.limits[start]; ok {
		w.Rate, w.Named, w.Over = l.rate, l.namedAt, l.own.Over
	}
	s.others.Send(granter, s.address(granter, Message{Question: &Question{ID: id, Word: encodeWord(w, s.now())}}))
}

// answer passes an answer on to the request that waits for it. It needs the lock.
func (s *Set) answer(from string, a Answer, sent time.Time) {
	if word := a.Word.decode(sent, s.now()); word.Start != "" {
		s.hear(from, word)
	}
	if answers, waits := s.asked[a.ID]; waits {
		delete(s.asked, a.ID)
		answers <- a
	}
}

// take takes over an answer.
func (s *Set) take(start string, a Answer) error {
	if a.Granted {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.inForceOf(start); l != nil {
		s.close(start, l, a.wait())
	}
	return ErrReached
}

func (s *Set) notAnswered(granter, start string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.inForceOf(start); l != nil {
		l.closedUntil = s.now().Add(unanswered)
		s.rec.Note(events.LimitNoAnswer, "", "upstream", start, "granter", granter, "again-in", unanswered)
	}
	return ErrNoAnswer
}
