package daemon

import "time"

// clockTolerance is the difference between the time of day and the steady clock in one tick that counts as
// a jump. It is above what adjustments of the time of day and a pause between two readings add up to.
const clockTolerance = 250 * time.Millisecond

// clockWatch compares the time of day with the steady clock.
type clockWatch struct {
	read func() (wall, steady time.Duration)
	// ahead is by how much the time of day was ahead of the steady clock at the latest tick.
	ahead time.Duration
}

func newClockWatch(read func() (wall, steady time.Duration)) *clockWatch {
	wall, steady := read()
	return &clockWatch{read: read, ahead: wall - steady}
}

// tick returns by how much the time of day has jumped since the tick before, 0 if it has not.
func (w *clockWatch) tick() time.Duration {
	wall, steady := w.read()
	by := wall - steady - w.ahead
	w.ahead += by
	if by.Abs() < clockTolerance {
		return 0
	}
	return by
}

// processStart is the origin of the readings of readClocks.
var processStart = time.Now()

// readClocks reads the time of day and the steady clock at the same moment.
func readClocks() (wall, steady time.Duration) {
	now := time.Now()
	return now.Round(0).Sub(processStart.Round(0)), now.Sub(processStart)
}
