package decision

import (
	"math"
	"time"
)

// fairQueue implements start-time fair queueing over client accounts. Each request gets a
// virtual start time, its start tag; the more an account has been charged, the later its next
// start tag.
type fairQueue struct {
	virtualTime float64
	// finishTags holds, by account, the virtual time up to which it has been charged.
	finishTags map[string]float64
}

func newFairQueue() fairQueue { return fairQueue{finishTags: map[string]float64{}} }

const (
	assumedCostTokens = 200.0
	// fairnessBucketTokens is how many tokens over weight an account may be ahead of another
	// before fairness overrides the order of arrival. With smaller buckets some requests wait
	// long and others not at all, and more callers give up.
	fairnessBucketTokens = 2000.0
)

// fairnessBucket returns the number of the bucket of a start tag. The queue is ordered by it.
func fairnessBucket(virtual float64) float64 { return math.Floor(virtual / fairnessBucketTokens) }

func (s *fairQueue) arrive(account string, weight float64) float64 {
	v := max(s.virtualTime, s.finishTags[account])
	s.finishTags[account] = v + assumedCostTokens/weight
	return v
}

func (s *fairQueue) start(virtual float64) { s.virtualTime = max(s.virtualTime, virtual) }

// charge replaces the assumed cost of a request by its actual cost in tokens.
func (s *fairQueue) charge(account string, weight float64, tokens int) {
	s.finishTags[account] += (float64(tokens) - assumedCostTokens) / weight
	if s.finishTags[account] <= s.virtualTime && len(s.finishTags) > maxIdleAccounts {
		delete(s.finishTags, account)
	}
}

const maxIdleAccounts = 4096

// stepModel estimates how the time of a decode step grows with the batch: a least-squares line
// over samples that decay. While the batch hardly changes, the slope cannot be told from noise;
// then the last good slope is kept and only the offset of the line follows the samples.
type stepModel struct {
	n, x, y, xx, xy float64
	slope           float64
}

const (
	stepDecay      = 0.995
	minStepSamples = 20
	// minBatchSpread is the standard deviation of the batch, relative to its mean, from which
	// on the slope is estimated.
	minBatchSpread = 0.1
	noLimit        = math.MaxInt32
)

// Step records that a decode step with the given number of streams took d.
func (s *Scheduler) Step(batch int, d time.Duration) { s.steps.add(float64(batch), d.Seconds()) }

func (m *stepModel) add(x, y float64) {
	m.n = m.n*stepDecay + 1
	m.x = m.x*stepDecay + x
	m.y = m.y*stepDecay + y
	m.xx = m.xx*stepDecay + x*x
	m.xy = m.xy*stepDecay + x*y
	spread := m.n*m.xx - m.x*m.x
	if m.n < minStepSamples || spread < minBatchSpread*minBatchSpread*m.x*m.x {
		return
	}
	if slope := (m.n*m.xy - m.x*m.y) / spread; slope > 0 {
		m.slope = slope
	}
}

// limit returns the largest batch whose step is expected to take at most gap.
func (m *stepModel) limit(gap time.Duration) int {
	if m.slope <= 0 {
		return noLimit
	}
	return max(1, int((m.x+(gap.Seconds()*m.n-m.y)/m.slope)/m.n))
}

// startRate estimates the wait for a position in the queue from the starts while there was a
// backlog. Starts without a backlog tell how fast requests arrived, not how fast they could
// have been served.
type startRate struct {
	last           time.Time
	backlogSeconds float64
	starts         float64
}

const (
	// startDecaySeconds is the time of backlog after which a start counts about a third (1/e).
	startDecaySeconds = 20
	// minBacklogSeconds is the time of backlog below which no wait is estimated.
	minBacklogSeconds = 2
)

// observe accounts for the time since the last call.
func (r *startRate) observe(now time.Time, backlog bool) {
	if backlog && !r.last.IsZero() {
		d := now.Sub(r.last).Seconds()
		fade := math.Exp(-d / startDecaySeconds)
		r.backlogSeconds = r.backlogSeconds*fade + d
		r.starts *= fade
	}
	r.last = now
}

func (r *startRate) started() { r.starts++ }

// wait returns the expected time until the request at a position in the queue starts.
func (r *startRate) wait(position int) time.Duration {
	if r.backlogSeconds < minBacklogSeconds {
		return 0
	}
	return time.Duration(float64(position) * r.backlogSeconds / (r.starts + 1) * float64(time.Second))
}

// Wait returns the expected time until a request that arrives now starts.
func (s *Scheduler) Wait() time.Duration {
	if len(s.waiting) == 0 {
		return 0
	}
	return s.rate.wait(len(s.waiting) + 1)
}
