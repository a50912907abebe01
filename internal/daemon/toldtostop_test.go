package daemon

import (
	"testing"
	"time"
)

// TestToldToStop covers from when the time to stop counts: for what is in flight from when the process
// last ran at all, for what comes from the earliest time at which the signal may have come.
func TestToldToStop(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		// watched and lagged are by how much the process may have noticed late.
		watched, lagged time.Duration
		told, earliest  time.Duration
	}{
		{"it runs", 0, 0, 0, 0},
		{"it did not run", 900 * ms, 0, 900 * ms, 900 * ms},
		{"it ran in moments", 0, 700 * ms, 0, 700 * ms},
		{"both", 300 * ms, 700 * ms, 300 * ms, 700 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			b := &gatewayBuilder{watch: newRunWatch(func() time.Time { return now }), lag: newRunLag(func() time.Time { return now })}
			b.watch.ranAt = now.Add(-tc.watched)
			b.lag.looks[0].at, b.lag.due = now.Add(-tc.lagged), now.Add(-tc.lagged)
			told, earliest := b.toldToStop()
			if now.Sub(told) != tc.told || now.Sub(earliest) != tc.earliest {
				t.Errorf("%s, %s; want %s, %s", now.Sub(told), now.Sub(earliest), tc.told, tc.earliest)
			}
		})
	}
}
