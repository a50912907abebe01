package limits

import (
	"hash/fnv"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/sparshore/sparshore/internal/events"
)

const (
	// burstFor is the time whose requests an upstream may get at once, besides one: callers
	// come by chance, and a permit that nobody needed at its moment is lost without.
	burstFor = 500 * time.Millisecond
	// leastRate is what is granted at least, in requests a second: by answers alone it is
	// heard that a limit is over.
	leastRate = 0.2
	// elsewhere is the time after which an entry asks again that asked one that is not the
	// granter: about the time in which entries agree on who is.
	elsewhere = 100 * time.Millisecond
	// answersKept is how long an answer is kept for a question that comes again.
	answersKept = time.Second
)

type questionKey struct {
	from string
	id   uint64
}

type answered struct {
	answer Answer
	at     time.Time
}

// Hear takes over a message of another entry, which was sent no earlier than a time; zero if
// that is not known.
func (s *Set) Hear(from string, m Message, sent time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	s.met(from, m)
	for _, w := range m.Words {
		if word := w.decode(sent, now); word.Start != "" {
			s.hear(from, word)
		}
	}
	if m.Question != nil {
		s.question(from, *m.Question, sent)
	}
	if m.Answer != nil {
		s.answer(from, *m.Answer, sent)
	}
}

// question answers another entry's question. It needs the lock.
func (s *Set) question(from string, q Question, sent time.Time) {
	now, key := s.now(), questionKey{from, q.ID}
	known, again := s.answered[key]
	if !again {
		known = answered{answer: s.decide(from, q, sent), at: now}
		s.answered[key] = known
	}
	s.others.Send(from, s.address(from, Message{Answer: &known.answer}))
}

// decide decides on a question. It needs the lock.
func (s *Set) decide(from string, q Question, sent time.Time) Answer {
	now := s.now()
	word := q.Word.decode(sent, now)
	a := Answer{ID: q.ID}
	if word.Start == "" {
		return a
	}
	s.hear(from, word)
	l, known := s.limits[word.Start]
	switch {
	case !known:
		a.WaitUS = elsewhere.Microseconds()
	case !l.holds():
		a.Granted = true
	case s.granterOf(word.Start, l) != s.name:
		a.WaitUS = elsewhere.Microseconds()
	default:
		wait := s.grant(l)
		a.Granted, a.WaitUS = wait == 0, wait.Microseconds()
	}
	if known {
		own := l.own
		own.Start = word.Start
		a.Word = encodeWord(own, now)
	}
	return a
}

// forgetAnswers forgets answers that nobody asks for any more. It needs the lock.
func (s *Set) forgetAnswers() {
	now := s.now()
	for key, a := range s.answered {
		if now.Sub(a.at) > answersKept {
			delete(s.answered, key)
		}
	}
}

// granterOf returns the entry that grants permits for a start, and begins or ends the granting
// here. It needs the lock.
func (s *Set) granterOf(start string, l *limit) string {
	granter, highest := s.name, order(start, s.name)
	for i, name := range s.aware() {
		h := order(start, name)
		if s.leaves && i == 0 || h > highest || h == highest && name > granter {
			granter, highest = name, h
		}
	}
	if granter != l.granter {
		s.rec.Note(events.LimitGranter, "", "upstream", start, "granter", granter, "before", l.granter)
		l.granter = granter
	}
	switch {
	case granter != s.name:
		l.bucket = nil
	case l.bucket == nil:
		// The one before grants until it hears that this entry knows of the limit. What it
		// granted counts as well, so nothing is saved up at the beginning.
		l.grantsFrom = s.now().Add(s.others.Told())
		perSecond, burst := s.granted(l)
		l.bucket = rate.NewLimiter(perSecond, burst)
		l.bucket.AllowN(l.grantsFrom, burst)
	}
	return granter
}

// order is where an entry stands among those that may grant permits for a start.
func order(start, entry string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(start))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(entry))
	// The last bytes of a text hardly change the high bits of its FNV sum.
	return mix(h.Sum64())
}

// mix spreads each bit of a number over all bits, as the end of SplitMix64 does.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// grant takes a permit out of what this entry may grant; it returns 0, or the time until one
// may be had. It needs the lock.
func (s *Set) grant(l *limit) time.Duration {
	now := s.now()
	if now.Before(l.grantsFrom) {
		return l.grantsFrom.Sub(now)
	}
	perSecond, burst := s.granted(l)
	l.bucket.SetLimitAt(now, perSecond)
	l.bucket.SetBurstAt(now, burst)
	if l.bucket.AllowN(now, 1) {
		return 0
	}
	lacks := 1 - l.bucket.TokensAt(now)
	return max(time.Duration(lacks/float64(perSecond)*float64(time.Second)), time.Microsecond)
}

// granted is what this entry grants while it is the granter: so many permits a second, and so
// many at once after a rest. It needs the lock.
func (s *Set) granted(l *limit) (perSecond rate.Limit, burst int) {
	perSecond = rate.Limit(max(l.rate*s.part(), leastRate))
	return perSecond, 1 + int(math.Ceil(float64(perSecond)*burstFor.Seconds()))
}

// part is the part of a limit that the entries which hear each other may use. On both sides of
// a cut one entry takes itself for the granter: only the side with most entries has the whole,
// and the others what their entries are of all. It needs the lock.
func (s *Set) part() float64 {
	if s.listed == 0 {
		return 0
	}
	heard := len(s.others.Heard()) + 1
	if 2*heard > s.listed {
		return 1
	}
	return float64(heard) / float64(s.listed)
}
