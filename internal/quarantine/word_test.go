package quarantine

import (
	"errors"
	"maps"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/sparshore/sparshore/internal/events"
)

func TestNothingIsToldWhileNothingEnded(t *testing.T) {
	f := newTestSet(t)
	f.enter("a").Sent()
	if told := f.Tell(); told != nil {
		t.Errorf("told %v", told)
	}
}

// TestAnEntryThatStartsAnewLearns covers what an entry that begins long after the ends hears.
func TestAnEntryThatStartsAnewLearns(t *testing.T) {
	for _, tc := range []struct {
		name string
		ends []string
		want error
	}{
		{"of one that is held", []string{"1", "2", "3"}, ErrHeld},
		{"of two ends", []string{"1", "2"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			f.ends("a", tc.ends...)
			f.clock = f.clock.Add(time.Minute)
			g := newTestSet(t)
			g.clock = f.clock
			g.Hear("f", f.Tell())
			if err := g.refused(); !errors.Is(err, tc.want) {
				t.Errorf("%v, want %v", err, tc.want)
			}
			if n := len(g.suspects[named("a")].live()); n != len(tc.ends) {
				t.Errorf("%d ends known, want %d", n, len(tc.ends))
			}
		})
	}
}

// TestClearedElsewhere covers that all know when a request was served.
func TestClearedElsewhere(t *testing.T) {
	f, g := newTestSet(t), newTestSet(t)
	f.ends("a", "1", "2", "3")
	g.Hear("f", f.Tell())
	f.clock, g.clock = f.clock.Add(holdLeast+time.Second), g.clock.Add(holdLeast+time.Second)
	old := f.Tell()
	r := g.enter("a")
	r.Served()
	r.Leave()
	f.Hear("g", g.Tell())
	f.Hear("late", old)
	f.enter("a").Leave()
}

// TestWordsJoinInAnyOrder lets entries see ends and good answers and tell each other of them
// late, twice and in any order: once all heard of everything they believe the same, a request
// under which three upstreams ended since it was last served is held, and none that was
// served is.
func TestWordsJoinInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		entries := make([]*Set, 3)
		for i := range entries {
			entries[i] = New(events.Nop(), func() time.Time { return now }, func() {})
		}
		type message struct {
			from, to int
			words    []Word
		}
		var late []message
		tell := func(from int) {
			for to := range entries {
				if to != from {
					late = append(late, message{from, to, entries[from].Tell()})
				}
			}
		}
		next, passed := 0, 0
		names := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"an upstream ends": func(t *rapid.T) {
				if next == mostEnds {
					t.Skip("more are not remembered")
				}
				e := rapid.IntRange(0, 2).Draw(t, "entry")
				next++
				for _, name := range names[:rapid.IntRange(1, 3).Draw(t, "requests")] {
					run := &Run{set: entries[e], request: request(name)}
					run.Broke(strconv.Itoa(next))
				}
				entries[e].Ended(strconv.Itoa(next))
				tell(e)
			},
			"a request is served": func(t *rapid.T) {
				e := rapid.IntRange(0, 2).Draw(t, "entry")
				run := &Run{set: entries[e], request: request(rapid.SampledFrom(names).Draw(t, "name"))}
				run.Served()
				tell(e)
			},
			"time passes": func(t *rapid.T) {
				if passed++; passed > 4 {
					t.Skip("ends are no longer told")
				}
				now = now.Add(servedFor)
			},
			"a message arrives": func(t *rapid.T) {
				if len(late) == 0 {
					t.Skip("none is under way")
				}
				i := rapid.IntRange(0, len(late)-1).Draw(t, "message")
				m := late[i]
				entries[m.to].Hear(strconv.Itoa(m.from), m.words)
				if rapid.Bool().Draw(t, "once") {
					late = slices.Delete(late, i, i+1)
				}
			},
			"": func(*rapid.T) {},
		})
		// Each end or answer may be told in one message only: all arrive, and then all tell
		// what they know by now.
		for range len(entries) {
			for _, m := range late {
				entries[m.to].Hear(strconv.Itoa(m.from), m.words)
			}
			late = nil
			for e := range entries {
				tell(e)
			}
		}
		for _, name := range names {
			want := liveOf(entries[0], name)
			for i, e := range entries {
				if got := liveOf(e, name); !maps.Equal(got, want) {
					t.Fatalf("entry %d knows the ends %v of %s, entry 0 %v", i, got, name, want)
				}
				u, known := e.suspects[named(name)]
				if known && !u.held.IsZero() && len(u.live()) < verdictEnds {
					t.Fatalf("%s is held for %v", name, u.live())
				}
			}
		}
	})
}

// BenchmarkHear is a message of which all is known, with as many requests as one may hold.
func BenchmarkHear(b *testing.B) {
	s := New(events.Nop(), time.Now, func() {})
	for i := range mostTold {
		run := &Run{set: s, request: request(strconv.Itoa(i))}
		for _, start := range []string{"1", "2", "3"} {
			run.Broke(start + strconv.Itoa(i))
			s.Ended(start + strconv.Itoa(i))
		}
	}
	words := s.Tell()
	for b.Loop() {
		s.Hear("peer", words)
	}
}

func liveOf(s *Set, name string) map[string]bool {
	out := map[string]bool{}
	if u, ok := s.suspects[named(name)]; ok {
		for _, start := range u.live() {
			out[start] = true
		}
	}
	return out
}
