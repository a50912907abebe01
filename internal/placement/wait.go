package placement

import "time"

// maxWaitShare is the part of its objective for which a generation waits for room before it is refused. A
// caller that is refused after a quarter can still be served in time when it retries.
const maxWaitShare = 0.25

// MaxWait returns how long after its arrival a generation may wait for room.
func MaxWait(objective time.Duration) time.Duration {
	return time.Duration(maxWaitShare * float64(objective))
}
