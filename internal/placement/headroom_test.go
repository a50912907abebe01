package placement

import (
	"errors"
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// headroomEngine describes the engines in these tests.
var headroomEngine = &routetable.Engine{Slots: 24, MemoryTokens: 27000, EventTokens: 4}

const (
	// briefTokens is the memory that a brief generation takes in these tests, and briefHold the
	// time for which it holds it.
	briefTokens = 2212
	briefHold   = 500 * time.Millisecond
)

func briefOfRank(r Rank) *Generation {
	return &Generation{Engine: headroomEngine, Prompt: briefTokens - 12, Output: 12, Brief: true, Rank: r}
}

func longOfRank(r Rank) *Generation {
	return &Generation{Engine: headroomEngine, Prompt: 3000, Output: 748, Rank: r}
}

// arrive records arrivals at a constant interval over a time that ends at end.
func arrive(f *BriefForecast, g *Generation, interval, over time.Duration, end time.Time) {
	for t := over; t > 0; t -= interval {
		f.Arrived(g, briefHold, end.Add(-t))
	}
}

// TestHeadroomFollowsArrivals checks that memory is reserved in proportion to the brief generations
// of at least the same urgency. Too little lets long generations fill all engines, so that urgent
// ones start late; too much, or a reserve without need, refuses long ones for nothing.
func TestHeadroomFollowsArrivals(t *testing.T) {
	const engines = 48
	urgent, normal := Rank{Route: 0}, Rank{Route: 1}
	// A rate of 40 a second means 20 at once, with a standard deviation of 4.47.
	const places = 2 * 4.47
	for _, tc := range []struct {
		name     string
		arriving *Generation
		// perSecond is the rate over all gateways, and later the time since the last arrival.
		perSecond float64
		gateways  int
		later     time.Duration
		asking    *Generation
		min, max  float64
	}{
		{"no brief generations", briefOfRank(urgent), 0, 4, 0, longOfRank(normal), 0, 0},
		{"only long generations", longOfRank(urgent), 40, 4, 0, longOfRank(normal), 0, 0},
		{"brief ones of lower rank", briefOfRank(Rank{Route: 2}), 40, 4, 0, longOfRank(normal), 0, 0},
		{"brief ones of a less urgent account", briefOfRank(Rank{Account: 2}), 40, 4, 0, longOfRank(Rank{Account: 1, Route: 3}), 0, 0},
		{"brief ones of a more urgent account", briefOfRank(Rank{Account: 0, Route: 3}), 40, 4, 0, longOfRank(Rank{Account: 1}), 0.8 * places, 1.2 * places},
		{"equal rank", briefOfRank(normal), 40, 4, 0, longOfRank(normal), 0.8 * places, 1.2 * places},
		{"one gateway", briefOfRank(urgent), 40, 1, 0, longOfRank(normal), 0.8 * places, 1.2 * places},
		{"30 gateways", briefOfRank(urgent), 40, 30, 0, longOfRank(normal), 0.7 * places, 1.3 * places},
		{"300 gateways", briefOfRank(urgent), 40, 300, 0, longOfRank(normal), 0.5 * places, 1.5 * places},
		{"none for brief generations", briefOfRank(urgent), 40, 4, 0, briefOfRank(normal), 0, 0},
		{"arrivals that ended long ago", briefOfRank(urgent), 40, 4, 5 * time.Minute, longOfRank(normal), 0, 0.02 * places},
		{"at most a share of the memory", briefOfRank(urgent), 40000, 4, 0, longOfRank(normal),
			0.9 * engines * maxHeadroomShare * 27000 / (headroomSizeMargin * briefTokens), engines * maxHeadroomShare * 27000 / (headroomSizeMargin * briefTokens)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, now := &BriefForecast{}, time.Now()
			if tc.perSecond > 0 {
				interval := time.Duration(float64(tc.gateways) / tc.perSecond * float64(time.Second))
				arrive(f, tc.arriving, interval, 2*time.Minute, now)
			}
			h := f.Headroom(tc.asking, tc.gateways, engines, now.Add(tc.later))
			if got := h.places * engines; math.IsNaN(got) || got < tc.min-1e-9 || got > tc.max+1e-9 {
				t.Errorf("%v places, want %v to %v", got, tc.min, tc.max)
			}
		})
	}
}

