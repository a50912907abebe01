package bench

import (
	"reflect"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/enginemodel"
)

func capacityCell(shape traceShape) cell {
	return cell{shape: shape, load: 1, rate: capacity(shape), cond: conditions{reportLag: 500 * time.Millisecond}}
}

func TestSameSeedsGiveSameRow(t *testing.T) {
	c := capacityCell(bedtime())
	f := product("sparshore", nil)
	first, second := measure(f, c, tuningSeeds[:1]), measure(f, c, tuningSeeds[:1])
	if !reflect.DeepEqual(first, second) {
		t.Errorf("two runs differ:\n%+v\n%+v", first, second)
	}
}

// TestDecisionBeatsTheBaselines guards against a change of the scheduler that loses its
// advantage over the baselines. The seeds are fixed, so each run gives the same result.
func TestDecisionBeatsTheBaselines(t *testing.T) {
	for _, shape := range []traceShape{bedtime(), picking()} {
		t.Run(shape.name, func(t *testing.T) {
			c := capacityCell(shape)
			rows := measureAll([]job{{admitAll(), c}, {product("sparshore", nil), c}, {oracle(), c}}, tuningSeeds)
			all, own, bound := rows[0], rows[1], rows[2]
			if own.Preemptions*10 > all.Preemptions {
				t.Errorf("%.1f preemptions per 1,000, admit-all has %.1f", own.Preemptions, all.Preemptions)
			}
			if own.StallPerRequest*5 > all.StallPerRequest {
				t.Errorf("stall of %.1f ms a request, admit-all has %.1f", own.StallPerRequest, all.StallPerRequest)
			}
			if own.GapP99 > 1.1*bound.GapP99 {
				t.Errorf("gap p99 %.1f ms, the oracle has %.1f", own.GapP99, bound.GapP99)
			}
			if own.Goodput < 0.9*all.Goodput {
				t.Errorf("goodput %.0f, admit-all has %.0f", own.Goodput, all.Goodput)
			}
		})
	}
}

func TestOracleAvoidsPreemptions(t *testing.T) {
	shape := picking()
	s := run(oracle(), enginemodel.DefaultSettings(), shape.generate(5, capacity(shape), time.Minute), conditions{})
	if s.preemptions > 1 {
		t.Errorf("%d preemptions with known lengths", s.preemptions)
	}
}
