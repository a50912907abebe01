package bench

import (
	"fmt"
	"io"
	"time"

	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/enginemodel"
)

// loads are parts of the engine's capacity.
var loads = []float64{0.7, 1.0, 1.3}

// Seeds for tuning and for the figures that are published; never mixed.
var (
	tuningSeeds = seedRange(1, 6)
	heldOut     = seedRange(1001, 10)
)

func seedRange(first uint64, n int) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = first + uint64(i)
	}
	return out
}

// capacity returns the requests a second that the oracle completes while far
// more arrive than it can take, within the patience of callers.
func capacity(shape traceShape) float64 {
	const rate = 1000
	trace := shape.draw(99, rate, 2*time.Second)
	s := run(oracle(), enginemodel.DefaultSettings(), trace, conditions{})
	done := s.requests - s.refused
	return float64(done) / s.length.Seconds()
}

// Options choose what the suite runs.
type Options struct {
	// Tuning uses the tuning seeds instead of the held-out ones.
	Tuning bool
	// Ablations takes single parts of the decision out.
	Ablations bool
	// Faults runs the faulty conditions.
	Faults bool
}

// Run measures the decision beside its baselines.
func Run(w io.Writer, o Options) ([]Row, error) {
	seeds := heldOut
	if o.Tuning {
		seeds = tuningSeeds
	}
	var jobs []job
	for _, shape := range []traceShape{bedtime(), picking(), lookups()} {
		rate := capacity(shape)
		_, _ = fmt.Fprintf(w, "%s: capacity %.1f requests/s\n", shape.name, rate)
		for _, load := range loads {
			c := cell{shape: shape, load: load, rate: rate, cond: conditions{reportLag: 500 * time.Millisecond}}
			best := bestCap(c)
			for _, m := range contenders(best, o.Ablations) {
				jobs = append(jobs, job{m, c})
			}
		}
		if o.Faults && shape.name != lookups().name {
			jobs = append(jobs, faultJobs(shape, rate)...)
		}
	}
	rows := measureAll(jobs, seeds)
	return rows, Print(w, rows)
}

func contenders(best int, ablations bool) []maker {
	out := []maker{admitAll(), fixedCap(best), reserve(), oracle(), decided("sparshore", nil)}
	if !ablations {
		return out
	}
	return append(out,
		decided("-fairness", func(s *decision.Settings) { s.NoFairness = true }),
		decided("-victim", func(s *decision.Settings) { s.NoVictimChoice = true }),
		decided("-refusal", func(s *decision.Settings) { s.NoRefusal = true }),
		decided("-gap", func(s *decision.Settings) { s.TokenGap = 0 }),
		decided("-risk", func(s *decision.Settings) { s.Risk = 0 }),
	)
}

// caps are the fixed limits that the sweep tries.
var caps = []int{16, 24, 32, 40, 48, 56, 64, 80, 96, 120}

// bestCap sweeps fixed limits on tuning seeds. The best is the one with the
// least stall among those with nearly the best goodput.
func bestCap(c cell) int {
	jobs := make([]job, len(caps))
	for i, n := range caps {
		jobs[i] = job{fixedCap(n), c}
	}
	rows := measureAll(jobs, tuningSeeds)
	top := 0.0
	for _, r := range rows {
		top = max(top, r.Goodput)
	}
	best := -1
	for i, r := range rows {
		if r.Goodput < nearlyBest*top {
			continue
		}
		if best < 0 || r.StallPerRequest < rows[best].StallPerRequest {
			best = i
		}
	}
	return caps[best]
}

const nearlyBest = 0.98

func faultJobs(shape traceShape, rate float64) []job {
	base := cell{shape: shape, load: 1, rate: rate, cond: conditions{reportLag: 500 * time.Millisecond}}
	late, none, dies, shift, lies := base, base, base, base, base
	late.fault, late.cond.reportLag = "report 5 s late", 5*time.Second
	none.fault, none.cond.reportLag = "no report", 0
	dies.fault, dies.cond.dies = "engine dies", traceLength/2
	shift.fault, shift.alter = "lengths shift", shiftLengths
	lies.fault, lies.alter = "account lies", lieAboutLengths
	var jobs []job
	for _, c := range []cell{late, none, dies, shift, lies} {
		best := bestCap(base)
		for _, m := range []maker{fixedCap(best), reserve(), oracle(), decided("sparshore", nil)} {
			jobs = append(jobs, job{m, c})
		}
	}
	return jobs
}

// shiftLengths doubles all lengths in the second half of a trace.
func shiftLengths(trace []arrival) {
	for i := range trace {
		if trace[i].at > traceLength/2 {
			trace[i].output = min(2*trace[i].output, maxOutput)
		}
	}
}

// lieAboutLengths makes one account in ten claim 64 tokens and take more.
func lieAboutLengths(trace []arrival) {
	for i := range trace {
		if trace[i].account == "0" {
			trace[i].claimed = 64
		}
	}
}
