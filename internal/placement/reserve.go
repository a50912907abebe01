package placement

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/routetable"
)

// moveDecayTime is the time constant of the counts of moves. It covers several waves of engines
// that leave together.
const moveDecayTime = 10 * time.Second

// MoveReserve learns whether generations that have to move find room. Engines that leave together
// need room elsewhere at once. If moves recently lacked room, a part of all memory is reserved
// for the next wave; otherwise all of it serves. In a deployment in which a sixth of the
// engines leaves every 3.3 s, no move of a logged day lacked room although the memory was
// filled. Reserving that sixth, and 0.06 of the memory for wrong estimates, cost 0.07 of the
// worth (mean of three days with four seeds each).
type MoveReserve struct {
	mu                sync.Mutex
	succeeded, failed Decaying
}

// Record records whether a generation that had to move found room.
func (m *MoveReserve) Record(found bool, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if found {
		m.succeeded = m.succeeded.Add(1, now, moveDecayTime)
		return
	}
	m.failed = m.failed.Add(1, now, moveDecayTime)
}

// MoveWithin is the time in which the generations of a leaving engine have to be copied to
// others: the shortest notice that an engine gets.
const MoveWithin = 1500 * time.Millisecond

// Usable returns the memory of an engine, in tokens, that may be filled with generations that
// would have to move if the engine left. leavingShare is the part of all engines that recently
// left together. While it is not 0, the result is no more than can be copied within MoveWithin:
// an engine that is filled completely ends before its copies are complete.
func (m *MoveReserve) Usable(e *routetable.Engine, leavingShare float64, now time.Time) float64 {
	memory := float64(e.MemoryTokens)
	if leavingShare == 0 {
		return memory
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	usable := memory * (1 - leavingShare*shareOf(m.succeeded, m.failed, now, moveDecayTime))
	if e.CopyRate > 0 {
		usable = min(usable, e.CopyRate*MoveWithin.Seconds())
	}
	return usable
}
