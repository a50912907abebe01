package decision

import (
	"math"
	"time"
)

// horizons are the numbers of further output tokens at which the memory in use
// is foreseen. Admission stops as memory fills, so only the growth that cannot
// be held back any more counts: longer horizons cost goodput and spare no
// pauses (docs/DECISIONS.md, decision 8).
var horizons = [...]int{16, 32, 64}

const (
	historySize = 64
	// reportTrust is the part of a disagreement with the engine's report that
	// is taken over at once.
	reportTrust = 0.5
)

// reading is what the ledger held at a time, to compare with a late report.
type reading struct {
	at   time.Time
	used int
}

func (s *Scheduler) remember() {
	s.history[s.histPos] = reading{at: s.now(), used: s.used}
	s.histPos = (s.histPos + 1) % historySize
}

// Report takes the engine's own count of blocks in use as it was at the given
// time. A report older than the kept history is ignored.
func (s *Scheduler) Report(used int, at time.Time) {
	best := reading{}
	for _, h := range s.history {
		if !h.at.IsZero() && !h.at.After(at) && h.at.After(best.at) {
			best = h
		}
	}
	if best.at.IsZero() {
		return
	}
	s.bias += reportTrust * (float64(used-best.used) - s.bias)
}

// foreseen is the mean and variance of the blocks in use at each horizon.
type foreseen struct {
	mean     [len(horizons)]float64
	variance [len(horizons)]float64
}

func (f *foreseen) add(s *Scheduler, st *stream) {
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

// foresee sums over the running streams.
func (s *Scheduler) foresee() foreseen {
	f := foreseen{}
	for _, st := range s.running {
		f.add(s, st)
	}
	return f
}

// fits reports whether the memory foreseen, with risk standard deviations on
// top, stays within the capacity.
func (s *Scheduler) fits(f *foreseen, risk float64) bool {
	limit := float64(s.settings.Blocks) - s.bias
	for i := range horizons {
		if f.mean[i]+risk*math.Sqrt(f.variance[i]) > limit {
			return false
		}
	}
	return true
}
