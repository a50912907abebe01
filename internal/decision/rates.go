package decision

import (
	"math"
	"time"
)

// shares keeps start-time fair queueing over client accounts: each request
// gets a virtual start time, and an account that had much gets a later one.
type shares struct {
	virtual float64
	spent   map[string]float64
}

func newShares() shares { return shares{spent: map[string]float64{}} }

const (
	assumedTokens = 200.0
	// fairGrain is how many tokens over weight an account may be ahead of
	// another before the order of arrival gives way to fairness. A finer grain
	// makes some wait long and others not at all, and more give up.
	fairGrain = 2000.0
)

// turn is the coarse virtual start time by which the queue is ordered.
func turn(virtual float64) float64 { return math.Floor(virtual / fairGrain) }

func (s *shares) arrive(account string, weight float64) float64 {
	v := max(s.virtual, s.spent[account])
	s.spent[account] = v + assumedTokens/weight
	return v
}

func (s *shares) start(virtual float64) { s.virtual = max(s.virtual, virtual) }

// charge replaces the assumed cost of a request by its real one, in tokens.
func (s *shares) charge(account string, weight float64, tokens int) {
	s.spent[account] += (float64(tokens) - assumedTokens) / weight
	if s.spent[account] <= s.virtual && len(s.spent) > maxIdleAccounts {
		delete(s.spent, account)
	}
}

const maxIdleAccounts = 4096

// stepModel learns how the time of a decode step grows with the batch: a
// least-squares line with fading memory. While the batch hardly changes the line
// cannot be told from noise; then the last good slope is kept and only the
// line's height follows.
type stepModel struct {
	n, x, y, xx, xy float64
	slope           float64
}

const (
	stepFade       = 0.995
	minStepSamples = 20
	// minBatchSpread is the standard deviation of the batch, relative to its
	// mean, from which the slope can be told.
	minBatchSpread = 0.1
	noLimit        = math.MaxInt32
)

// Step notes that a decode step with the given number of streams took d.
func (s *Scheduler) Step(batch int, d time.Duration) { s.steps.add(float64(batch), d.Seconds()) }

func (m *stepModel) add(x, y float64) {
	m.n = m.n*stepFade + 1
	m.x = m.x*stepFade + x
	m.y = m.y*stepFade + y
	m.xx = m.xx*stepFade + x*x
	m.xy = m.xy*stepFade + x*y
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

// startRate estimates how soon a place in the queue comes up, from the starts
// while there was a backlog. Starts without a backlog tell how fast requests
// came, not how fast they could have been served.
type startRate struct {
	last   time.Time
	busy   float64
	starts float64
}

const (
	// startFade is the time, in seconds of backlog, after which a start counts
	// about a third.
	startFade = 20
	// minBacklog is the backlog in seconds before anything is said.
	minBacklog = 2
)

// observe takes the time since the last call into account.
func (r *startRate) observe(now time.Time, backlog bool) {
	if backlog && !r.last.IsZero() {
		d := now.Sub(r.last).Seconds()
		fade := math.Exp(-d / startFade)
		r.busy = r.busy*fade + d
		r.starts *= fade
	}
	r.last = now
}

func (r *startRate) started() { r.starts++ }

// wait returns the expected time until the given place in the queue starts.
func (r *startRate) wait(place int) time.Duration {
	if r.busy < minBacklog {
		return 0
	}
	return time.Duration(float64(place) * r.busy / (r.starts + 1) * float64(time.Second))
}

// Wait returns the expected time until a request that arrives now starts.
func (s *Scheduler) Wait() time.Duration {
	if len(s.waiting) == 0 {
		return 0
	}
	return s.rate.wait(len(s.waiting) + 1)
}
