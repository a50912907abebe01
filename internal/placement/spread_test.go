package placement

import (
	"math"
	"testing"
)

// TestWaterLevel checks the cost up to which unreported requests fill the cheapest upstreams.
func TestWaterLevel(t *testing.T) {
	for _, tc := range []struct {
		name       string
		costs      []float64
		unreported float64
		want       float64
	}{
		{"no unreported requests", []float64{3, 5}, 0, 3},
		{"one request fills the cheapest", []float64{3, 5}, 1, 4},
		{"both filled", []float64{3, 5}, 4, 6},
		{"the most expensive gets none", []float64{0, 0, 100}, 4, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &zoneCandidates{unreported: tc.unreported}
			for _, cost := range tc.costs {
				c.list = append(c.list, scoredCandidate{cost: cost})
			}
			if got := c.waterLevel(1); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("level %v, want %v", got, tc.want)
			}
		})
	}
}

// TestDraw checks that upstreams are drawn in proportion to the difference between their cost and the level.
func TestDraw(t *testing.T) {
	c := &zoneCandidates{list: []scoredCandidate{{cost: 0}, {cost: 2}, {cost: 4}}}
	for _, tc := range []struct{ level, random, want float64 }{
		{0, 0.9, 0}, {1, 0.9, 0}, {3, 0.74, 0}, {3, 0.76, 2}, {4, 0.99, 2}, {8, 0.99, 4},
	} {
		if got := c.draw(tc.level, tc.random).cost; got != tc.want {
			t.Errorf("level %v, random %v: cost %v, want %v", tc.level, tc.random, got, tc.want)
		}
	}
}
