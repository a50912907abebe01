package placement

import (
	"math"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/routetable"
)

// TestReserveGrowsWithFailedMoves checks that memory is reserved in proportion to the moves
// that recently lacked room: without a reserve the next wave of leaving engines lacks room
// again, and a reserve that is not needed wastes memory. A sixth of the engines leaves every
// 3.3 s.
func TestReserveGrowsWithFailedMoves(t *testing.T) {
	const share, wave, memory = 1.0 / 6, 3300 * time.Millisecond, 20000
	engine := &routetable.Engine{MemoryTokens: memory}
	for _, tc := range []struct {
		name string
		// failed is how many of every ten moves of a wave find no room, and waves the number of
		// waves.
		failed, waves int
		// later is the time from the last wave until the reserve is read.
		later    time.Duration
		min, max float64
	}{
		{"no moves yet", 0, 0, 0, 0, 0},
		{"all moves find room", 0, 5, 0, 0, 0},
		{"half of the moves lack room", 5, 5, 0, share * 0.4, share * 0.5},
		{"all moves lack room", 10, 5, 0, share * 0.9, share},
		{"waves a minute ago", 5, 5, time.Minute, 0, 0.01},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m, now := &MoveReserve{}, time.Now()
			for range tc.waves {
				now = now.Add(wave)
				for i := range 10 {
					m.Record(i >= tc.failed, now)
				}
			}
			got := 1 - m.Usable(engine, share, now.Add(tc.later))/memory
			if math.IsNaN(got) || got < tc.min-1e-9 || got > tc.max+1e-9 {
				t.Errorf("reserve %v, want %v to %v", got, tc.min, tc.max)
			}
		})
	}
}

// TestReserveShrinksAfterSuccessfulMoves checks that the reserve falls once moves find room
// again.
func TestReserveShrinksAfterSuccessfulMoves(t *testing.T) {
	m, now := &MoveReserve{}, time.Now()
	m.Record(false, now)
	engine := &routetable.Engine{MemoryTokens: 1000}
	before := 1000 - m.Usable(engine, 0.2, now)
	for range 9 {
		m.Record(true, now)
	}
	if after := 1000 - m.Usable(engine, 0.2, now); after > before/5 {
		t.Errorf("reserve %v after nine moves with room, %v before", after, before)
	}
}

// TestUsableMemoryCanBeCopiedInTime checks that, while engines leave, no engine is filled with
// more than it can copy within its notice: the rest of its generations would be lost when it
// ends.
func TestUsableMemoryCanBeCopiedInTime(t *testing.T) {
	for _, tc := range []struct {
		name         string
		copyRate     float64
		leavingShare float64
		want         float64
	}{
		{"slow copies", 18000, 0.2, 18000 * MoveWithin.Seconds()},
		{"fast copies", 180000, 0.2, 34000},
		{"no engine leaves", 18000, 0, 34000},
		{"unknown copy rate", 0, 0.2, 34000},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := &routetable.Engine{MemoryTokens: 34000, CopyRate: tc.copyRate}
			if got := (&MoveReserve{}).Usable(e, tc.leavingShare, time.Now()); math.Abs(got-tc.want) > 1e-6 {
				t.Errorf("%v tokens, want %v", got, tc.want)
			}
		})
	}
}
