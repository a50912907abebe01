package quarantine

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// TestRequestThatCrossedAnEnd covers one that was sent just after its upstream ended, on a kept
// connection: it ran at no later start.
func TestRequestThatCrossedAnEnd(t *testing.T) {
	f := newTestSet(t)
	f.end("1", f.begin("a"))
	f.clock = f.clock.Add(backLeast / 2)
	f.ends("b", "1")
	for _, v := range f.List() {
		if !slices.Equal(v.Ends, []string{"1"}) {
			t.Errorf("ends %v, want that of 1", v.Ends)
		}
	}
}

// TestExplainedByTwo covers a request whose ends two others explain together: it may end upstreams
// as they do, and runs once at a time. One that explains all of them frees it.
func TestExplainedByTwo(t *testing.T) {
	for _, tc := range []struct {
		name string
		// beside are the starts at which the request runs beside each of the others.
		beside     map[string][]string
		restrained bool
	}{
		{"one explains both ends", map[string][]string{"x": {"1", "2"}}, false},
		{"each explains one", map[string][]string{"x": {"1"}, "y": {"4"}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			for name, starts := range tc.beside {
				for _, start := range starts {
					f.end(start, f.begin(name, "bystander"))
				}
			}
			f.clock = f.clock.Add(settleWithin)
			for name := range tc.beside {
				err := error(nil)
				for i := len(tc.beside[name]); i < mostUnclear && !errors.Is(err, ErrHeld); i++ {
					f.ends(name, name+strconv.Itoa(i))
					f.clock = f.clock.Add(newsWithin)
					var r *Run
					if r, err = f.Enter(t.Context(), request(name), 0); err == nil {
						r.Leave()
					}
				}
				if !errors.Is(err, ErrHeld) {
					t.Fatalf("%s: %v, want %v", name, err, ErrHeld)
				}
			}
			f.enter("bystander")
			if _, err := f.Enter(t.Context(), request("bystander"), 0); errors.Is(err, ErrOnTrial) != tc.restrained {
				t.Errorf("beside a run of it: %v, want restrained %v", err, tc.restrained)
			}
		})
	}
}

// TestTurns covers that entries that hear of each other take turns with a request under which
// three upstreams ended, so that not all of them try it at once.
func TestTurns(t *testing.T) {
	const entries = 4
	clock := time.Now()
	var sets []*Set
	for i := range entries {
		s := New(events.Nop(), func() time.Time { return clock }, func() {})
		s.SetName("entry-" + strconv.Itoa(i))
		sets = append(sets, s)
	}
	word := Word{Request: request("a"), Ends: map[string]time.Time{}}
	for _, start := range []string{"1", "2", "3"} {
		word.Ends[start] = clock
		word.First = append(word.First, start)
	}
	tried := map[int]int{}
	for clock = clock.Add(newsWithin); len(tried) < entries && clock.Before(word.Ends["1"].Add(time.Minute)); clock = clock.Add(100 * time.Millisecond) {
		at := 0
		for i, s := range sets {
			for j := range sets {
				if j != i {
					s.Hear("entry-"+strconv.Itoa(j), nil)
				}
			}
			s.Hear("entry-"+strconv.Itoa((i+1)%entries), []Word{word, {Request: request("b"), Ends: word.Ends, First: word.First}})
			if r, err := s.Enter(t.Context(), request("a"), 0); err == nil {
				at++
				tried[i]++
				r.Leave()
			}
		}
		if at > 1 {
			t.Fatalf("%d entries try it at once", at)
		}
	}
	if len(tried) < entries {
		t.Errorf("entries %v got a turn in a minute, want all", tried)
	}
}

// TestTrialsAreTold covers that entries tell where suspects run, so that others keep theirs away,
// and how they ran at ends.
func TestTrialsAreTold(t *testing.T) {
	a, b := newTestSet(t), newTestSet(t)
	a.ends("s", "1")
	run := a.enter("s")
	run.SentTo("up")
	told := a.Tell()
	messages, runs := Encode(told, a.clock), EncodeRuns(told)
	words := Decode(messages, b.clock)
	AddRuns(words, runs)
	b.Hear("a", words)
	if trials := b.Trials(); !trials["up"] || len(trials) != 1 {
		t.Errorf("trials %v, want one at up", trials)
	}
	if kind := b.suspects[named("s")].ends["1"].kind; kind != firstRun {
		t.Errorf("the end is known as of kind %d, want %d", kind, firstRun)
	}
	if got := run.Isolation(); got != ApartIfPossible {
		t.Errorf("isolation %d after one end, want %d", got, ApartIfPossible)
	}
	run.Broke("up")
	a.Ended("up")
	run.Leave()
	if got := a.enter("s").Isolation(); got != Apart {
		t.Errorf("isolation %d after two ends, want %d", got, Apart)
	}
	if len(a.Trials()) != 0 {
		t.Errorf("trials %v after the run", a.Trials())
	}
}

// TestRunsJoinInAnyOrder covers two entries that tell of runs at one end in different ways: an entry
// of the release before that only repeats it, and one at which the request ran there as well.
func TestRunsJoinInAnyOrder(t *testing.T) {
	end := func(first, tried []string) Word {
		return Word{Request: request("a"), Ends: map[string]time.Time{"1": time.Now()}, First: first, Tried: tried}
	}
	words := []Word{end(nil, nil), end(nil, []string{"1"}), end([]string{"1"}, nil)}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2}} {
		f := newTestSet(t)
		for _, i := range order {
			f.Hear("peer", []Word{words[i]})
		}
		if kind := f.suspects[named("a")].ends["1"].kind; kind != firstRun {
			t.Errorf("told in order %v: kind %d, want %d", order, kind, firstRun)
		}
	}
}
