// Package replay simulates loads against the decisions of internal/placement, on virtual time
// and with the engines of internal/enginemodel: engines prefill prompts in chunks between the
// decode steps of running streams, preempt when memory runs out, leave in waves after a notice,
// are replaced by empty ones, and differ in speed. One gateway decides with exact loads, or several
// do that know what the others placed as it was some time ago.
// internal/bench and the tests of this package run it. It tells which of two variants of the
// decisions serves a load better; how much better depends on what it leaves out: links, and
// memory shared between prompts.
package replay

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind describes one kind of generations.
type Kind struct {
	Name string
	// PerSecond is the mean number of arrivals a second.
	PerSecond float64
	// Rank is the priority; 0 is the most urgent.
	Rank int
	// Prompt and Output are the median sizes in tokens, Spread the standard deviation of the
	// logarithm of the output, and MaxOutput the limit on the output.
	Prompt, Output, MaxOutput int
	Spread                    float64
	// Objective is the time to the first token within which a generation counts as in time.
	Objective time.Duration
	// MaxPause is the longest pause between two events with which a generation is in time. If it is 0,
	// maxTokenGap applies to its tokens, and the gateways do not measure the pace of engines with it.
	MaxPause time.Duration
	// Surge changes the rate of arrivals for a time.
	Surge Surge
	// Worth is the value of a generation in time; a late one has lateShare of it.
	Worth float64
}

// Surge multiplies a rate by Factor from From until Until. The zero value changes nothing.
type Surge struct {
	From, Until time.Duration
	Factor      float64
}

// factor returns the factor of the rate at a time, in seconds.
func (s Surge) factor(at float64) float64 {
	if at >= s.From.Seconds() && at < s.Until.Seconds() {
		return s.Factor
	}
	return 1
}

// Range is a range of speeds, relative to the nominal one. The zero value stands for none.
type Range struct{ Least, Most float64 }

// SlowMoments are intervals of a fixed Length in which an engine needs Factor times as long for a step.
// They begin at random and take Share of the time. The zero value stands for none.
type SlowMoments struct {
	Factor float64
	Length time.Duration
	Share  float64
}

// Load describes the generations that arrive and the engines that serve them.
type Load struct {
	Kinds   []Kind
	Engines int
	// Slowdown is the part by which each third engine takes longer for a step; 0 makes all
	// engines equally fast.
	Slowdown float64
	// Speeds is the range from which the speed of each engine is drawn, instead of Slowdown.
	Speeds Range
	// SlowMoments are intervals in which an engine is slower than usual.
	SlowMoments SlowMoments
	// MemoryTokens and Slots are the limits of one engine.
	MemoryTokens, Slots int
	// LeaveInterval is the time between two waves in which LeaveShare of the engines get the
	// notice to leave. They end after Notice and are replaced after ReplacedAfter, both counted
	// from the notice.
	LeaveInterval, Notice, ReplacedAfter time.Duration
	LeaveShare                           float64
	// Duration is the time in which generations arrive.
	Duration time.Duration
	Seed     uint64
	// Gateways is the number of gateways; each generation arrives at a random one. 0 means 1.
	// Gateways know what the others placed as it was StateAge ago.
	Gateways int
	StateAge time.Duration
	// WarmUp is the time before the load for which the gateways have counted arrivals at its
	// rates without surges.
	WarmUp time.Duration
	// WaitForRoom lets generations without room beside the headroom wait, as gateways do, instead of refusing
	// them at once.
	WaitForRoom bool
	// Settle is the time from the start in which generations that arrive are not counted.
	Settle time.Duration
}

// CrowdedLoad is a load for which memory is short: a sixth of the engines leaves every 3.3 s
// and is replaced 4 s after the notice, while long answers with long prompts and brief, more
// urgent ones fill nine tenths of the memory that serves.
func CrowdedLoad() Load {
	return Load{
		Kinds: []Kind{
			{Name: "long", PerSecond: 17, Rank: 1, Prompt: 3000, Output: 640, MaxOutput: 1768, Spread: 0.8, Objective: 1800 * time.Millisecond, Worth: 100},
			{Name: "brief", PerSecond: 33, Rank: 0, Prompt: 2300, Output: 12, MaxOutput: 36, Spread: 0.5, Objective: 1500 * time.Millisecond, Worth: 13},
		},
		Engines: 41, Slowdown: 0.3, MemoryTokens: 21870, Slots: 32,
		LeaveInterval: 3300 * time.Millisecond, Notice: 1800 * time.Millisecond, ReplacedAfter: 4 * time.Second, LeaveShare: 1.0 / 6,
		Duration: 30 * time.Second, Seed: 1,
	}
}

// arrival is a generation that arrives.
type arrival struct {
	id             string
	kind           *Kind
	due            time.Duration
	prompt, output int
	// hint is the estimate of the output length that the caller sends.
	hint int
}

// lateShare is the part of its worth that a late generation keeps.
const lateShare = 0.15

// hintSpread is the standard deviation of the logarithm of the error of hints.
const hintSpread = 0.4

// arrivals returns random arrivals: in order of time for each kind, one kind after another.
func (l *Load) arrivals(r *rand.Rand) []arrival {
	var out []arrival
	for i := range l.Kinds {
		k := &l.Kinds[i]
		for at := 0.0; ; {
			at += r.ExpFloat64() / (k.PerSecond * k.Surge.factor(at))
			if at >= l.Duration.Seconds() {
				break
			}
			a := arrival{kind: k, due: time.Duration(at * float64(time.Second))}
			a.prompt = clamp(float64(k.Prompt)*math.Exp(0.35*r.NormFloat64()), 100, 2*float64(k.Prompt))
			a.output = clamp(float64(k.Output)*math.Exp(k.Spread*r.NormFloat64()), 1, float64(k.MaxOutput))
			a.hint = clamp(float64(a.output)*math.Exp(hintSpread*r.NormFloat64()), 1, float64(k.MaxOutput))
			out = append(out, a)
		}
	}
	return out
}

// clamp returns a number limited to a range, rounded down.
func clamp(v, least, most float64) int { return int(min(max(v, least), most)) }
