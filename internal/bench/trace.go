// Package bench measures the decision: the engine model on virtual time, seeded
// traces, and the decision beside its baselines and an oracle that knows the
// lengths. The same seeds give the same verdict at each run.
package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind tells the two sorts of requests apart in the report. The decision does
// not see it: both look the same on arrival.
type kind int

const (
	short kind = iota
	long
	kinds
)

// arrival is one request of a trace.
type arrival struct {
	id      string
	at      time.Duration
	kind    kind
	prompt  int
	output  int
	claimed int
	account string
}

// traceShape describes a workload.
type traceShape struct {
	name string
	// shortOutput and longOutput are medians of output tokens, the spreads are
	// standard deviations of their logarithms.
	shortOutput, longOutput float64
	shortSpread, longSpread float64
	longPart                float64
	// prompt is the median of prompt tokens.
	prompt float64
	// peak is how much the rate in the middle exceeds the mean.
	peak float64
}

// bedtime is Binday Lane's evening: a burst of one-line answers with some route
// summaries among them.
func bedtime() traceShape {
	return traceShape{name: "bedtime", prompt: 250, shortOutput: 40, shortSpread: 0.6, longOutput: 900, longSpread: 0.8, longPart: 0.1, peak: 2}
}

// picking is Kirjaamo's day: dictated row notes with day summaries among them.
func picking() traceShape {
	return traceShape{name: "picking", prompt: 250, shortOutput: 120, shortSpread: 0.5, longOutput: 1500, longSpread: 0.9, longPart: 0.2, peak: 1.2}
}

// lookups is reminder lookups alone: so short that not memory but the time
// between tokens bounds the batch.
func lookups() traceShape {
	return traceShape{name: "lookups", prompt: 20, shortOutput: 60, shortSpread: 0.3, longOutput: 60, longSpread: 0.3, peak: 1.5}
}

const (
	promptSpread  = 0.5
	maxPrompt     = 2000
	maxOutput     = 8192
	claimedTokens = 4096
)

func logNormal(rng *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*rng.NormFloat64())
}

// intensity is the relative rate at a part of the trace, with mean 1: it rises
// from the edges to the peak in the middle.
func (s traceShape) intensity(part float64) float64 {
	return 1 + (s.peak-1)*math.Cos(2*math.Pi*(part-0.5))
}

// draw makes a trace of the given length with rate requests a second on
// average.
func (s traceShape) draw(seed uint64, rate float64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 17))
	top := rate * max(s.peak, 1)
	var out []arrival
	for t := 0.0; ; {
		t += rng.ExpFloat64() / top
		if t >= length.Seconds() {
			return out
		}
		if rng.Float64()*top > rate*s.intensity(t/length.Seconds()) {
			continue
		}
		out = append(out, s.one(rng, len(out), time.Duration(t*float64(time.Second))))
	}
}

func (s traceShape) one(rng *rand.Rand, n int, at time.Duration) arrival {
	a := arrival{id: number(n), at: at, claimed: claimedTokens, account: number(rng.IntN(10))}
	a.prompt = clamp(logNormal(rng, s.prompt, promptSpread), 1, maxPrompt)
	median, spread := s.shortOutput, s.shortSpread
	if rng.Float64() < s.longPart {
		a.kind, median, spread = long, s.longOutput, s.longSpread
	}
	a.output = clamp(logNormal(rng, median, spread), 1, maxOutput)
	return a
}

func clamp(v float64, least, most int) int { return min(max(int(v), least), most) }
