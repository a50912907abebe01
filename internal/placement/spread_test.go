package placement

import (
	"math"
	"testing"
)

func TestLevel(t *testing.T) {
	for _, tc := range []struct {
		name    string
		costs   []float64
		unheard float64
		want    float64
	}{
		{"nothing unheard", []float64{3, 5}, 0, 3},
		{"one request on the cheapest", []float64{3, 5}, 1, 4},
		{"both filled", []float64{3, 5}, 4, 6},
		{"a far one is left out", []float64{0, 0, 100}, 4, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &choices{unheard: tc.unheard}
			for _, cost := range tc.costs {
				c.list = append(c.list, choice{cost: cost})
			}
			if got := c.level(1); math.Abs(got-tc.want) > 1e-9 {
				t.Errorf("level %v, want %v", got, tc.want)
			}
		})
	}
}

func TestPick(t *testing.T) {
	c := &choices{list: []choice{{cost: 0}, {cost: 2}, {cost: 4}}}
	for _, tc := range []struct{ level, random, want float64 }{
		{0, 0.9, 0}, {1, 0.9, 0}, {3, 0.74, 0}, {3, 0.76, 2}, {4, 0.99, 2}, {8, 0.99, 4},
	} {
		if got := c.pick(tc.level, tc.random).cost; got != tc.want {
			t.Errorf("level %v, random %v: cost %v, want %v", tc.level, tc.random, got, tc.want)
		}
	}
}
