package limits

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// toldIn is the time within which all hear what they were urged to in these tests.
const toldIn = 300 * time.Millisecond

// post keeps what a Set sends.
type post struct {
	to       []string
	messages []Message
}

// newAmong returns the Set of an entry that hears others, all aware of limits, on a clock.
func newAmong(c *clock, name string, p *post, others ...string) *Set {
	var heard []Entry
	for _, other := range others {
		heard = append(heard, Entry{Name: other, Life: "1"})
	}
	s := New(name, "1", Others{
		Heard: func() []Entry { return heard },
		Send: func(to string, m Message) {
			p.to, p.messages = append(p.to, to), append(p.messages, m)
		},
		Urge: func() {}, Told: func() time.Duration { return toldIn }, Way: func() time.Duration { return 0 },
	}, events.Nop(), c.now)
	s.Listed(len(others) + 1)
	for _, other := range others {
		s.Hear(other, Message{Life: "1", Knows: "1"}, c.at)
	}
	return s
}

// startGrantedBy returns the name of a start for which an entry grants among others.
func startGrantedBy(s *Set, entry string) string {
	for i := 0; ; i++ {
		start := fmt.Sprint("u", i)
		if s.granterOf(start, &limit{}) == entry {
			return start
		}
	}
}

// permits takes as many permits for the start u as there are.
func permits(t *testing.T, s *Set) int {
	t.Helper()
	for n := 0; ; n++ {
		if s.Take(t.Context(), "u") != nil {
			return n
		}
	}
}

// The entry that begins to grant saves up nothing at first, and begins only when the one before
// has heard of it: both together would grant too much.
func TestGrantingBegins(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newAmong(c, "a", &post{})
	s.Named("u", 10)
	if n := permits(t, s); n != 0 {
		t.Errorf("%d permits at once, want none", n)
	}
	c.pass(toldIn)
	if n := permits(t, s); n != 0 {
		t.Errorf("%d permits when it begins, want none", n)
	}
	c.pass(100 * time.Millisecond)
	if n := permits(t, s); n != 1 {
		t.Errorf("%d permits a tenth of a second later, want 1", n)
	}
	c.pass(time.Hour)
	if n := permits(t, s); n != 6 {
		t.Errorf("%d permits after a rest, want those of half a second and one", n)
	}
}

func TestWhatIsGranted(t *testing.T) {
	const lasts = 100 * time.Second
	for _, tc := range []struct {
		name   string
		rate   float64
		listed int
		want   int
	}{
		{"as much as it takes", 2, 1, 200},
		{"a little of one that takes nothing, to hear that this is over", 0, 1, 20},
		{"the part of a few that hear each other", 2, 4, 50},
		{"a little while nobody knows how many there are", 2, 0, 20},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			s := newAmong(c, "a", &post{})
			s.Listed(tc.listed)
			s.Named("u", tc.rate)
			got := permits(t, s)
			c.pass(toldIn)
			for end := c.at.Add(lasts); c.at.Before(end); c.pass(50 * time.Millisecond) {
				got += permits(t, s)
			}
			if got < tc.want-2 || got > tc.want+2 {
				t.Errorf("%d permits in %s, want %d", got, lasts, tc.want)
			}
		})
	}
}

func TestAnswers(t *testing.T) {
	c := &clock{at: time.Now()}
	p := &post{}
	s := newAmong(c, "a", p, "b", "c")
	own, other := startGrantedBy(s, "a"), startGrantedBy(s, "b")
	ask := func(id uint64, start string) Answer {
		t.Helper()
		w := encodeWord(Word{Start: start, Rate: 1, Named: c.at}, c.at)
		s.Hear("c", Message{Question: &Question{ID: id, Word: w}}, c.at)
		return *p.messages[len(p.messages)-1].Answer
	}
	if a := ask(1, other); a.Granted || a.WaitUS != elsewhere.Microseconds() {
		t.Errorf("answered %+v, want none: another entry grants", a)
	}
	if a := ask(2, own); a.Granted || a.WaitUS != toldIn.Microseconds() {
		t.Errorf("answered %+v, want none until all know who grants", a)
	}
	c.pass(toldIn)
	if a := ask(6, own); a.Granted {
		t.Errorf("answered %+v, want that nothing is saved up at the beginning", a)
	}
	c.pass(time.Second)
	first, second := ask(3, own), ask(3, own)
	if !first.Granted || first != second {
		t.Errorf("answered %+v and %+v to a question that came twice, want the same permit", first, second)
	}
	if a := ask(4, own); a.Granted || a.WaitUS <= 0 {
		t.Errorf("answered %+v, want a time to wait", a)
	}
	s.Unnamed(own, c.at.Add(time.Millisecond))
	c.pass(10 * time.Millisecond)
	s.Hear("c", Message{Question: &Question{ID: 5, Word: encodeWord(Word{Start: own, Rate: 1, Named: c.at.Add(-time.Second)}, c.at)}}, c.at)
	if a := p.messages[len(p.messages)-1].Answer; !a.Granted || a.Word.OverAgeUS == ageNever {
		t.Errorf("answered %+v, want that the limit is over", a)
	}
}

