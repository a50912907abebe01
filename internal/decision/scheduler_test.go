package decision

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// clock is a clock that a test sets.
type clock struct{ t time.Time }

func (c *clock) now() time.Time { return c.t }

func newTestScheduler(blocks int) (*Scheduler, *clock) {
	c := &clock{t: time.Unix(1000, 0)}
	return New(Settings{Blocks: blocks, BlockTokens: 16, Risk: 2.5}, c.now), c
}

func kinds(actions []Action) map[string]Kind {
	out := map[string]Kind{}
	for _, a := range actions {
		out[a.ID()] = a.Kind()
	}
	return out
}

// TestUsedBlocksMatchARecount runs random events and compares the incremental count of blocks
// in use with a recount, and the lists of streams with each other.
func TestUsedBlocksMatchARecount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, c := newTestScheduler(rapid.IntRange(20, 200).Draw(t, "blocks"))
		next := 0
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c.t = c.t.Add(10 * time.Millisecond)
			id := fmt.Sprint(rapid.IntRange(0, max(0, next-1)).Draw(t, "id"))
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				s.Arrive(Request{ID: fmt.Sprint(next), Account: fmt.Sprint(next % 3), Prompt: rapid.IntRange(1, 300).Draw(t, "prompt"), StartBy: c.t.Add(time.Minute)})
				next++
			case 1:
				if st := s.streams[id]; st != nil && st.state == running {
					for range 20 {
						s.Token(id)
					}
				}
			case 2:
				if st := s.streams[id]; st != nil && st.state == running {
					s.Finish(id)
				}
			case 3:
				s.Drop(id)
			}
			s.Decide()
			used := 0
			for _, st := range s.running {
				used += s.blocks(st.tokens())
				if st.state != running {
					t.Fatalf("stream %s among the running has state %d", st.req.ID, st.state)
				}
			}
			if used != s.used {
				t.Fatalf("%d blocks in use, recount %d", s.used, used)
			}
			if len(s.running)+len(s.waiting)+len(s.paused) != len(s.streams) {
				t.Fatal("a stream is in no list or in two")
			}
			if used > s.settings.Blocks && len(s.running) > 1 {
				t.Fatalf("%d of %d blocks with %d streams", used, s.settings.Blocks, len(s.running))
			}
		}
	})
}

// TestLengthsLearnAMixture checks the survival curve for a mixture of many short and few long
// answers.
func TestLengthsLearnAMixture(t *testing.T) {
	l := NewLengths()
	rng := rand.New(rand.NewPCG(1, 2))
	const streams = 4000
	over := 0
	for range streams {
		n := int(40 * math.Exp(0.5*rng.NormFloat64()))
		if rng.IntN(5) == 0 {
			n = int(1500 * math.Exp(0.5*rng.NormFloat64()))
		}
		if n >= 500 {
			over++
		}
		for bin, last := 0, -1; bin <= binOf(n); bin++ {
			if bin != last {
				l.recordEntered(bin)
				last = bin
			}
		}
		l.recordEnded(binOf(n))
	}
	truth := float64(over) / streams
	if got := l.Survive(1, 499); math.Abs(got-truth) > 0.05 {
		t.Errorf("P(500 or more) = %.3f, of the sample %.3f", got, truth)
	}
	if got := l.Survive(300, 200); got < 0.8 {
		t.Errorf("P(500 or more, given 300) = %.3f: long answers are not told from short ones", got)
	}
	for k := 1; k < 5000; k += 7 {
		if l.Survive(10, k+7) > l.Survive(10, k) {
			t.Fatalf("survival grows at %d", k)
		}
	}
}

// TestReportsCorrectUsedBlocks checks that the count follows reports of the engine, and that a
// report about a time before the history, which has no sample to compare with, does not change
// it.
func TestReportsCorrectUsedBlocks(t *testing.T) {
	s, c := newTestScheduler(1000)
	s.Arrive(Request{ID: "a", Prompt: 1600})
	s.Decide()
	for range 20 {
		at := c.t
		c.t = c.t.Add(50 * time.Millisecond)
		s.Decide()
		s.Report(150, at)
	}
	if got := s.Used(); got < 148 || got > 152 {
		t.Errorf("%d blocks in use, the engine reports 150", got)
	}
	before := s.Used()
	s.Report(900, c.t.Add(-time.Hour))
	if s.Used() != before {
		t.Error("a report older than the history changed the count")
	}
}

// TestWhichStreamIsPaused checks the choice of the stream to pause when memory runs short.
func TestWhichStreamIsPaused(t *testing.T) {
	grow := func(s *Scheduler, id string, n int) {
		for range n {
			s.Token(id)
		}
	}
	t.Run("the stream that the policy makes cheaper to pause", func(t *testing.T) {
		s, _ := newTestScheduler(200)
		s.Arrive(Request{ID: "dictation", Prompt: 800, GiveWay: 20})
		s.Arrive(Request{ID: "summary", Prompt: 800, GiveWay: 1})
		s.Decide()
		grow(s, "dictation", 1000)
		grow(s, "summary", 700)
		if got := kinds(s.Decide()); got["summary"] != Pause || got["dictation"] == Pause {
			t.Errorf("actions %v", got)
		}
	})
	t.Run("not the same stream over and over", func(t *testing.T) {
		s, c := newTestScheduler(140)
		s.Arrive(Request{ID: "a", Prompt: 100})
		s.Arrive(Request{ID: "b", Prompt: 100})
		s.Decide()
		pauses := map[string]int{}
		for range 400 {
			c.t = c.t.Add(time.Second)
			for id, k := range kinds(s.Decide()) {
				if k == Pause {
					pauses[id]++
				}
			}
			for _, st := range s.running {
				if st.generated < 1700 {
					s.Token(st.req.ID)
					st.generated += 9
					s.used = s.recountUsed()
				}
			}
		}
		if pauses["a"] > 3 || pauses["b"] > 3 {
			t.Errorf("pauses %v", pauses)
		}
	})
}

