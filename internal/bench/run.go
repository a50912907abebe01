package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/enginemodel"
)

// epoch is where virtual time starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// conditions are the faults of a run.
type conditions struct {
	// reportLag is how late the engine's load page is; 0 means no page.
	reportLag time.Duration
	// dies is when the engine loses all it has; 0 means never.
	dies time.Duration
}

// stallAfter is the gap between tokens above which a stream counts as stalled.
const stallAfter = 250 * time.Millisecond

// flight is one request on its way.
type flight struct {
	arrival
	admitted bool
	first    time.Duration
	last     time.Duration
	tokens   int
	stall    time.Duration
	ended    bool
	refused  bool
}

// sample is what one run showed.
type sample struct {
	gap         *hdrhistogram.Histogram
	first       *hdrhistogram.Histogram
	stall       [kinds]*hdrhistogram.Histogram
	stallSum    time.Duration
	refusal     *hdrhistogram.Histogram
	preemptions int
	requests    int
	refused     int
	lost        int
	good        int
	length      time.Duration
}

const (
	histogramMax    = int64(time.Hour / time.Microsecond)
	histogramDigits = 3
)

func newSample() *sample {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, histogramMax, histogramDigits) }
	s := &sample{gap: h(), first: h(), refusal: h()}
	for k := range s.stall {
		s.stall[k] = h()
	}
	return s
}

// simulation runs one contender over one trace.
type simulation struct {
	engine  *enginemodel.Engine
	c       *contender
	now     time.Duration
	flights map[string]*flight
	open    []*flight
	out     *sample
	cond    conditions
	reports []report
	pauses  int
}

type report struct {
	at   time.Duration
	used int
}

func run(m maker, e enginemodel.Settings, trace []arrival, cond conditions) *sample {
	s := &simulation{engine: enginemodel.New(e), flights: map[string]*flight{}, out: newSample(), cond: cond}
	s.c = m.build(e, func() time.Time { return epoch.Add(s.now) })
	s.out.requests = len(trace)
	next := 0
	for next < len(trace) || len(s.open) > 0 {
		for next < len(trace) && trace[next].at <= s.now {
			s.arrive(trace[next])
			next++
		}
		s.giveUp()
		s.carryOut()
		if s.engine.Idle() {
			s.skip(trace, next)
			continue
		}
		s.step()
	}
	s.out.length = s.now
	s.out.preemptions = s.engine.Preemptions() + s.pauses
	return s.out
}

// idleStep is how far time moves when nothing runs and nothing arrives.
const idleStep = 10 * time.Millisecond

func (s *simulation) skip(trace []arrival, next int) {
	s.now += idleStep
	if len(s.open) == 0 && next < len(trace) && trace[next].at > s.now {
		s.now = trace[next].at
	}
}

func (s *simulation) arrive(a arrival) {
	f := &flight{arrival: a}
	s.flights[a.id] = f
	s.open = append(s.open, f)
	s.c.arrive(a, epoch.Add(s.now))
}

// giveUp ends requests without a first token in time: the caller is gone.
func (s *simulation) giveUp() {
	kept := s.open[:0]
	for _, f := range s.open {
		late := f.tokens == 0 && s.now-f.at > startWithin
		if late && !f.ended {
			s.refuse(f)
			s.c.drop(f.id)
			_ = s.engine.Cancel(f.id)
		}
		if !f.ended {
			kept = append(kept, f)
		}
	}
	s.open = kept
}

func (s *simulation) refuse(f *flight) {
	f.ended, f.refused = true, true
	s.out.refused++
	_ = s.out.refusal.RecordValue((s.now - f.at).Microseconds())
}

func (s *simulation) carryOut() {
	for _, a := range s.c.decide(epoch.Add(s.now)) {
		f := s.flights[a.id]
		switch a.kind {
		case decision.Admit:
			f.admitted = true
			_ = s.engine.Submit(enginemodel.Job{ID: f.id, Prompt: f.prompt, Output: f.output})
		case decision.Refuse:
			s.refuse(f)
		case decision.Pause:
			if s.engine.Pause(f.id) == nil {
				s.pauses++
			}
		case decision.Resume:
			_ = s.engine.Resume(f.id)
		}
	}
}

func (s *simulation) step() {
	batch := s.engine.Batch()
	took, tokens := s.engine.Step()
	s.now += took
	for _, t := range tokens {
		s.token(s.flights[t.ID()], t.Last())
	}
	s.c.step(max(batch, s.engine.Batch()), took)
	s.reportLoad()
	if s.cond.dies > 0 && s.now >= s.cond.dies {
		s.cond.dies = 0
		s.die()
	}
}

func (s *simulation) reportLoad() {
	if s.cond.reportLag == 0 {
		return
	}
	s.reports = append(s.reports, report{s.now, s.engine.Used()})
	if r := s.reports[0]; r.at <= s.now-s.cond.reportLag {
		s.c.report(r.used, epoch.Add(r.at))
		s.reports = s.reports[1:]
	}
}

// die loses all that runs; the streams are cut and do not count as good.
func (s *simulation) die() {
	for _, f := range s.open {
		if f.admitted && !f.ended {
			f.ended = true
			s.out.lost++
			s.c.drop(f.id)
			_ = s.engine.Cancel(f.id)
		}
	}
}

func (s *simulation) token(f *flight, last bool) {
	f.tokens++
	if f.tokens == 1 {
		f.first = s.now - f.at
		_ = s.out.first.RecordValue(f.first.Microseconds())
	} else {
		gap := s.now - f.last
		_ = s.out.gap.RecordValue(gap.Microseconds())
		f.stall += max(0, gap-stallAfter)
	}
	f.last = s.now
	if !last {
		s.c.token(f.id)
		return
	}
	f.ended = true
	s.c.token(f.id)
	s.c.finish(f.id)
	s.out.good += f.tokens
	s.out.stallSum += f.stall
	_ = s.out.stall[f.kind].RecordValue(f.stall.Microseconds())
}
