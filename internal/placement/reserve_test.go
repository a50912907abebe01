package placement

import (
	"math"
	"testing"
	"time"
)

// TestReserve: memory is kept free for engines that leave as far as moves lacked room
// lately. The load pattern is a sixth of the engines leaving every 3.3 s.
func TestReserve(t *testing.T) {
	const share, wave = 1.0 / 6, 3300 * time.Millisecond
	for _, tc := range []struct {
		name string
		// lacking of every ten moves of a wave find no room, for some waves.
		lacking, waves int
		// later is the time from the last wave until the reserve is asked for.
		later    time.Duration
		min, max float64
	}{
		{"nothing has moved", 0, 0, 0, 0, 0},
		{"all find room", 0, 5, 0, 0, 0},
		{"half find none", 5, 5, 0, share * 0.4, share * 0.5},
		{"none finds room", 10, 5, 0, share * 0.9, share},
		{"waves that are long over", 5, 5, time.Minute, 0, 0.01},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, now := &MoveRoom{}, time.Now()
			for range tc.waves {
				now = now.Add(wave)
				for i := range 10 {
					m.Note(i >= tc.lacking, now)
				}
			}
			got := m.Reserve(share, now.Add(tc.later))
			if math.IsNaN(got) || got < tc.min || got > tc.max {
				t.Errorf("reserve %v, want %v to %v", got, tc.min, tc.max)
			}
		})
	}
}

// TestReserveFollowsMoves: once moves find room again, the kept part falls.
func TestReserveFollowsMoves(t *testing.T) {
	m, now := &MoveRoom{}, time.Now()
	m.Note(false, now)
	before := m.Reserve(0.2, now)
	for range 9 {
		m.Note(true, now)
	}
	if after := m.Reserve(0.2, now); after > before/5 {
		t.Errorf("reserve %v after nine moves with room, %v before", after, before)
	}
}
