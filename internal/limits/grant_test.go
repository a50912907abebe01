package limits

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// spreadTime is the time within which an urgent round reaches all entries in these tests.
const spreadTime = 300 * time.Millisecond

// outbox records what a Set sends.
type outbox struct {
	to       []string
	messages []Message
}

// newWithPeers returns the Set of an entry that receives gossip from others, all of which support limits.
func newWithPeers(c *clock, name string, p *outbox, others ...string) *Set {
	var live []Entry
	for _, other := range others {
		live = append(live, Entry{Name: other, Life: "1"})
	}
	s := New(name, "1", Peers{
		LivePeers: func() []Entry { return live },
		Send: func(to string, m Message, _ time.Time) {
			p.to, p.messages = append(p.to, to), append(p.messages, m)
		},
		Broadcast: func() {}, BroadcastTime: func() time.Duration { return spreadTime }, RoundTrip: func() time.Duration { return 0 },
	}, events.Nop(), c.now)
	s.SetEntryCount(len(others) + 1)
	for _, other := range others {
		s.Receive(other, Message{Life: "1", Knows: "1"}, c.at)
	}
	return s
}

// incarnationGrantedBy returns an incarnation whose granter is the given entry.
func incarnationGrantedBy(s *Set, entry string) string {
	for i := 0; ; i++ {
		incarnation := fmt.Sprint("u", i)
		if s.granterOf(incarnation, &limit{}) == entry {
			return incarnation
		}
	}
}

// takeAll takes all available permits for the incarnation u and returns their number.
func takeAll(t *testing.T, s *Set) int {
	t.Helper()
	for n := 0; ; n++ {
		if s.Take(t.Context(), "u") != nil {
			return n
		}
	}
}

// Guards against too many permits when a new granter begins: it waits until the previous granter
// learned of it, and its bucket starts empty. Otherwise both grant permits at once.
func TestNewGranterWaitsAndStartsEmpty(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newWithPeers(c, "a", &outbox{})
	s.NoteLimit("u", 10)
	if n := takeAll(t, s); n != 0 {
		t.Errorf("%d permits at once, want none", n)
	}
	c.advance(spreadTime)
	if n := takeAll(t, s); n != 0 {
		t.Errorf("%d permits when granting begins, want none", n)
	}
	c.advance(100 * time.Millisecond)
	if n := takeAll(t, s); n != 1 {
		t.Errorf("%d permits a tenth of a second later, want 1", n)
	}
	c.advance(time.Hour)
	if n := takeAll(t, s); n != 6 {
		t.Errorf("%d permits after an idle hour, want those of half a second and one", n)
	}
}

