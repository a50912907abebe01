package placement

import (
	"sync"
	"time"
)

const (
	// overloadEnds is the time without a refusal after which an overload is over:
	// longer than the pauses between refusals of one entry while half as much again
	// is asked as the engines can do.
	overloadEnds = 2 * time.Second
	// refusalsRemembered is the time over which refused and admitted generations count:
	// some ten of one entry, on a deployment of 22 entries that get 55 a second.
	refusalsRemembered = 4 * time.Second
	// backSoon is the part of the objective after which a caller is told to come back
	// while nearly all are admitted: three quarters are left to read the prompt.
	backSoon = 0.25
	// BackLeast is the least time to come back, about the time in which a few of some
	// hundred streams end.
	BackLeast = 250 * time.Millisecond
	// ageOfShare is how much of the overload's age a caller waits for each part of the
	// generations that is refused.
	ageOfShare = 1.5
	// BackSpread is the part by which the times told are spread to both sides, so
	// that callers refused together do not come back together.
	BackSpread = 0.25
)

// Overload knows since when a service has had to refuse generations, and how many.
type Overload struct {
	mu sync.Mutex
	// since and last are the first and the latest refusal of the overload.
	since, last time.Time
	// refusals and admissions are those of late.
	refusals, admissions Decaying
}

// Admitted notes that a generation found room.
func (o *Overload) Admitted(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.admissions = o.admissions.Add(1, now, refusalsRemembered)
}

// Refused notes a refusal and returns the time after which the caller should come
// back; objective is the time in which its route wants generations to begin. While few are refused the next try very likely finds
// room, and in time. How long an overload lasts is not known; one that has lasted for a
// time can be expected to last as long again, so the more are refused the larger a part of
// its age a caller waits. Callers have one or two tries.
func (o *Overload) Refused(objective time.Duration, now time.Time, random float64) time.Duration {
	soon := max(time.Duration(backSoon*float64(objective)), BackLeast)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || now.Sub(o.last) > overloadEnds {
		o.since = now
	}
	o.last = now
	o.refusals = o.refusals.Add(1, now, refusalsRemembered)
	share := shareOf(o.admissions, o.refusals, now, refusalsRemembered)
	back := max(time.Duration(min(ageOfShare*share, 1)*float64(now.Sub(o.since))), soon)
	return time.Duration(float64(back) * (1 - BackSpread + 2*BackSpread*random))
}
