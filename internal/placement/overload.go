package placement

import (
	"sync"
	"time"
)

const (
	// overloadQuietTime is the time without a refusal after which an overload is over. It is
	// longer than the pauses between refusals of one entry while the demand is one and a half
	// times what the engines can serve.
	overloadQuietTime = 2 * time.Second
	// refusalDecayTime is the time constant of the counts of refused and admitted generations.
	// It covers about ten generations of one entry in a deployment of 22 entries that get 55 a
	// second.
	refusalDecayTime = 4 * time.Second
	// minRetryAfterShare is the part of the objective after which a caller is asked to retry while
	// nearly all generations are admitted: three quarters are left to prefill the prompt.
	minRetryAfterShare = 0.25
	// MinRetryAfter is the shortest time after which a caller is asked to retry: about the time in
	// which a few of some hundred streams end.
	MinRetryAfter = 250 * time.Millisecond
	// ageFactor, multiplied by the refused share of generations, is the part of the age of the
	// overload that a caller is asked to wait, up to the whole age.
	ageFactor = 1.5
	// RetryAfterJitter is the jitter of the retry times, as a fraction in both directions, so that
	// callers refused together do not retry together.
	RetryAfterJitter = 0.25
)

// Overload tracks since when a service has been refusing generations, and how many of them.
type Overload struct {
	mu sync.Mutex
	// firstRefusal and lastRefusal are the times of the first and the latest refusal of the
	// overload.
	firstRefusal, lastRefusal time.Time
	// refusals and admissions decay by refusalDecayTime.
	refusals, admissions Decaying
}

// Admitted records that a generation was admitted.
func (o *Overload) Admitted(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.admissions = o.admissions.Add(1, now, refusalDecayTime)
}

// Refused records a refusal and returns the time after which the caller should retry. objective
// is the time in which generations should begin, as set by the caller's route. random, in [0, 1),
// sets the jitter.
//
// While few generations are refused, that time is short: the retry very likely finds room and
// still begins in time. The end of an overload is not known, but one that has lasted for a time
// can be expected to last as long again. So the more generations are refused, the larger the
// part of the age of the overload that a caller waits. Callers make one or two attempts.
func (o *Overload) Refused(objective time.Duration, now time.Time, random float64) time.Duration {
	minRetryAfter := max(time.Duration(minRetryAfterShare*float64(objective)), MinRetryAfter)
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.firstRefusal.IsZero() || now.Sub(o.lastRefusal) > overloadQuietTime {
		o.firstRefusal = now
	}
	o.lastRefusal = now
	o.refusals = o.refusals.Add(1, now, refusalDecayTime)
	share := shareOf(o.admissions, o.refusals, now, refusalDecayTime)
	retryAfter := max(time.Duration(min(ageFactor*share, 1)*float64(now.Sub(o.firstRefusal))), minRetryAfter)
	return time.Duration(float64(retryAfter) * (1 - RetryAfterJitter + 2*RetryAfterJitter*random))
}