// TestForecastFollowsBurst checks that the reserve grows within a second of a burst of brief
// generations at four gateways: long ones would otherwise go on to take the memory that it needs.
func TestForecastFollowsBurst(t *testing.T) {
	f, now := &BriefForecast{}, time.Now()
	g := briefOfRank(Rank{})
	arrive(f, g, 200*time.Millisecond, time.Minute, now)
	before := f.Headroom(longOfRank(Rank{}), 4, 48, now).places
	arrive(f, g, 50*time.Millisecond, time.Second, now.Add(time.Second))
	if after := f.Headroom(longOfRank(Rank{}), 4, 48, now.Add(time.Second)).places; after < 1.3*before {
		t.Errorf("%.2f places after a second at four times the rate, %.2f before", after, before)
	}
}

// TestForecastBoundsRanks checks that a configuration with many priorities does not let the state
// grow without limit.
func TestForecastBoundsRanks(t *testing.T) {
	f := &BriefForecast{}
	for i := range 10 * maxForecastRanks {
		f.Arrived(briefOfRank(Rank{Route: i}), briefHold, time.Now())
	}
	if got := len(f.byRank); got > maxForecastRanks {
		t.Errorf("%d ranks, want at most %d", got, maxForecastRanks)
	}
}

// TestReservedPlacesAreWhole checks that the places of an average below one are whole places at a
// part of the engines. Parts of a place at every engine would serve no generation.
func TestReservedPlacesAreWhole(t *testing.T) {
	for _, places := range []float64{0, 0.25, 0.5, 1, 1.75} {
		t.Run(fmt.Sprint(places), func(t *testing.T) {
			const engines = 2000
			sum := 0
			for i := range engines {
				n := Headroom{places: places, tokens: briefTokens}.at(fmt.Sprintf("i-%d@x", i))
				if n < int(places) || n > int(math.Ceil(places)) {
					t.Fatalf("%d places at an engine, want %v rounded", n, places)
				}
				sum += n
			}
			if got := float64(sum) / engines; math.Abs(got-places) > 0.04 {
				t.Errorf("mean %v, want %v", got, places)
			}
		})
	}
}

