package placement

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/routetable"
)

const ms = time.Millisecond

// mixedSpeeds returns a profile of three engines: a fast, a typical and a slow one, in a service in which
// every twentieth segment of a stream pauses for five times the engine's pace.
func mixedSpeeds(at time.Time) *pace.Profile {
	s := pace.New(func(pace.Change) {})
	for id, interval := range map[string]time.Duration{"fast": 18 * ms, "typical": 28 * ms, "slow": 47 * ms} {
		for i := range 100 {
			longest := interval
			if i%20 == 0 {
				longest = 5 * interval
			}
			s.Add(pace.Segment{Engine: id, Service: "llm", Interval: interval, Longest: longest, Bound: 180 * ms, Reading: i%4 == 0}, at)
		}
	}
	return s.Profile("llm", at.Add(time.Second))
}

func paceView(p *pace.Profile) *View {
	return &View{Zone: "a", Now: time.Unix(2000, 0), ReadToken: 100 * time.Microsecond, Pace: p,
		Delay: func(string) time.Duration { return 0 }, Random: func() float64 { return 0.5 }}
}

// engineAt returns an idle engine with a number of streams.
func engineAt(id string, streams int) Candidate {
	return Candidate{
		Upstream: fleet.Upstream{Record: fleet.Record{ID: id, Zone: "a"}},
		Load:     gossip.Load{Running: streams, Tokens: 3700 * streams, Held: 3200 * streams},
	}
}

var (
	testEngine      = &routetable.Engine{Slots: 24, MemoryTokens: 26000, EventTokens: 4}
	longGeneration  = Generation{Engine: testEngine, Prompt: 3000, Output: 750, MaxPause: 180 * ms, StartBy: 1500 * ms}
	shortGeneration = Generation{Engine: testEngine, Prompt: 2200, Output: 10, MaxPause: 180 * ms, StartBy: 1200 * ms, Brief: true}
)

// TestPlacementByPace replays the choices that arise when long streams and short answers share engines of
// different speeds. It guards against long streams on engines that pause them for too long, and against
// prompts beside streams that they would pause, while another engine has room.
func TestPlacementByPace(t *testing.T) {
	known := mixedSpeeds(time.Unix(1000, 0))
	for _, tt := range []struct {
		name string
		pace *pace.Profile
		g    Generation
		list []Candidate
		want string
	}{
		{"a long stream avoids an idle slow engine", known, longGeneration, []Candidate{engineAt("slow", 0), engineAt("typical", 4)}, "typical"},
		{"a long stream goes to the slow engine when the others are full", known, longGeneration, []Candidate{engineAt("slow", 0), engineAt("typical", 8)}, "slow"},
		{"a long stream prefers a known engine to a new one", known, longGeneration, []Candidate{engineAt("new", 0), engineAt("typical", 2)}, "typical"},
		{"a short answer uses the idle slow engine", known, shortGeneration, []Candidate{engineAt("slow", 0), engineAt("fast", 6)}, "slow"},
		{"a short answer avoids the one stream of a slow engine", known, shortGeneration, []Candidate{engineAt("slow", 1), engineAt("typical", 5)}, "typical"},
		{"a fast engine takes more work than a typical one", known, longGeneration, []Candidate{engineAt("typical", 2), engineAt("fast", 4)}, "fast"},
		{"but not all of it", known, longGeneration, []Candidate{engineAt("typical", 0), engineAt("fast", 6)}, "typical"},
		{"a short answer avoids the streams of a slow engine", known, shortGeneration, []Candidate{engineAt("slow", 2), engineAt("fast", 4)}, "fast"},
		{"nothing is known", nil, longGeneration, []Candidate{engineAt("slow", 0), engineAt("typical", 4)}, "slow"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			u, err := paceView(tt.pace).Admit(tt.list, &tt.g, float64(testEngine.MemoryTokens))
			if err != nil || u.ID != tt.want {
				t.Errorf("got %q (%v), want %q", u.ID, err, tt.want)
			}
		})
	}
}

