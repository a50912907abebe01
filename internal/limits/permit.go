package limits

import (
	"context"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// The reasons for which no permit is given.
var (
	// ErrReached: the upstream already gets as many requests as it takes.
	ErrReached = errors.New("the upstream takes no more requests now")
	// ErrNoAnswer: the granter did not answer in time.
	ErrNoAnswer = errors.New("the entry that grants permits does not answer")
)

const (
	// minResendDelay is the least time after which a question is sent again, and resendRoundTrips
	// the least number of usual round trips.
	minResendDelay   = 25 * time.Millisecond
	resendRoundTrips = 2
	// answerTimeoutFactor is how many resend delays long an answer is awaited.
	answerTimeoutFactor = 2.5
	// noAnswerPause is how long no question is sent after one that got no answer. Otherwise each
	// request would wait for its own timeout.
	noAnswerPause = 150 * time.Millisecond
	// deniedLogInterval is the least time between two log lines about denied permits for an
	// upstream. A large limit is reached a hundred times a second.
	deniedLogInterval = time.Second
)

// Take takes a permit to send one request to an upstream incarnation now. Without a limit it always
// succeeds. Otherwise the error may be ErrReached, ErrNoAnswer or that of ctx; OpensAt then tells
// when to try again.
func (s *Set) Take(ctx context.Context, incarnation string) error {
	if !s.Any() {
		return nil
	}
	s.mu.Lock()
	l, now := s.limitInForce(incarnation), s.now()
	if l == nil {
		s.mu.Unlock()
		return nil
	}
	if now.Before(l.closedUntil) {
		s.mu.Unlock()
		return ErrReached
	}
	granter := s.granterOf(incarnation, l)
	if granter != s.name {
		s.mu.Unlock()
		return s.ask(ctx, granter, incarnation)
	}
	defer s.mu.Unlock()
	if wait := s.grant(l); wait > 0 {
		s.deny(incarnation, l, wait)
		return ErrReached
	}
	return nil
}

// Closed returns the incarnations for which no permit is available now.
func (s *Set) Closed() map[string]bool {
	return s.incarnationsWhere(func(l *limit) bool { return s.now().Before(l.closedUntil) })
}

// Starts returns the incarnations that have a limit in force.
func (s *Set) Starts() map[string]bool {
	return s.incarnationsWhere(func(*limit) bool { return true })
}

// incarnationsWhere returns the incarnations whose limit is in force and matches.
func (s *Set) incarnationsWhere(match func(l *limit) bool) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for incarnation, l := range s.limits {
		if l.inForce() && match(l) {
			out[incarnation] = true
		}
	}
	return out
}

// deny records that no permit is available for the given time. The caller must hold s.mu.
func (s *Set) deny(incarnation string, l *limit, wait time.Duration) {
	now := s.now()
	l.closedUntil = now.Add(wait)
	l.deniedCount++
	if now.Sub(l.deniedLoggedAt) < deniedLogInterval {
		return
	}
	s.rec.Note(events.LimitReached, "", "upstream", incarnation, "rate", l.rate, "granter", l.granter, "next-in", wait, "times", l.deniedCount)
	l.deniedCount, l.deniedLoggedAt = 0, now
}

// OpensAt returns when a permit for an incarnation may be available; a time that is not in the future
// means now.
func (s *Set) OpensAt(incarnation string) time.Time {
	if !s.Any() {
		return time.Time{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.limitInForce(incarnation); l != nil {
		return l.closedUntil
	}
	return time.Time{}
}

// ask asks the granter for a permit and waits for the answer.
func (s *Set) ask(ctx context.Context, granter, incarnation string) error {
	id, answers := s.newQuestion()
	defer s.dropQuestion(id)
	resendDelay := max(minResendDelay, resendRoundTrips*s.others.RoundTrip())
	resend := time.NewTimer(resendDelay)
	defer resend.Stop()
	timeout := time.NewTimer(time.Duration(answerTimeoutFactor * float64(resendDelay)))
	defer timeout.Stop()
	s.sendQuestion(granter, id, incarnation)
	for {
		select {
		case a := <-answers:
			return s.applyAnswer(incarnation, a)
		case <-resend.C:
			s.sendQuestion(granter, id, incarnation)
		case <-timeout.C:
			return s.noteNoAnswer(granter, incarnation)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// newQuestion returns the ID of a new question and the channel that receives its answer.
func (s *Set) newQuestion() (id uint64, answers chan Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastQuestionID++
	answers = make(chan Answer, 1)
	s.pending[s.lastQuestionID] = answers
	return s.lastQuestionID, answers
}

func (s *Set) dropQuestion(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, id)
}

func (s *Set) sendQuestion(granter string, id uint64, incarnation string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, now := Observation{Start: incarnation}, s.now()
	if l, ok := s.limits[incarnation]; ok {
		w.Rate, w.AdvertisedAt, w.NoLimitAt = l.rate, l.advertisedAt, l.observed.NoLimitAt
	}
	s.others.Send(granter, s.withHandshake(granter, Message{Question: &Question{ID: id, Word: encodeObservation(w, now)}}), now)
}

// handleAnswer passes an answer to the request that waits for it. The caller must hold s.mu.
func (s *Set) handleAnswer(from string, a Answer, sent time.Time) {
	if observed := a.Word.decode(sent, s.now()); observed.Start != "" {
		s.merge(from, observed)
	}
	if answers, waiting := s.pending[a.ID]; waiting {
		delete(s.pending, a.ID)
		answers <- a
	}
}

// applyAnswer returns the result of Take for an answer of the granter.
func (s *Set) applyAnswer(incarnation string, a Answer) error {
	if a.Granted {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.limitInForce(incarnation); l != nil {
		s.deny(incarnation, l, a.wait())
	}
	return ErrReached
}

func (s *Set) noteNoAnswer(granter, incarnation string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l := s.limitInForce(incarnation); l != nil {
		l.closedUntil = s.now().Add(noAnswerPause)
		s.rec.Note(events.LimitNoAnswer, "", "upstream", incarnation, "granter", granter, "again-in", noAnswerPause)
	}
	return ErrNoAnswer
}
