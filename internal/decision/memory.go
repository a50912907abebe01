package decision

import (
	"math"
	"time"
)

// horizons are the numbers of further output tokens for which the memory in use is forecast.
// Admission stops as memory fills, so only the growth that it can no longer prevent counts:
// longer horizons cost goodput and avoid no pauses (docs/DECISIONS.md, decision 8).
var horizons = [...]int{16, 32, 64}

const (
	historySize = 64
	// reportWeight is the part of a difference between the engine's report and the scheduler's
	// count that is corrected at once.
	reportWeight = 0.5
)

// usageSample is the number of blocks in use at a time, kept for comparison with a report about
// that time.
type usageSample struct {
	at   time.Time
	used int
}

func (s *Scheduler) recordUsage() {
	s.history[s.histPos] = usageSample{at: s.now(), used: s.used}
	s.histPos = (s.histPos + 1) % historySize
}

// Report corrects the count of blocks in use by the engine's own count at the given time. A
// report about a time before the kept history is ignored.
func (s *Scheduler) Report(used int, at time.Time) {
	best := usageSample{}
	for _, h := range s.history {
		if !h.at.IsZero() && !h.at.After(at) && h.at.After(best.at) {
			best = h
		}
	}
	if best.at.IsZero() {
		return
	}
	s.bias += reportWeight * (float64(used-best.used) - s.bias)
}

// memoryForecast holds the mean and the variance of the number of blocks in use at each
// horizon.
type memoryForecast struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

func (f *memoryForecast) add(s *Scheduler, st *stream) {
	at := st.lengths.logSurvivalAt(st.generated)
	for i, h := range horizons {
		if limit := st.req.MaxTokens; limit > 0 && st.generated+h > limit {
			h = max(0, limit-st.generated)
		}
		p := math.Exp(st.lengths.logSurvivalAt(st.generated+h) - at)
		b := float64(s.blocks(st.tokens() + h))
		f.mean[i] += p * b
		f.variance[i] += p * (1 - p) * b * b
	}
}

// forecast returns the forecast for the running streams.
func (s *Scheduler) forecast() memoryForecast {
	f := memoryForecast{}
	for _, st := range s.running {
		f.add(s, st)
	}
	return f
}

// fits reports whether the forecast, with risk standard deviations on top of its mean, stays
// within the capacity.
func (s *Scheduler) fits(f *memoryForecast, risk float64) bool {
	limit := float64(s.settings.Blocks) - s.bias
	for i := range horizons {
		if f.mean[i]+risk*math.Sqrt(f.variance[i]) > limit {
			return false
		}
	}
	return true
}