// A request must not wait for an entry that does not answer each time.
func TestNoAnswer(t *testing.T) {
	c := &clock{at: time.Now()}
	p := &post{}
	s := newAmong(c, "a", p, "b")
	start := startGrantedBy(s, "b")
	s.Named(start, 1)
	if err := s.Take(t.Context(), start); err == nil || len(p.messages) != 2 {
		t.Errorf("%v after %d questions, want none after two", err, len(p.messages))
	}
	if err := s.Take(t.Context(), start); err == nil || len(p.messages) != 2 {
		t.Errorf("%v after %d questions, want none without another question", err, len(p.messages))
	}
	c.pass(unanswered)
	if at := s.OpensAt(start); at.After(c.at) {
		t.Errorf("it asks again in %s, want now", at.Sub(c.at))
	}
}

// An entry that stops leaves granting to another one.
func TestGranterStops(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newAmong(c, "a", &post{}, "b")
	start := startGrantedBy(s, "a")
	s.Leave()
	if got := s.granterOf(start, &limit{}); got != "b" {
		t.Errorf("%s grants, want b", got)
	}
	alone := newAmong(c, "a", &post{})
	alone.Leave()
	if got := alone.granterOf(start, &limit{}); got != "a" {
		t.Errorf("%s grants, want a: there is no other", got)
	}
}

// Entries are equally likely to grant, also those whose names differ in the last letter only.
func TestGrantersAreSpread(t *testing.T) {
	c := &clock{at: time.Now()}
	var others []string
	for i := range 29 {
		others = append(others, fmt.Sprint("entry-", i))
	}
	s, counts := newAmong(c, "entry-29", &post{}, others...), map[string]int{}
	const starts = 3000
	for i := range starts {
		counts[s.granterOf(fmt.Sprint("i-", i), &limit{})]++
	}
	for name, n := range counts {
		if n < starts/30/2 || n > starts/30*2 {
			t.Errorf("%s grants for %d of %d starts, want about %d", name, n, starts, starts/30)
		}
	}
}

// Words that come late or lay in a buffer: that a limit is over counts from when it was said,
// and what cannot be is left out.
func TestWords(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name  string
		word  wireWord
		sent  time.Time
		named time.Duration
		over  time.Duration
	}{
		{"named", wireWord{Start: "u", Rate: 1, NamedAgeUS: 1000, OverAgeUS: ageNever}, now, time.Millisecond, -1},
		{"over", wireWord{Start: "u", Rate: 1, NamedAgeUS: 3000, OverAgeUS: 1000}, now.Add(-time.Second), 3 * time.Millisecond, 1001 * time.Millisecond},
		{"over, it is not known how long ago", wireWord{Start: "u", Rate: 1, NamedAgeUS: ageNever, OverAgeUS: 1000}, time.Time{}, -1, -1},
		{"of any age", wireWord{Start: "u", Rate: 1e300, NamedAgeUS: math.MaxInt64, OverAgeUS: math.MaxInt64}, now, mostAge, mostAge},
		{"negative", wireWord{Start: "u", Rate: -1, NamedAgeUS: 1000}, now, -1, -1},
		{"no name", wireWord{Rate: 1, NamedAgeUS: 1000}, now, -1, -1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := tc.word.decode(tc.sent, now)
			for _, x := range []struct {
				what string
				at   time.Time
				ago  time.Duration
			}{{"named", w.Named, tc.named}, {"over", w.Over, tc.over}} {
				if x.at.IsZero() != (x.ago < 0) || x.ago >= 0 && now.Sub(x.at) != x.ago {
					t.Errorf("%s at %v, want %s ago", x.what, x.at, x.ago)
				}
			}
		})
	}
}

// TestWhoMayGrant covers which of the other entries may grant permits.
func TestWhoMayGrant(t *testing.T) {
	for _, tc := range []struct {
		name string
		b    Entry
		told string
		may  bool
	}{
		{"one that told of limits", Entry{Name: "b", Life: "1"}, "1", true},
		{"one of an earlier release", Entry{Name: "b", Life: "1"}, "", false},
		{"one whose earlier life did", Entry{Name: "b", Life: "2"}, "1", false},
		{"one that stops", Entry{Name: "b", Life: "1", Stops: true}, "1", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			others := Alone()
			others.Heard = func() []Entry { return []Entry{tc.b} }
			s := New("a", "1", others, events.Nop(), c.now)
			s.Hear("b", Message{Life: tc.told}, c.at)
			granted := false
			for i := range 64 {
				granted = granted || s.granterOf(fmt.Sprint("u", i), &limit{}) == "b"
			}
			if granted != tc.may {
				t.Errorf("b grants for some of 64 upstreams: %v, want %v", granted, tc.may)
			}
		})
	}
}

func TestPeersAreBounded(t *testing.T) {
	c := &clock{at: time.Now()}
	s := newAmong(c, "a", &post{}, "b")
	for i := range 3 * mostPeers {
		s.Hear(fmt.Sprint("entry-", i), Message{Life: "1"}, c.at)
	}
	if len(s.peers) > mostPeers || s.peers["b"] == nil {
		t.Errorf("%d entries are remembered, want at most %d with the one that is heard", len(s.peers), mostPeers)
	}
}

func TestHowLongAnswersMakeWait(t *testing.T) {
	for _, tc := range []struct {
		us   int64
		want time.Duration
	}{{1500, 1500 * time.Microsecond}, {0, 0}, {-1, 0}, {math.MinInt64, 0}, {math.MaxInt64, mostWait}} {
		if got := (Answer{WaitUS: tc.us}).wait(); got != tc.want {
			t.Errorf("%d us make wait %s, want %s", tc.us, got, tc.want)
		}
	}
}
