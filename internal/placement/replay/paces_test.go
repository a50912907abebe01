package replay

import (
	"fmt"
	"math"
	"slices"
	"sync"
	"testing"
)

const (
	// maxPausedRatio is the largest ratio of the share of streams that pause for too long to that of the best
	// placement which knows all speeds.
	maxPausedRatio = 1.3
	// deviations is the number of standard deviations by which counts may exceed that by chance. Streams that pause
	// are few with the baseline: 14 or 15 for each number of gateways, 43 in all. A ratio up to some 1.8 for one
	// number of gateways, and 1.6 for all, is thus not told apart from maxPausedRatio.
	deviations = 1
	// unlikeSeed is the first seed of the loads in these tests.
	unlikeSeed  = 201
	unlikeSeeds = 6
)

// played holds the outcomes of UnlikeLoad, which several tests compare.
var played = map[string][2]Outcome{}

// outcomes returns the outcomes of UnlikeLoad by kind over the seeds of these tests, which run side by side.
func outcomes(gateways int, v Variant) (long, brief Outcome) {
	key := fmt.Sprint(gateways, v)
	if o, ok := played[key]; ok {
		return o[0], o[1]
	}
	results := make([]Result, unlikeSeeds)
	var wg sync.WaitGroup
	for i := range results {
		wg.Go(func() {
			l := UnlikeLoad(gateways)
			l.Seed = uint64(unlikeSeed + i)
			results[i] = Run(l, v)
		})
	}
	wg.Wait()
	for _, r := range results {
		long, brief = long.plus(r.Kinds["long"]), brief.plus(r.Kinds["brief"])
	}
	played[key] = [2]Outcome{long, brief}
	return long, brief
}

// pausedShare returns the share of the generations that began and paused for too long.
func (o Outcome) pausedShare() float64 { return float64(o.Paused) / float64(o.begun()) }

func (o Outcome) begun() int { return o.Arrived - o.Refused }

// pausedTooOften reports whether the streams of got pause for too long more than maxPausedRatio times as often as
// those of want, by more than chance: both counts have a Poisson distribution.
func pausedTooOften(got, want Outcome) bool {
	expected := maxPausedRatio * float64(got.begun()) * want.pausedShare()
	variance := float64(got.Paused) + maxPausedRatio*expected
	return float64(got.Paused) > expected+deviations*math.Sqrt(variance)
}

// TestLongStreamsOnUnlikeEngines simulates long streams and brief generations on engines of unlike speeds, which the
// gateways learn. It fails if more of the long streams pause for longer than their bound than with the best
// placement that knows the speeds.
func TestLongStreamsOnUnlikeEngines(t *testing.T) {
	var all, allBest Outcome
	for _, gateways := range []int{4, 24, 30} {
		t.Run(fmt.Sprintf("%d gateways", gateways), func(t *testing.T) {
			long, brief := outcomes(gateways, Variant{})
			best, bestBrief := outcomes(gateways, Variant{Knowledge: Speeds})
			t.Logf("paused %d of %d (%.4f), best %d of %d (%.4f); long %+v, best %+v; brief %+v, best %+v",
				long.Paused, long.begun(), long.pausedShare(), best.Paused, best.begun(), best.pausedShare(), long, best, brief, bestBrief)
			if pausedTooOften(long, best) {
				t.Errorf("%.4f of the long streams pause for too long, with the best placement %.4f: ratio %.2f, want at most %.1f",
					long.pausedShare(), best.pausedShare(), long.pausedShare()/best.pausedShare(), maxPausedRatio)
			}
			all, allBest = all.plus(long), allBest.plus(best)
		})
	}
	if pausedTooOften(all, allBest) {
		t.Errorf("all gateways: %.4f of the long streams pause for too long, with the best placement %.4f: ratio %.2f, want at most %.1f",
			all.pausedShare(), allBest.pausedShare(), all.pausedShare()/allBest.pausedShare(), maxPausedRatio)
	}
}

// maxShareOfUnknown is the largest part that the streams which pause for too long may be of those without paces. It
// is 0.15 with 4 gateways and 0.18 with 30, and 0.26 with 4 gateways if costs ignore the paces.
const maxShareOfUnknown = 0.25

// TestPacesKeepStreamsInTime guards against decisions that do not use the paces, or do not learn them: without them,
// several times as many long streams pause for too long.
func TestPacesKeepStreamsInTime(t *testing.T) {
	for _, gateways := range []int{4, 30} {
		long, brief := outcomes(gateways, Variant{})
		off, offBrief := outcomes(gateways, Variant{NoPace: true})
		t.Logf("%d gateways: long %+v, without pace %+v; brief %+v, without pace %+v", gateways, long, off, brief, offBrief)
		if long.pausedShare() > maxShareOfUnknown*off.pausedShare() {
			t.Errorf("%d gateways: %.4f of the long streams pause for too long, %.4f without pace", gateways, long.pausedShare(), off.pausedShare())
		}
		if long.InTime < off.InTime {
			t.Errorf("%d gateways: %d of %d long streams in time, %d without pace", gateways, long.InTime, long.Arrived, off.InTime)
		}
	}
}

// TestPaceIsOffWithoutBound guards against a change of placements where no route bounds the pauses of streams.
func TestPaceIsOffWithoutBound(t *testing.T) {
	load := UnlikeLoad(4)
	for i := range load.Kinds {
		load.Kinds[i].MaxPause = 0
	}
	load.Seed = unlikeSeed
	got, want := Run(load, Variant{}), Run(load, Variant{NoPace: true})
	if len(got.Placements) == 0 || !slices.Equal(got.Placements, want.Placements) {
		t.Errorf("%+v with pace, %+v without, or other placements", got.Kinds, want.Kinds)
	}
}

// minEqualSamples is the number of samples from which on an estimate should not differ from those of equal engines:
// a segment during which a prompt is read takes up to twice as long, and the estimate is the lower quartile.
const minEqualSamples = 4

// TestEqualSpeedsPreferNoEngine guards against a preference among engines of one speed, which internal/pace rules out:
// their paces differ by what they run only.
func TestEqualSpeedsPreferNoEngine(t *testing.T) {
	for _, tt := range []struct {
		name string
		// minSamples is the number of samples of the engines that are compared.
		minSamples int
	}{
		{"engines observed for a time", minEqualSamples},
		{"all engines", 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			for _, gateways := range []int{4, 30} {
				load := UnlikeLoad(gateways)
				load.Speeds, load.SlowMoments, load.Seed = Range{Least: 1, Most: 1}, SlowMoments{}, unlikeSeed
				s := simulate(load, Variant{})
				compared, preferred := 0, map[string]bool{}
				for i, gw := range s.gateways {
					p := s.profile(i)
					for id, e := range gw.paces.List() {
						if e.Samples < tt.minSamples {
							continue
						}
						compared++
						if p.Slowdown(id) != 1 {
							preferred[id] = true
						}
					}
				}
				if compared == 0 || len(preferred) > 0 {
					t.Errorf("%d gateways: %d paces compared, engines with other paces: %v", gateways, compared, preferred)
				}
				if tt.minSamples == 1 && s.result.Relocated > 0 {
					t.Errorf("%d gateways: %d relocations between engines of one speed", gateways, s.result.Relocated)
				}
			}
		})
	}
}
