package daemon

import (
	"testing"
	"time"
)

// TestToldToStop covers that the time to stop counts from the earliest time at which the signal may
// have come, by either account.
func TestToldToStop(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		// watched and lagged are by how much the process may have noticed late.
		watched, lagged time.Duration
		want            time.Duration
	}{
		{"it runs", 0, 0, 0},
		{"it did not run", 900 * ms, 0, 900 * ms},
		{"it ran in moments", 0, 700 * ms, 700 * ms},
		{"both", 300 * ms, 700 * ms, 700 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			b := &gatewayBuilder{watch: newRunWatch(func() time.Time { return now }), lag: newRunLag(func() time.Time { return now })}
			b.watch.ranAt = now.Add(-tc.watched)
			b.lag.looks[0].at, b.lag.due = now.Add(-tc.lagged), now.Add(-tc.lagged)
			if got := now.Sub(b.toldToStop()); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}
