package decision

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// resumeRisk is lower than the risk at admission: a paused stream stalls an answer that its
	// caller is already reading, a waiting request does not.
	resumeRisk = 1
	// refuseWaitShare is the part of the expected wait that must exceed the time left before a
	// request is refused. It is less than 1 because the expectation errs in both directions.
	refuseWaitShare = 0.6
	// pausePenalty multiplies the cost of pausing a stream for each time that it was paused
	// before, so that the same stream is not paused over and over.
	pausePenalty = 4.0
	// reserveSteps is the number of decode steps ahead for which memory must be free.
	reserveSteps  = 4
	minRetryAfter = time.Second
	maxRetryAfter = 2 * time.Minute
)

// pauseForMemory pauses streams before the engine runs out of memory and preempts streams of
// its own choice.
func (s *Scheduler) pauseForMemory() {
	for len(s.running) > 1 && s.Used()+s.blocksNeededSoon() > s.settings.Blocks {
		st := s.victim()
		if st == nil {
			return
		}
		st.pauses++
		s.moveTo(st, paused)
		s.addAction(Pause, st, "memory")
	}
}

// blocksNeededSoon returns the number of blocks that the running streams will allocate within
// reserveSteps output tokens.
func (s *Scheduler) blocksNeededSoon() int {
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

// pauseCost returns the work lost and the stall caused per block freed, weighted by the policy.
func (s *Scheduler) pauseCost(st *stream) float64 {
	if s.settings.NoVictimChoice {
		return -float64(st.order)
	}
	freed := float64(s.blocks(st.tokens()))
	recompute := float64(st.tokens())
	stall := 400.0
	return st.req.GiveWay * math.Pow(pausePenalty, float64(st.pauses)) * (recompute + stall) / freed
}

// resume starts paused streams again, the longest paused first.
func (s *Scheduler) resume() {
	if len(s.paused) == 0 {
		return
	}
	f := s.forecast()
	for len(s.paused) > 0 && s.batchAllows() {
		st := s.paused[0]
		f.add(s, st)
		alone := len(s.running) == 0
		if !alone && (!s.fits(&f, resumeRisk) || !s.hasRoom(st)) {
			return
		}
		s.moveTo(st, running)
		s.addAction(Resume, st, "memory")
	}
}

func (s *Scheduler) hasRoom(st *stream) bool {
	return s.Used()+s.blocksNeededSoon()+s.blocks(st.tokens()+reserveSteps) <= s.settings.Blocks
}

// admit starts waiting requests and measures how fast they start while there is a backlog.
func (s *Scheduler) admit() {
	s.rate.observe(s.now(), s.backlog)
	s.startWaiting()
	s.backlog = len(s.waiting) > 0
}

// startWaiting starts requests in the order of the queue while the risk of running out of
// memory stays within bounds. While a stream is paused, no new request starts before it.
func (s *Scheduler) startWaiting() {
	if len(s.waiting) == 0 || len(s.paused) > 0 {
		return
	}
	s.sortQueue()
	f := s.forecast()
	for len(s.waiting) > 0 && s.batchAllows() {
		st := s.waiting[0]
		f.add(s, st)
		alone := len(s.running) == 0
		if !alone && (!s.fits(&f, s.settings.Risk) || !s.hasRoom(st)) {
			return
		}
		s.rate.started()
		s.moveTo(st, running)
		s.fairQueue.start(st.startTag)
		s.addAction(Admit, st, "fits")
	}
}

func (s *Scheduler) sortQueue() {
	slices.SortStableFunc(s.waiting, func(a, b *stream) int {
		if c := cmp.Compare(a.req.Rank, b.req.Rank); c != 0 {
			return c
		}
		if !s.settings.NoFairness {
			if c := cmp.Compare(fairnessBucket(a.startTag), fairnessBucket(b.startTag)); c != 0 {
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

// refuse refuses, without delay, the requests that are not expected to start in time.
func (s *Scheduler) refuse() {
	now := s.now()
	for i := 0; i < len(s.waiting); {
		st := s.waiting[i]
		wait := s.rate.wait(i + 1)
		late := now.Add(time.Duration(refuseWaitShare * float64(wait))).After(st.req.StartBy)
		refuseNow := late && !s.settings.NoRefusal
		if st.req.StartBy.IsZero() || (!refuseNow && now.Before(st.req.StartBy)) {
			i++
			continue
		}
		retry := min(max(wait, minRetryAfter), maxRetryAfter)
		s.addAction(Refuse, st, "no start in time")
		s.actions[len(s.actions)-1].retryAt = now.Add(retry)
		s.Drop(st.req.ID)
	}
}
