package decision

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// resumeRisk is less than the risk at admission: a paused stream stalls
	// its caller, a waiting one does not yet.
	resumeRisk = 1
	// hopeless is the part of the expected wait that must exceed the time left
	// before a request is given up: the expectation errs on either side.
	hopeless = 0.6
	// pausePenalty multiplies the cost of pausing a stream for each time it
	// gave way before, so that it is never the same one over and over.
	pausePenalty = 4.0
	// reserveSteps is how many decode steps ahead memory must be free.
	reserveSteps  = 4
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// giveWay pauses streams before the engine runs out of memory and must choose
// by itself.
func (s *Scheduler) giveWay() {
	for len(s.running) > 1 && s.Used()+s.soonNeeded() > s.settings.Blocks {
		st := s.victim()
		if st == nil {
			return
		}
		st.pauses++
		s.enter(st, paused)
		s.act(Pause, st, "memory")
	}
}

// soonNeeded returns the blocks that the running streams will open within
// reserveSteps output tokens.
func (s *Scheduler) soonNeeded() int {
	n := 0
	for _, st := range s.running {
		n += s.blocks(st.tokens()+reserveSteps) - s.blocks(st.tokens())
	}
	return n
}

func (s *Scheduler) victim() *stream {
	var best *stream
	bestCost := math.Inf(1)
	for _, st := range s.running {
		if c := s.pauseCost(st); c < bestCost {
			best, bestCost = st, c
		}
	}
	return best
}

// pauseCost is the work lost and stall caused for each block freed, weighted
// by the policy.
func (s *Scheduler) pauseCost(st *stream) float64 {
	if s.settings.NoVictimChoice {
		return -float64(st.order)
	}
	freed := float64(s.blocks(st.tokens()))
	recompute := float64(st.tokens())
	stall := 400.0
	return st.req.GiveWay * math.Pow(pausePenalty, float64(st.pauses)) * (recompute + stall) / freed
}

// resume brings paused streams back, the longest paused first.
func (s *Scheduler) resume() {
	if len(s.paused) == 0 {
		return
	}
	f := s.foresee()
	for len(s.paused) > 0 && s.batchAllows() {
		st := s.paused[0]
		f.add(s, st)
		alone := len(s.running) == 0
		if !alone && (!s.fits(&f, resumeRisk) || !s.hasRoom(st)) {
			return
		}
		s.enter(st, running)
		s.act(Resume, st, "memory")
	}
}

func (s *Scheduler) hasRoom(st *stream) bool {
	return s.Used()+s.soonNeeded()+s.blocks(st.tokens()+reserveSteps) <= s.settings.Blocks
}

// admit starts waiting requests and keeps count of how fast the backlog moves.
func (s *Scheduler) admit() {
	s.rate.observe(s.now(), s.backlog)
	s.startWaiting()
	s.backlog = len(s.waiting) > 0
}

// startWaiting starts requests in order while the risk of running out of memory
// stays within bounds. While a stream is paused nobody new goes first.
func (s *Scheduler) startWaiting() {
	if len(s.waiting) == 0 || len(s.paused) > 0 {
		return
	}
	s.sortQueue()
	f := s.foresee()
	for len(s.waiting) > 0 && s.batchAllows() {
		st := s.waiting[0]
		f.add(s, st)
		alone := len(s.running) == 0
		if !alone && (!s.fits(&f, s.settings.Risk) || !s.hasRoom(st)) {
			return
		}
		s.rate.started()
		s.enter(st, running)
		s.shares.start(st.virtual)
		s.act(Admit, st, "fits")
	}
}

func (s *Scheduler) sortQueue() {
	slices.SortStableFunc(s.waiting, func(a, b *stream) int {
		if c := cmp.Compare(a.req.Rank, b.req.Rank); c != 0 {
			return c
		}
		if !s.settings.NoFairness {
			if c := cmp.Compare(turn(a.virtual), turn(b.virtual)); c != 0 {
				return c
			}
		}
		return cmp.Compare(a.order, b.order)
	})
}

func (s *Scheduler) batchAllows() bool {
	if s.settings.MaxBatch > 0 && len(s.running) >= s.settings.MaxBatch {
		return false
	}
	if s.settings.TokenGap <= 0 {
		return true
	}
	return len(s.running) < s.steps.limit(s.settings.TokenGap)
}

// refuse gives a final answer to those who will not start in time, at once.
func (s *Scheduler) refuse() {
	now := s.now()
	for i := 0; i < len(s.waiting); {
		st := s.waiting[i]
		wait := s.rate.wait(i + 1)
		late := now.Add(time.Duration(hopeless * float64(wait))).After(st.req.StartBy)
		givenUp := late && !s.settings.NoRefusal
		if st.req.StartBy.IsZero() || (!givenUp && now.Before(st.req.StartBy)) {
			i++
			continue
		}
		retry := min(max(wait, minRetryAfter), maxRetryAfter)
		s.act(Refuse, st, "no start in time")
		s.actions[len(s.actions)-1].retryAt = now.Add(retry)
		s.Drop(st.req.ID)
	}
}
