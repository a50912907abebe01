// Package replay plays loads against the decisions of internal/placement, on virtual time
// and with the engines of internal/enginemodel: engines read prompts in chunks between the
// steps of what runs, preempt when memory runs out, leave in waves after a notice and come
// back empty, and differ in speed. One entry decides with exact news. It tells which of two
// ways serves a load better; how much better depends on what it leaves out (links, news
// that are late, several entries, memory shared between prompts).
package replay

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is a kind of generation.
type Kind struct {
	Name string
	// PerSecond is the mean number of arrivals.
	PerSecond float64
	// Rank is 0 for the most urgent.
	Rank int
	// Prompt and Output are mean sizes in tokens, spread by a factor of e to the power of
	// Spread times a normal number; MostOutput bounds the output.
	Prompt, Output, MostOutput int
	Spread                     float64
	// Objective is the time to the first token that counts as in time.
	Objective time.Duration
	// Worth is what one in time is worth; one that is late is worth LateShare of it.
	Worth float64
}

// Load is what is asked, and of which engines.
type Load struct {
	Kinds   []Kind
	Engines int
	// Slow is by how much longer each third engine takes for a step; 0 for none.
	Slow float64
	// MemoryTokens and Slots are an engine's.
	MemoryTokens, Slots int
	// LeaveEach is the time between two waves in which LeaveShare of the engines are told
	// to leave; they end after Notice and are back after Back, counted from the notice.
	LeaveEach, Notice, Back time.Duration
	LeaveShare              float64
	// Lasts is the time in which generations arrive.
	Lasts time.Duration
	Seed  uint64
}

// CrowdedLoad is the pattern for which memory is short: a sixth of the engines leave every
// 3.3 s and are replaced 4 s after their notice, while long answers with long prompts and
// brief, more urgent ones fill nine tenths of the memory that serves.
func CrowdedLoad() Load {
	return Load{
		Kinds: []Kind{
			{Name: "long", PerSecond: 17, Rank: 1, Prompt: 3000, Output: 640, MostOutput: 1768, Spread: 0.8, Objective: 1800 * time.Millisecond, Worth: 100},
			{Name: "brief", PerSecond: 33, Rank: 0, Prompt: 2300, Output: 12, MostOutput: 36, Spread: 0.5, Objective: 1500 * time.Millisecond, Worth: 13},
		},
		Engines: 41, Slow: 0.3, MemoryTokens: 21870, Slots: 32,
		LeaveEach: 3300 * time.Millisecond, Notice: 1800 * time.Millisecond, Back: 4 * time.Second, LeaveShare: 1.0 / 6,
		Lasts: 30 * time.Second, Seed: 1,
	}
}

// arrival is a generation that is asked for.
type arrival struct {
	id             string
	kind           *Kind
	at             time.Duration
	prompt, output int
	// hint is the caller's guess of the output.
	hint int
}

// lateShare is the part of its worth that a late answer keeps.
const lateShare = 0.15

// hintSpread is how far guesses of the length miss, as a factor of e to this power.
const hintSpread = 0.4

// arrivals draws what is asked for, in order of time.
func (l *Load) arrivals(r *rand.Rand) []arrival {
	var out []arrival
	for i := range l.Kinds {
		k := &l.Kinds[i]
		for at := 0.0; ; {
			at += r.ExpFloat64() / k.PerSecond
			if at >= l.Lasts.Seconds() {
				break
			}
			a := arrival{kind: k, at: time.Duration(at * float64(time.Second))}
			a.prompt = clamp(float64(k.Prompt)*math.Exp(0.35*r.NormFloat64()), 100, 2*float64(k.Prompt))
			a.output = clamp(float64(k.Output)*math.Exp(k.Spread*r.NormFloat64()), 1, float64(k.MostOutput))
			a.hint = clamp(float64(a.output)*math.Exp(hintSpread*r.NormFloat64()), 1, float64(k.MostOutput))
			out = append(out, a)
		}
	}
	return out
}

// clamp returns a number within bounds, rounded down.
func clamp(v, least, most float64) int { return int(min(max(v, least), most)) }