// TestLargePromptAvoidsSlowReader guards against a late first event: a prompt that a slow engine reads in
// time only if nothing goes wrong goes to an engine that reads it faster.
func TestLargePromptAvoidsSlowReader(t *testing.T) {
	s := pace.New(func(pace.Change) {})
	now := time.Unix(1000, 0)
	for i := range 200 {
		for id, interval := range map[string]time.Duration{"fast": 18 * ms, "typical": 28 * ms, "slow": 47 * ms} {
			s.Add(pace.Segment{Engine: id, Service: "llm", Interval: interval, Longest: interval, Bound: 180 * ms}, now)
		}
		s.AddStart("llm", time.Duration(1+i%4)*100*ms, 100*ms)
	}
	v := paceView(s.Profile("llm", now.Add(time.Second)))
	g := shortGeneration
	g.Prompt = 5000
	for id, streams := range map[string]int{"fast": 2, "typical": 5} {
		u, err := v.Admit([]Candidate{engineAt("slow", 0), engineAt(id, streams)}, &g, float64(testEngine.MemoryTokens))
		if err != nil || u.ID != id {
			t.Errorf("got %q (%v), want the %s engine", u.ID, err, id)
		}
	}
}

// TestTargetByPace guards against moving streams of an engine that leaves to one that pauses them for too
// long, while another one has room; a slow engine is better than none.
func TestTargetByPace(t *testing.T) {
	v := paceView(mixedSpeeds(time.Unix(1000, 0)))
	g := Generation{Engine: testEngine, Prompt: 3200, Output: 600, MaxPause: 180 * ms, Copied: true, Repeatable: true}
	if u, ok := v.Target([]Candidate{engineAt("slow", 0), engineAt("typical", 4)}, &g, "a"); !ok || u.ID != "typical" {
		t.Errorf("got %q (%v), want the typical engine", u.ID, ok)
	}
	if u, ok := v.Target([]Candidate{engineAt("slow", 0), engineAt("typical", 8)}, &g, "a"); !ok || u.ID != "slow" {
		t.Errorf("got %q (%v), want the slow engine, which alone has room", u.ID, ok)
	}
}

// TestRelocate: a stream leaves an engine on which it is likely to pause for too long, if a known engine
// has room that lowers the risk by more than a move costs.
func TestRelocate(t *testing.T) {
	v := paceView(mixedSpeeds(time.Unix(1000, 0)))
	long := Generation{Engine: testEngine, Prompt: 3200, Output: 600, MaxPause: 180 * ms, Copied: true, Repeatable: true}
	ending := long
	ending.Output = 12
	unbounded := long
	unbounded.MaxPause = 0
	for _, tt := range []struct {
		name string
		g    Generation
		from string
		list []Candidate
		want string
	}{
		{"from slow to fast", long, "slow", []Candidate{engineAt("fast", 2)}, "fast"},
		{"nearly at its end", ending, "slow", []Candidate{engineAt("fast", 2)}, ""},
		{"without a bound", unbounded, "slow", []Candidate{engineAt("fast", 2)}, ""},
		{"no room", long, "slow", []Candidate{engineAt("fast", 8)}, ""},
		{"to a new engine", long, "slow", []Candidate{engineAt("new", 0)}, ""},
		{"to another slow engine", long, "slow", []Candidate{engineAt("slow", 0)}, ""},
		{"from an engine in time", long, "typical", []Candidate{engineAt("fast", 0)}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			from := fleet.Upstream{Record: fleet.Record{ID: tt.from, Zone: "a"}}
			if u, _ := v.Relocate(tt.list, &tt.g, from, float64(testEngine.MemoryTokens)); u.ID != tt.want {
				t.Errorf("got %q, want %q", u.ID, tt.want)
			}
		})
	}
}
