package limits

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/roster"
)

const (
	// burstWindow is the time whose requests an upstream may get at once, plus one. Requests arrive
	// at random, and without a burst each permit that is not needed at its moment would be lost.
	burstWindow = 500 * time.Millisecond
	// minGrantRate is the least rate that is granted, in requests a second. Only answers show that
	// a limit is lifted, so some requests have to be sent.
	minGrantRate = 0.2
	// wrongGranterDelay is when an entry asks again after it asked an entry that is not the
	// granter. Entries agree on the granter in about this time.
	wrongGranterDelay = 100 * time.Millisecond
	// answerTTL is how long an answer is kept in case its question arrives again.
	answerTTL = time.Second
)

type questionKey struct {
	from string
	id   uint64
}

// cachedAnswer is an answer without Word, which is encoded from observed each time the answer is sent.
type cachedAnswer struct {
	answer   Answer
	observed Observation
	// at is when the answer was decided.
	at time.Time
}

// Receive processes a message of another entry. It was not encoded before sent, which is zero if unknown.
func (s *Set) Receive(from string, m Message, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.updatePeer(from, m)
	for _, encoded := range m.Words {
		if observed := encoded.decode(sent, now); observed.Start != "" {
			s.merge(from, observed)
		}
	}
	if m.Question != nil {
		s.handleQuestion(from, *m.Question, sent)
	}
	if m.Answer != nil {
		s.handleAnswer(from, *m.Answer, sent)
	}
}

// handleQuestion answers another entry's question; a repeated question gets the same answer. The
// caller must hold s.mu.
func (s *Set) handleQuestion(from string, q Question, sent time.Time) {
	now, key := s.now(), questionKey{from, q.ID}
	cached, repeated := s.answerCache[key]
	if !repeated {
		cached = s.decide(from, q, sent, now)
		s.answerCache[key] = cached
	}
	answer := cached.answer
	answer.Word = encodeObservation(cached.observed, now)
	s.others.Send(from, s.withHandshake(from, Message{Answer: &answer}), now)
}

// decide makes the answer to a question that arrived now. The caller must hold s.mu.
func (s *Set) decide(from string, q Question, sent, now time.Time) cachedAnswer {
	observed := q.Word.decode(sent, now)
	a := cachedAnswer{answer: Answer{ID: q.ID}, at: now}
	if observed.Start == "" {
		return a
	}
	s.merge(from, observed)
	l, known := s.limits[observed.Start]
	switch {
	case !known:
		a.answer.WaitUS = wrongGranterDelay.Microseconds()
	case !l.inForce():
		a.answer.Granted = true
	case s.granterOf(observed.Start, l) != s.name:
		a.answer.WaitUS = wrongGranterDelay.Microseconds()
	default:
		wait := s.grant(l)
		a.answer.Granted, a.answer.WaitUS = wait == 0, wait.Microseconds()
	}
	if known {
		a.observed = l.observed
		a.observed.Start = observed.Start
	}
	return a
}

// evictAnswers drops the answers that are older than answerTTL. The caller must hold s.mu.
func (s *Set) evictAnswers() {
	now := s.now()
	for key, a := range s.answerCache {
		if now.Sub(a.at) > answerTTL {
			delete(s.answerCache, key)
		}
	}
}

// granterOf returns the entry that grants permits for an incarnation. It creates the bucket when this
// entry becomes the granter, and drops it when another one does. The caller must hold s.mu.
func (s *Set) granterOf(incarnation string, l *limit) string {
	granter, highest := "", uint64(0)
	for _, name := range s.granterCandidates() {
		h := roster.RendezvousHash(incarnation, name)
		if granter == "" || h > highest || h == highest && name > granter {
			granter, highest = name, h
		}
	}
	if granter != l.granter {
		s.rec.Note(events.LimitGranter, "", "upstream", incarnation, "granter", granter, "before", l.granter)
		l.granter = granter
	}
	switch {
	case granter != s.name:
		l.bucket = nil
	case l.bucket == nil:
		// The previous granter goes on until it learns that this entry has the limit too. The
		// permits that it grants count as well, so the bucket starts empty.
		l.grantsFrom = s.now().Add(s.others.BroadcastTime())
		perSecond, burst := s.grantRate(l)
		l.bucket = rate.NewLimiter(perSecond, burst)
		l.bucket.AllowN(l.grantsFrom, burst)
	}
	return granter
}

// grant takes a permit from this entry's bucket. It returns 0, or the time until a permit may be
// available. The caller must hold s.mu.
func (s *Set) grant(l *limit) time.Duration {
	now := s.now()
	if now.Before(l.grantsFrom) {
		return l.grantsFrom.Sub(now)
	}
	perSecond, burst := s.grantRate(l)
	l.bucket.SetLimitAt(now, perSecond)
	l.bucket.SetBurstAt(now, burst)
	if l.bucket.AllowN(now, 1) {
		return 0
	}
	missing := 1 - l.bucket.TokensAt(now)
	return max(time.Duration(missing/float64(perSecond)*float64(time.Second)), time.Microsecond)
}

// grantRate returns the permits a second that this entry grants while it is the granter, and the
// burst that accumulates while none are taken. The caller must hold s.mu.
func (s *Set) grantRate(l *limit) (perSecond rate.Limit, burst int) {
	perSecond = rate.Limit(max(l.rate*s.share(), minGrantRate))
	return perSecond, 1 + int(math.Ceil(float64(perSecond)*burstWindow.Seconds()))
}

// share returns the share of a limit that the entries which receive each other's messages may use.
// Each side of a network partition has a granter of its own. Only the side with the majority of the
// entries has the whole limit; any other side has the fraction of all entries that it holds. The
// caller must hold s.mu.
func (s *Set) share() float64 {
	if s.entryCount == 0 {
		return 0
	}
	live := len(s.others.LivePeers()) + 1
	if 2*live > s.entryCount {
		return 1
	}
	return float64(live) / float64(s.entryCount)
}