func (s *Scheduler) recountUsed() int {
	used := 0
	for _, st := range s.running {
		used += s.blocks(st.tokens())
	}
	return used
}

// TestRequestThatCannotStartInTimeIsRefused guards against requests that wait until StartBy
// although the backlog already shows that they cannot start by then.
func TestRequestThatCannotStartInTimeIsRefused(t *testing.T) {
	s, c := newTestScheduler(100)
	s.Arrive(Request{ID: "big", Prompt: 1500})
	s.Decide()
	for i := range 50 {
		s.Arrive(Request{ID: fmt.Sprint(i), Prompt: 300, StartBy: c.t.Add(20 * time.Second)})
	}
	refused := 0
	for range 50 {
		c.t = c.t.Add(100 * time.Millisecond)
		for _, a := range s.Decide() {
			if a.Kind() == Refuse {
				refused++
				if wait := a.RetryAt().Sub(c.t); wait < minRetryAfter || wait > maxRetryAfter {
					t.Fatalf("retry after %v", wait)
				}
			}
		}
	}
	if refused < 30 {
		t.Errorf("after 5 s of a standing queue %d of 50 are refused", refused)
	}
}

// TestLargeAccountCannotStarveSmallOnes guards against an account that fills the queue: one
// account sends ten times as much as each of nine others, before they do.
func TestLargeAccountCannotStarveSmallOnes(t *testing.T) {
	starts := func(fair bool) map[string]int {
		s, c := newTestScheduler(400)
		s.settings.NoFairness = !fair
		for i := range 200 {
			s.Arrive(Request{ID: fmt.Sprint("large-", i), Account: "large", Prompt: 200})
		}
		for a := range 9 {
			for i := range 20 {
				s.Arrive(Request{ID: fmt.Sprintf("small%d-%d", a, i), Account: fmt.Sprint("small", a), Prompt: 200})
			}
		}
		first := map[string]int{}
		for total := 0; total < 100; {
			c.t = c.t.Add(10 * time.Millisecond)
			for _, a := range s.Decide() {
				if a.Kind() == Admit {
					first[s.streams[a.ID()].req.Account]++
					total++
				}
			}
			for _, st := range s.running {
				s.Token(st.req.ID)
				s.Finish(st.req.ID)
				break
			}
		}
		return first
	}
	fair, unfair := starts(true), starts(false)
	t.Logf("of the first 100 starts the large account has %d, by arrival alone %d", fair["large"], unfair["large"])
	if fair["large"] > 15 {
		t.Errorf("the large account has %d of the first 100 starts; its share is 10", fair["large"])
	}
	for a := range 9 {
		if n := fair[fmt.Sprint("small", a)]; n < 8 {
			t.Errorf("small account %d has %d of the first 100 starts", a, n)
		}
	}
}

// TestTokenAllocatesNothing guards against allocations on the path of each output token.
func TestTokenAllocatesNothing(t *testing.T) {
	s, _ := newTestScheduler(100_000)
	s.Arrive(Request{ID: "a", Prompt: 100})
	s.Decide()
	if n := testing.AllocsPerRun(1000, func() { s.Token("a") }); n != 0 {
		t.Errorf("%v allocations a token", n)
	}
}

// BenchmarkDecide measures one decision with as many streams running as waiting.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{8, 64, 512} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, c := newTestScheduler(n * 20)
			for i := range 2 * n {
				s.Arrive(Request{ID: fmt.Sprint(i), Account: fmt.Sprint(i % 10), Prompt: 250, StartBy: c.t.Add(time.Hour)})
			}
			s.Decide()
			b.ReportAllocs()
			for b.Loop() {
				c.t = c.t.Add(time.Millisecond)
				s.Decide()
			}
		})
	}
}

func BenchmarkToken(b *testing.B) {
	s, _ := newTestScheduler(1 << 30)
	s.Arrive(Request{ID: "a", Prompt: 100})
	s.Decide()
	b.ReportAllocs()
	for b.Loop() {
		s.Token("a")
	}
}

// TestLengthsSkipBinsWithoutTokens records one token at a time, as the sidecar does. No stream
// can reach a bin that contains no whole number. If such bins kept the hazard of the prior,
// each new stream would look 29 % more likely to end at once.
func TestLengthsSkipBinsWithoutTokens(t *testing.T) {
	s, _ := newTestScheduler(1000)
	for i := range 1000 {
		id := fmt.Sprint(i)
		s.Arrive(Request{ID: id, Prompt: 10})
		s.Decide()
		for range 100 {
			s.Token(id)
		}
		s.Finish(id)
	}
	if got := s.lengthsFor("").Survive(0, 90); got < 0.95 {
		t.Errorf("P(90 or more) = %.3f, all streams had 100", got)
	}
}
