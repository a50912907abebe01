// Package bench compares the scheduler of internal/decision with fixed admission rules and with
// an oracle that knows the output lengths. It runs seeded traces against the engine model on
// virtual time, so the same seeds always give the same results. Command sparshore-bench calls it.
package bench

import (
	"math"
	"math/rand/v2"
	"time"
)

// kind is the kind of a request, by which stall times are reported. Schedulers cannot see it:
// requests of both kinds look the same on arrival.
type kind int

const (
	short kind = iota
	long
	kindCount
)

// arrival is one request of a trace. Its output is the actual number of output tokens, declared
// the maximum that the caller asked for.
type arrival struct {
	id       string
	at       time.Duration
	kind     kind
	prompt   int
	output   int
	declared int
	account  string
}

// traceShape describes a workload.
type traceShape struct {
	name string
	// shortOutput and longOutput are medians of output tokens. The spreads are standard
	// deviations of the logarithms.
	shortOutput, longOutput float64
	shortSpread, longSpread float64
	longShare               float64
	// prompt is the median of prompt tokens.
	prompt float64
	// peakRatio is the arrival rate in the middle of the trace, relative to the mean rate.
	peakRatio float64
}

// bedtime is an evening peak of one-line answers, mixed with some long summaries.
func bedtime() traceShape {
	return traceShape{name: "bedtime", prompt: 250, shortOutput: 40, shortSpread: 0.6, longOutput: 900, longSpread: 0.8, longShare: 0.1, peakRatio: 2}
}

// picking is a working day of short notes, mixed with long summaries of the day.
func picking() traceShape {
	return traceShape{name: "picking", prompt: 250, shortOutput: 120, shortSpread: 0.5, longOutput: 1500, longSpread: 0.9, longShare: 0.2, peakRatio: 1.2}
}

// lookups has only short requests, for which the time between tokens limits the batch and not
// memory.
func lookups() traceShape {
	return traceShape{name: "lookups", prompt: 20, shortOutput: 60, shortSpread: 0.3, longOutput: 60, longSpread: 0.3, peakRatio: 1.5}
}

const (
	promptSpread   = 0.5
	maxPrompt      = 2000
	maxOutput      = 8192
	declaredTokens = 4096
)

func logNormal(rng *rand.Rand, median, spread float64) float64 {
	return median * math.Exp(spread*rng.NormFloat64())
}

// intensity returns the arrival rate at a fraction of the trace, relative to the mean rate. It
// rises from both ends to the peak in the middle.
func (s traceShape) intensity(fraction float64) float64 {
	return 1 + (s.peakRatio-1)*math.Cos(2*math.Pi*(fraction-0.5))
}

// generate returns a random trace of the given length with rate requests per second on average.
// Arrivals are a Poisson process at the peak rate, thinned to the intensity.
func (s traceShape) generate(seed uint64, rate float64, length time.Duration) []arrival {
	rng := rand.New(rand.NewPCG(seed, 17))
	peakRate := rate * max(s.peakRatio, 1)
	var out []arrival
	for t := 0.0; ; {
		t += rng.ExpFloat64() / peakRate
		if t >= length.Seconds() {
			return out
		}
		if rng.Float64()*peakRate > rate*s.intensity(t/length.Seconds()) {
			continue
		}
		out = append(out, s.drawRequest(rng, len(out), time.Duration(t*float64(time.Second))))
	}
}

func (s traceShape) drawRequest(rng *rand.Rand, n int, at time.Duration) arrival {
	a := arrival{id: number(n), at: at, declared: declaredTokens, account: number(rng.IntN(10))}
	a.prompt = clamp(logNormal(rng, s.prompt, promptSpread), 1, maxPrompt)
	median, spread := s.shortOutput, s.shortSpread
	if rng.Float64() < s.longShare {
		a.kind, median, spread = long, s.longOutput, s.longSpread
	}
	a.output = clamp(logNormal(rng, median, spread), 1, maxOutput)
	return a
}

func clamp(v float64, least, most int) int { return min(max(int(v), least), most) }