func TestGrantedRate(t *testing.T) {
	const lasts = 100 * time.Second
	for _, tc := range []struct {
		name   string
		rate   float64
		listed int
		want   int
	}{
		{"the whole limit", 2, 1, 200},
		{"the least rate for a limit of 0, to notice that it is lifted", 0, 1, 20},
		{"the share of a minority of the entries", 2, 4, 50},
		{"the least rate while the number of entries is unknown", 2, 0, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			s := newWithPeers(c, "a", &outbox{})
			s.SetEntryCount(tc.listed)
			s.NoteLimit("u", tc.rate)
			got := takeAll(t, s)
			c.advance(spreadTime)
			for end := c.at.Add(lasts); c.at.Before(end); c.advance(50 * time.Millisecond) {
				got += takeAll(t, s)
			}
			if got < tc.want-2 || got > tc.want+2 {
				t.Errorf("%d permits in %s, want %d", got, lasts, tc.want)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	c := &clock{at: time.Now()}
	p := &outbox{}
	s := newWithPeers(c, "a", p, "b", "c")
	own, other := incarnationGrantedBy(s, "a"), incarnationGrantedBy(s, "b")
	ask := func(id uint64, incarnation string) Answer {
		t.Helper()
		w := encodeObservation(Observation{Start: incarnation, Rate: 1, AdvertisedAt: c.at}, c.at)
		s.Receive("c", Message{Question: &Question{ID: id, Word: w}}, c.at)
		return *p.messages[len(p.messages)-1].Answer
	}
	if a := ask(1, other); a.Granted || a.WaitUS != wrongGranterDelay.Microseconds() {
		t.Errorf("answered %+v, want no permit: another entry grants", a)
	}
	if a := ask(2, own); a.Granted || a.WaitUS != spreadTime.Microseconds() {
		t.Errorf("answered %+v, want no permit until all entries know the granter", a)
	}
	c.advance(spreadTime)
	if a := ask(6, own); a.Granted {
		t.Errorf("answered %+v, want no permit: the bucket starts empty", a)
	}
	c.advance(time.Second)
	first, second := ask(3, own), ask(3, own)
	if !first.Granted || first != second {
		t.Errorf("answered %+v and %+v to a repeated question, want the same permit", first, second)
	}
	if a := ask(4, own); a.Granted || a.WaitUS <= 0 {
		t.Errorf("answered %+v, want a time to wait", a)
	}
	s.NoteNoLimit(own, c.at.Add(time.Millisecond))
	c.advance(10 * time.Millisecond)
	s.Receive("c", Message{Question: &Question{ID: 5, Word: encodeObservation(Observation{Start: own, Rate: 1, AdvertisedAt: c.at.Add(-time.Second)}, c.at)}}, c.at)
	if a := p.messages[len(p.messages)-1].Answer; !a.Granted || a.Word.OverAgeUS == neverAge {
		t.Errorf("answered %+v, want that the limit is lifted", a)
	}
}

// Guards against a wait in each request for a granter that does not answer.
func TestNoAnswer(t *testing.T) {
	c := &clock{at: time.Now()}
	p := &outbox{}
	s := newWithPeers(c, "a", p, "b")
	incarnation := incarnationGrantedBy(s, "b")
	s.NoteLimit(incarnation, 1)
	if err := s.Take(t.Context(), incarnation); err == nil || len(p.messages) != 2 {
		t.Errorf("%v after %d questions, want an error after two", err, len(p.messages))
	}
	if err := s.Take(t.Context(), incarnation); err == nil || len(p.messages) != 2 {
		t.Errorf("%v after %d questions, want an error without another question", err, len(p.messages))
	}
	c.advance(noAnswerPause)
	if at := s.OpensAt(incarnation); at.After(c.at) {
		t.Errorf("the next question may go in %s, want now", at.Sub(c.at))
	}
}

// An entry that stops leaves the granting to another one, if there is one.
func TestStoppingGranterHandsOver(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newWithPeers(c, "a", &outbox{}, "b")
	incarnation := incarnationGrantedBy(s, "a")
	s.StopGranting()
	if got := s.granterOf(incarnation, &limit{}); got != "b" {
		t.Errorf("%s grants, want b", got)
	}
	alone := newWithPeers(c, "a", &outbox{})
	alone.StopGranting()
	if got := alone.granterOf(incarnation, &limit{}); got != "a" {
		t.Errorf("%s grants, want a: there is no other entry", got)
	}
}

// Entries become the granter equally often, even if their names differ only in the last letter.
func TestGrantersAreSpread(t *testing.T) {
	c := &clock{at: time.Now()}
	var others []string
	for i := range 29 {
		others = append(others, fmt.Sprint("entry-", i))
	}
	s, counts := newWithPeers(c, "entry-29", &outbox{}, others...), map[string]int{}
	const incarnations = 3000
	for i := range incarnations {
		counts[s.granterOf(fmt.Sprint("i-", i), &limit{})]++
	}
	for name, n := range counts {
		if n < incarnations/30/2 || n > incarnations/30*2 {
			t.Errorf("%s grants for %d of %d incarnations, want about %d", name, n, incarnations, incarnations/30)
		}
	}
}

// Observations may arrive late or wait in a buffer. The time without a limit counts from when the
// message was sent, and invalid observations are dropped.
func TestDecodeObservation(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name    string
		encoded wireObservation
		sent    time.Time
		named   time.Duration
		over    time.Duration
	}{
		{"advertised", wireObservation{Start: "u", Rate: 1, NamedAgeUS: 1000, OverAgeUS: neverAge}, now, time.Millisecond, -1},
		{"no limit", wireObservation{Start: "u", Rate: 1, NamedAgeUS: 3000, OverAgeUS: 1000}, now.Add(-time.Second), 3 * time.Millisecond, 1001 * time.Millisecond},
		{"no limit, sent at an unknown time", wireObservation{Start: "u", Rate: 1, NamedAgeUS: neverAge, OverAgeUS: 1000}, time.Time{}, -1, -1},
		{"ages and rate out of bounds", wireObservation{Start: "u", Rate: 1e300, NamedAgeUS: math.MaxInt64, OverAgeUS: math.MaxInt64}, now, maxAge, maxAge},
		{"negative rate", wireObservation{Start: "u", Rate: -1, NamedAgeUS: 1000}, now, -1, -1},
		{"no incarnation", wireObservation{Rate: 1, NamedAgeUS: 1000}, now, -1, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := tc.encoded.decode(tc.sent, now)
			for _, x := range []struct {
				what string
				at   time.Time
				ago  time.Duration
			}{{"advertised", w.AdvertisedAt, tc.named}, {"no limit", w.NoLimitAt, tc.over}} {
				if x.at.IsZero() != (x.ago < 0) || x.ago >= 0 && now.Sub(x.at) != x.ago {
					t.Errorf("%s at %v, want %s ago", x.what, x.at, x.ago)
				}
			}
		})
	}
}

// TestGranterCandidates checks which of the other entries may grant permits.
func TestGranterCandidates(t *testing.T) {
	for _, tc := range []struct {
		name     string
		b        Entry
		sentLife string
		eligible bool
	}{
		{"it sent messages about limits", Entry{Name: "b", Life: "1"}, "1", true},
		{"it is of an earlier release", Entry{Name: "b", Life: "1"}, "", false},
		{"its earlier incarnation sent messages about limits", Entry{Name: "b", Life: "2"}, "1", false},
		{"it is stopping", Entry{Name: "b", Life: "1", Stops: true}, "1", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			others := Alone()
			others.LivePeers = func() []Entry { return []Entry{tc.b} }
			s := New("a", "1", others, events.Nop(), c.now)
			s.Receive("b", Message{Life: tc.sentLife}, c.at)
			granted := false
			for i := range 64 {
				granted = granted || s.granterOf(fmt.Sprint("u", i), &limit{}) == "b"
			}
			if granted != tc.eligible {
				t.Errorf("b grants for some of 64 upstreams: %v, want %v", granted, tc.eligible)
			}
		})
	}
}

func TestPeersAreBounded(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newWithPeers(c, "a", &outbox{}, "b")
	for i := range 3 * maxPeers {
		s.Receive(fmt.Sprint("entry-", i), Message{Life: "1"}, c.at)
	}
	if len(s.peers) > maxPeers || s.peers["b"] == nil {
		t.Errorf("%d entries are kept, want at most %d with the live one", len(s.peers), maxPeers)
	}
}

func TestAnswerWaitIsBounded(t *testing.T) {
	for _, tc := range []struct {
		us   int64
		want time.Duration
	}{{1500, 1500 * time.Microsecond}, {0, 0}, {-1, 0}, {math.MinInt64, 0}, {math.MaxInt64, maxWait}} {
		if got := (Answer{WaitUS: tc.us}).wait(); got != tc.want {
			t.Errorf("%d us: wait %s, want %s", tc.us, got, tc.want)
		}
	}
}
