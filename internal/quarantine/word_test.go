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

func TestNoGossipWithoutCrashes(t *testing.T) {
	f := newTestSet(t)
	f.enter("a").Sent()
	if reports := f.Reports(); reports != nil {
		t.Errorf("reported %v", reports)
	}
}

// TestNewEntryLearnsFromGossip covers what an entry learns that starts long after the crashes.
func TestNewEntryLearnsFromGossip(t *testing.T) {
	for _, tc := range []struct {
		name    string
		crashes []string
		want    error
	}{
		{"a quarantined request", []string{"1", "2", "3"}, ErrQuarantined},
		{"a request with two crashes", []string{"1", "2"}, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			f.crashUnder("a", tc.crashes...)
			f.clock = f.clock.Add(time.Minute)
			g := newTestSet(t)
			g.clock = f.clock
			g.Merge("f", f.Reports())
			if err := g.enterError(); !errors.Is(err, tc.want) {
				t.Errorf("%v, want %v", err, tc.want)
			}
			if n := len(g.suspects[named("a")].activeCrashes()); n != len(tc.crashes) {
				t.Errorf("%d crashes known, want %d", n, len(tc.crashes))
			}
		})
	}
}

// TestClearanceReachesOtherEntries covers that a request served at one entry is cleared at the
// others, and that a late message does not bring its crashes back.
func TestClearanceReachesOtherEntries(t *testing.T) {
	f, g := newTestSet(t), newTestSet(t)
	f.crashUnder("a", "1", "2", "3")
	g.Merge("f", f.Reports())
	f.clock, g.clock = f.clock.Add(minQuarantine+time.Second), g.clock.Add(minQuarantine+time.Second)
	old := f.Reports()
	r := g.enter("a")
	r.Served()
	r.Leave()
	f.Merge("g", g.Reports())
	f.Merge("late", old)
	f.enter("a").Leave()
}

// TestReportsMergeInAnyOrder lets entries see crashes and complete responses and exchange reports
// late, repeatedly and in any order. Once all reports have arrived, all entries must have the same
// crashes, and only requests with three crashes since they were last served may be quarantined.
func TestReportsMergeInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Now()
		entries := make([]*Set, 3)
		for i := range entries {
			entries[i] = New(events.Nop(), func() time.Time { return now }, func() {})
		}
		type message struct {
			from, to int
			reports  []Report
		}
		var pending []message
		send := func(from int) {
			for to := range entries {
				if to != from {
					pending = append(pending, message{from, to, entries[from].Reports()})
				}
			}
		}
		crashed, advances := 0, 0
		names := []string{"a", "b", "c"}
		t.Repeat(map[string]func(*rapid.T){
			"an upstream crashes": func(t *rapid.T) {
				if crashed == maxCrashes {
					t.Skip("no more crashes are remembered")
				}
				e := rapid.IntRange(0, 2).Draw(t, "entry")
				crashed++
				for _, name := range names[:rapid.IntRange(1, 3).Draw(t, "requests")] {
					run := &Run{set: entries[e], request: request(name)}
					run.ResponseLost(strconv.Itoa(crashed))
				}
				entries[e].ConfirmCrash(strconv.Itoa(crashed))
				send(e)
			},
			"a request is served": func(t *rapid.T) {
				e := rapid.IntRange(0, 2).Draw(t, "entry")
				run := &Run{set: entries[e], request: request(rapid.SampledFrom(names).Draw(t, "name"))}
				run.Served()
				send(e)
			},
			"time passes": func(t *rapid.T) {
				if advances++; advances > 4 {
					t.Skip("crashes are no longer reported")
				}
				now = now.Add(servedTTL)
			},
			"a message arrives": func(t *rapid.T) {
				if len(pending) == 0 {
					t.Skip("no message is pending")
				}
				i := rapid.IntRange(0, len(pending)-1).Draw(t, "message")
				m := pending[i]
				entries[m.to].Merge(strconv.Itoa(m.from), m.reports)
				if rapid.Bool().Draw(t, "once") {
					pending = slices.Delete(pending, i, i+1)
				}
			},
			"": func(*rapid.T) {},
		})
		// Some crashes and responses may be in a single message. Deliver all pending messages, then
		// let all entries report what they have recorded by now.
		for range len(entries) {
			for _, m := range pending {
				entries[m.to].Merge(strconv.Itoa(m.from), m.reports)
			}
			pending = nil
			for e := range entries {
				send(e)
			}
		}
		for _, name := range names {
			want := activeCrashesOf(entries[0], name)
			for i, e := range entries {
				if got := activeCrashesOf(e, name); !maps.Equal(got, want) {
					t.Fatalf("entry %d has the crashes %v of %s, entry 0 %v", i, got, name, want)
				}
				u, known := e.suspects[named(name)]
				if known && !u.quarantinedAt.IsZero() && len(u.activeCrashes()) < quarantineThreshold {
					t.Fatalf("%s is quarantined for %v", name, u.activeCrashes())
				}
			}
		}
	})
}

// BenchmarkHear merges a message without changes that has the maximum number of requests.
func BenchmarkHear(b *testing.B) {
	s := New(events.Nop(), time.Now, func() {})
	for i := range maxReports {
		run := &Run{set: s, request: request(strconv.Itoa(i))}
		for _, incarnation := range []string{"1", "2", "3"} {
			run.ResponseLost(incarnation + strconv.Itoa(i))
			s.ConfirmCrash(incarnation + strconv.Itoa(i))
		}
	}
	reports := s.Reports()
	for b.Loop() {
		s.Merge("peer", reports)
	}
}

func activeCrashesOf(s *Set, name string) map[string]bool {
	out := map[string]bool{}
	if u, ok := s.suspects[named(name)]; ok {
		for _, incarnation := range u.activeCrashes() {
			out[incarnation] = true
		}
	}
	return out
}