// TestHeadroomKeepsRoom checks which generations an engine takes while a place for a brief one is
// reserved there. Without the reserve, a burst of long ones leaves the brief ones no room.
func TestHeadroomKeepsRoom(t *testing.T) {
	reserve := Headroom{places: 1, tokens: headroomSizeMargin * briefTokens}
	// The next brief one begins in time if at most 8571 prompt tokens, with its own, wait.
	reading := reserve
	reading.prompt, reading.startBy = briefTokens-12, 1200*time.Millisecond
	long, brief := longOfRank(Rank{Route: 1}), briefOfRank(Rank{})
	large := &Generation{Engine: headroomEngine, Prompt: 12000, Output: 100, Rank: Rank{Route: 1}}
	none, two := gossip.Load{}, gossip.Load{Running: 1, Held: 6000, Prefill: 6000, Tokens: 7500}
	for _, tc := range []struct {
		name     string
		g        *Generation
		headroom Headroom
		load     gossip.Load
		// unreported is the expected load that other gateways sent there.
		unreported gossip.Load
		want       error
	}{
		{"long one that leaves the place free", long, reserve, gossip.Load{Running: 4, Held: 16000, Tokens: 18000}, none, nil},
		{"long one in the place", long, reserve, gossip.Load{Running: 5, Held: 21000, Tokens: 22500}, none, ErrHeadroom},
		{"long one without a reserve", long, Headroom{}, gossip.Load{Running: 5, Held: 21000, Tokens: 22500}, none, nil},
		{"long one without room in any case", long, reserve, gossip.Load{Running: 6, Held: 24000, Tokens: 25000}, none, ErrMemory},
		{"brief one in the place", brief, Headroom{}, gossip.Load{Running: 6, Held: 24000, Tokens: 25000}, none, nil},
		{"long one in the last slot", long, reserve, gossip.Load{Running: 23, Held: 2000, Tokens: 2500}, none, ErrHeadroom},
		{"idle engine smaller than the reserve", long, Headroom{places: 10, tokens: briefTokens}, gossip.Load{}, none, nil},
		{"room for an unreported one", long, reserve, gossip.Load{Running: 4, Held: 9000, Tokens: 11000}, two, nil},
		{"no room for an unreported one", long, reserve, gossip.Load{Running: 4, Held: 16000, Tokens: 18000}, two, ErrHeadroom},
		{"idle engine to which others were sent", long, reserve, gossip.Load{}, two, nil},
		{"prompts that the next brief one can wait for", long, reading, gossip.Load{Running: 2, Held: 5000, Tokens: 6000, Prefill: 3000}, none, nil},
		{"prompts that delay the next brief one", long, reading, gossip.Load{Running: 2, Held: 7000, Tokens: 8000, Prefill: 4000}, none, ErrHeadroom},
		{"unreported prompts that delay the next brief one", long, reading, gossip.Load{Running: 2, Held: 7000, Tokens: 8000}, two, ErrHeadroom},
		{"large prompt where none waits", large, reading, gossip.Load{Running: 1, Held: 4000, Tokens: 5000}, none, nil},
		{"large prompt behind another", large, reading, gossip.Load{Running: 1, Held: 4000, Tokens: 5000, Prefill: 3000}, none, ErrHeadroom},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := Candidate{Load: tc.load}
			tc.g.Headroom = tc.headroom
			got := benchView().roomBeside(&c, tc.g, float64(headroomEngine.MemoryTokens), tc.unreported)
			if !errors.Is(got, tc.want) {
				t.Errorf("got %v, want %v", got, tc.want)
			}
		})
	}
}

// TestAdmitNamesHeadroom checks that a refusal which only the reserve causes says so, whatever the
// last engine of the list lacks: operators would otherwise look for memory that is not taken.
func TestAdmitNamesHeadroom(t *testing.T) {
	v := benchView()
	g := longOfRank(Rank{Route: 1})
	g.Headroom = Headroom{places: 1, tokens: headroomSizeMargin * briefTokens}
	list := benchCandidates(2, gossip.Load{Running: 5, Held: 21000, Tokens: 22500})
	list[1].Load = gossip.Load{Running: 24, Held: 26000, Tokens: 26500}
	if _, err := v.Admit(list, g, float64(headroomEngine.MemoryTokens)); !errors.Is(err, ErrHeadroom) {
		t.Errorf("got %v, want %v", err, ErrHeadroom)
	}
}

func benchView() *View {
	return &View{Now: time.Now(), Delay: func(string) time.Duration { return 350 * time.Millisecond }, ReadToken: readToken, Random: func() float64 { return 0.5 }}
}

func benchCandidates(n int, load gossip.Load) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Upstream: fleet.Upstream{Record: fleet.Record{ID: fmt.Sprintf("i-%d@x", i)}}, Load: load, Rate: 1}
	}
	return list
}

// BenchmarkAdmit measures one decision for a long generation among 48 engines, with and without
// the headroom for brief ones.
func BenchmarkAdmit(b *testing.B) {
	v, list := benchView(), benchCandidates(48, gossip.Load{Running: 4, Held: 15000, Tokens: 17000})
	f := &BriefForecast{}
	for i := range 4 {
		arrive(f, briefOfRank(Rank{Route: i}), 100*time.Millisecond, time.Minute, v.Now)
	}
	b.Run("without headroom", func(b *testing.B) {
		for b.Loop() {
			_, _ = v.Admit(list, longOfRank(Rank{Route: 4}), float64(headroomEngine.MemoryTokens))
		}
	})
	b.Run("with headroom", func(b *testing.B) {
		for b.Loop() {
			g := longOfRank(Rank{Route: 4})
			g.Headroom = f.Headroom(g, 30, 48, v.Now)
			_, _ = v.Admit(list, g, float64(headroomEngine.MemoryTokens))
		}
	})
}
