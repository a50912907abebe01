package belief

import (
	"testing"
	"time"
)

func TestAnchor(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	clock := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	type answer struct {
		clock    time.Duration
		sent     time.Time
		received time.Time
		want     time.Time
	}
	for _, tc := range []struct {
		name    string
		answers []answer
	}{
		{"the first answer counts from when its call was sent", []answer{{clock(500), at(0), at(4), at(0)}}},
		{"a held answer counts from when it was produced", []answer{
			{clock(500), at(0), at(4), at(0)},
			{clock(1900), at(4), at(1405), at(1400)},
		}},
		{"a quick answer makes the bound tighter", []answer{
			{clock(500), at(0), at(400), at(0)},
			{clock(1000), at(600), at(604), at(600)},
			{clock(2000), at(700), at(1700), at(1600)},
		}},
		{"a store clock that restarts resets the anchor", []answer{
			{clock(500), at(0), at(4), at(0)},
			{clock(10), at(100), at(1105), at(100)},
		}},
		{"a store clock that jumps ahead yields no time in the future", []answer{
			{clock(500), at(0), at(4), at(0)},
			{clock(9000), at(100), at(1105), at(100)},
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var a anchor
			for i, x := range tc.answers {
				if got := a.observe(x.clock, x.sent, x.received); !got.Equal(x.want) {
					t.Errorf("answer %d: produced at %s, want %s", i, got.Sub(start), x.want.Sub(start))
				}
			}
		})
	}
}
