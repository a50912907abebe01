package daemon

import (
	"testing"
	"time"
)

// TestStopSignalTimes covers the two estimates of when the stop signal was sent. For requests in
// flight, the estimate is when the process last ran before a stall. For new requests, it is the
// earliest possible time.
func TestStopSignalTimes(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name string
		// stalledFor and laggedFor are the delays that the detectors report.
		stalledFor, laggedFor time.Duration
		signalled, earliest   time.Duration
	}{
		{"process runs", 0, 0, 0, 0},
		{"process stalled", 900 * ms, 0, 900 * ms, 900 * ms},
		{"process ran for moments", 0, 700 * ms, 0, 700 * ms},
		{"process stalled and ran for moments", 300 * ms, 700 * ms, 300 * ms, 700 * ms},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Now()
			b := &gatewayBuilder{stalls: newStallDetector(func() time.Time { return now }), lags: newLagDetector(func() time.Time { return now })}
			b.stalls.lastTick = now.Add(-tc.stalledFor)
			b.lags.ticks[0].at, b.lags.nextDue = now.Add(-tc.laggedFor), now.Add(-tc.laggedFor)
			signalled, earliest := b.stopSignalTimes()
			if now.Sub(signalled) != tc.signalled || now.Sub(earliest) != tc.earliest {
				t.Errorf("%s, %s; want %s, %s", now.Sub(signalled), now.Sub(earliest), tc.signalled, tc.earliest)
			}
		})
	}
}
