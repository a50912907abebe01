package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/enginemodel"
)

// epoch is the start of virtual time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// conditions are the faults that are injected into a run.
type conditions struct {
	// reportLag is the age of the engine's load reports when they arrive; 0 means no reports.
	reportLag time.Duration
	// crashAt is the time at which the engine crashes and loses all running streams; 0 means
	// never.
	crashAt time.Duration
}

// stallThreshold is the time between tokens above which a stream counts as stalled. Only the time
// beyond it adds to the stream's stall time.
const stallThreshold = 250 * time.Millisecond

// request is the state of one request during a run.
type request struct {
	arrival
	admitted   bool
	firstToken time.Duration
	lastToken  time.Duration
	tokens     int
	stall      time.Duration
	ended      bool
	refused    bool
}

// result holds the measurements of one run.
type result struct {
	gap             *hdrhistogram.Histogram
	firstToken      *hdrhistogram.Histogram
	stall           [kindCount]*hdrhistogram.Histogram
	stallSum        time.Duration
	refusal         *hdrhistogram.Histogram
	preemptions     int
	requests        int
	refused         int
	lost            int
	completedTokens int
	length          time.Duration
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newResult() *result {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	s := &result{gap: h(), firstToken: h(), refusal: h()}
	for k := range s.stall {
		s.stall[k] = h()
	}
	return s
}

// simulation is the state of a run of one contender over one trace.
type simulation struct {
	engine    *enginemodel.Engine
	contender *contender
	now       time.Duration
	requests  map[string]*request
	open      []*request
	result    *result
	cond      conditions
	reports   []report
	pauses    int
}

type report struct {
	at   time.Duration
	used int
}

func run(f factory, e enginemodel.Settings, trace []arrival, cond conditions) *result {
	s := &simulation{engine: enginemodel.New(e), requests: map[string]*request{}, result: newResult(), cond: cond}
	s.contender = f.build(e, func() time.Time { return epoch.Add(s.now) })
	s.result.requests = len(trace)
	next := 0
	for next < len(trace) || len(s.open) > 0 {
		for next < len(trace) && trace[next].at <= s.now {
			s.arrive(trace[next])
			next++
		}
		s.expireRequests()
		s.applyActions()
		if s.engine.Idle() {
			s.skipIdle(trace, next)
			continue
		}
		s.step()
	}
	s.result.length = s.now
	s.result.preemptions = s.engine.Preemptions() + s.pauses
	return s.result
}

// idleStep is the time by which the virtual clock advances while the engine is idle.
const idleStep = 10 * time.Millisecond

func (s *simulation) skipIdle(trace []arrival, next int) {
	s.now += idleStep
	if len(s.open) == 0 && next < len(trace) && trace[next].at > s.now {
		s.now = trace[next].at
	}
}

func (s *simulation) arrive(a arrival) {
	r := &request{arrival: a}
	s.requests[a.id] = r
	s.open = append(s.open, r)
	s.contender.arrive(a, epoch.Add(s.now))
}

// expireRequests refuses requests without a first token within startTimeout, since their callers
// have disconnected, and removes ended requests from the open ones.
func (s *simulation) expireRequests() {
	remaining := s.open[:0]
	for _, r := range s.open {
		late := r.tokens == 0 && s.now-r.at > startTimeout
		if late && !r.ended {
			s.refuse(r)
			s.contender.drop(r.id)
			_ = s.engine.Cancel(r.id)
		}
		if !r.ended {
			remaining = append(remaining, r)
		}
	}
	s.open = remaining
}

func (s *simulation) refuse(r *request) {
	r.ended, r.refused = true, true
	s.result.refused++
	_ = s.result.refusal.RecordValue((s.now - r.at).Microseconds())
}

func (s *simulation) applyActions() {
	for _, a := range s.contender.decide(epoch.Add(s.now)) {
		r := s.requests[a.id]
		switch a.kind {
		case decision.Admit:
			r.admitted = true
			_ = s.engine.Submit(enginemodel.Job{ID: r.id, Prompt: r.prompt, Output: r.output})
		case decision.Refuse:
			s.refuse(r)
		case decision.Pause:
			if s.engine.Pause(r.id) == nil {
				s.pauses++
			}
		case decision.Resume:
			_ = s.engine.Resume(r.id)
		}
	}
}

func (s *simulation) step() {
	batch := s.engine.BatchSize()
	took, tokens := s.engine.Step()
	s.now += took
	for _, t := range tokens {
		s.token(s.requests[t.ID()], t.Last())
	}
	s.contender.step(max(batch, s.engine.BatchSize()), took)
	s.reportLoad()
	if s.cond.crashAt > 0 && s.now >= s.cond.crashAt {
		s.cond.crashAt = 0
		s.crashEngine()
	}
}

func (s *simulation) reportLoad() {
	if s.cond.reportLag == 0 {
		return
	}
	s.reports = append(s.reports, report{s.now, s.engine.UsedBlocks()})
	if r := s.reports[0]; r.at <= s.now-s.cond.reportLag {
		s.contender.report(r.used, epoch.Add(r.at))
		s.reports = s.reports[1:]
	}
}

// crashEngine ends all running streams. Their tokens do not count towards goodput.
func (s *simulation) crashEngine() {
	for _, r := range s.open {
		if r.admitted && !r.ended {
			r.ended = true
			s.result.lost++
			s.contender.drop(r.id)
			_ = s.engine.Cancel(r.id)
		}
	}
}

func (s *simulation) token(r *request, last bool) {
	r.tokens++
	if r.tokens == 1 {
		r.firstToken = s.now - r.at
		_ = s.result.firstToken.RecordValue(r.firstToken.Microseconds())
	} else {
		gap := s.now - r.lastToken
		_ = s.result.gap.RecordValue(gap.Microseconds())
		r.stall += max(0, gap-stallThreshold)
	}
	r.lastToken = s.now
	if !last {
		s.contender.token(r.id)
		return
	}
	r.ended = true
	s.contender.token(r.id)
	s.contender.finish(r.id)
	s.result.completedTokens += r.tokens
	s.result.stallSum += r.stall
	_ = s.result.stall[r.kind].RecordValue(r.stall.Microseconds())
}
