package pace

import (
	"math"
	"slices"
	"time"
)

const (
	// ratioBins is the number of bins of the distribution of pauses; each is binWidth wide in the
	// natural logarithm of the pause divided by the engine's pace. The last one begins at a ratio of 16.
	ratioBins = 32
	binWidth  = 0.09
	// maxObservations is the number of observations at which all counts of a distribution are halved, so
	// that it follows a load that changes within a minute.
	maxObservations = 2048
	// priorObservations is the number of observations that the assumed distribution counts for. Its tail
	// falls with the power priorExponent of the ratio: longer pauses are less likely, and faster engines
	// are safer, which is all that can be said before anything was observed.
	priorObservations = 25
	priorExponent     = 2.5
	// priorReadingShare is the assumed share of segments beside which a prompt waits to be read.
	priorReadingShare = 0.25
	// profileAge is how long a Profile is used before a new one is made: engines change their pace
	// in tens of seconds.
	profileAge = 100 * time.Millisecond
	// slowFactor and normalFactor are the multiples of the typical pace of its service above which an
	// engine begins, and below which it ceases, to count as slow. minSlowSamples is the number of samples
	// before that.
	slowFactor     = 1.3
	normalFactor   = 1.15
	minSlowSamples = 3
	// equalSpread is the relative difference of two paces that may come from different numbers of
	// streams in the batch alone. Paces within it of the typical one count as equal to it, so that a
	// service with engines of one speed is served as if nothing were known.
	equalSpread = 0.15
	// minReadingShare bounds from below the share of segments beside which prompts are read.
	minReadingShare = 0.05
)

// distribution counts observations by the ratio of what was seen to what is usual.
type distribution struct {
	bins  [ratioBins]float64
	total float64
}

// add counts an observation. At maxObservations, it halves all counts and reports that.
func (d *distribution) add(ratio float64) (halved bool) {
	if d.total >= maxObservations {
		for i := range d.bins {
			d.bins[i] /= 2
		}
		d.total /= 2
		halved = true
	}
	d.bins[binOf(ratio)]++
	d.total++
	return halved
}

// tail holds, for each bin, the share of observations in that bin or a later one.
type tail [ratioBins]float64

func (d *distribution) tail() tail {
	var t tail
	sum := 0.0
	for i := ratioBins - 1; i >= 0; i-- {
		sum += d.bins[i]
		prior := priorObservations * math.Exp(-priorExponent*binWidth*float64(i))
		t[i] = (sum + prior) / (d.total + priorObservations)
	}
	return t
}

// beyond returns the share of observations whose ratio exceeds limit to usual.
func (t *tail) beyond(limit, usual time.Duration) float64 {
	return t[binOf(float64(limit)/float64(max(usual, 1)))]
}

// service holds what is known of the engines of a service together.
type service struct {
	// pauses holds the longest pause in segments of streams, relative to the pace of the engine, and
	// starts the time to the first event, relative to the time in which its prompts are usually read.
	pauses, starts distribution
	// reading counts the segments at whose end a prompt waited to be read at the engine.
	reading float64
	typical time.Duration
	// bound is the longest pause that the operator allows the streams of the service, as of the latest
	// segment.
	bound   time.Duration
	profile *Profile
	madeAt  time.Time
}

// Segment is what a stream observed over a few events in a row at one engine.
type Segment struct {
	Engine, Service string
	// Interval is the mean time between two events, and Longest the longest one.
	Interval, Longest time.Duration
	// Bound is the longest pause that the operator allows the stream.
	Bound time.Duration
	// Reading is set if a prompt was waiting to be read there at the end of the segment.
	Reading bool
}

// Add adds a segment of a stream of this entry.
func (s *Set) Add(seg Segment, now time.Time) {
	s.mu.Lock()
	change, changed := s.add(seg.Engine, seg.Service, seg.Interval, now)
	if e, ok := s.engines[seg.Engine]; ok && e.merged.Interval > 0 {
		v := s.service(seg.Service)
		v.bound = seg.Bound
		v.count(float64(seg.Longest)/float64(e.merged.Interval), seg.Reading)
	}
	s.mu.Unlock()
	if changed {
		s.onChange(change)
	}
}

func (s *Set) service(name string) *service {
	v, ok := s.services[name]
	if !ok {
		v = &service{}
		s.services[name] = v
	}
	return v
}

// count counts a segment by its longest pause, as a multiple of the engine's pace.
func (v *service) count(ratio float64, reading bool) {
	if v.pauses.add(ratio) {
		v.reading /= 2
	}
	if reading {
		v.reading++
	}
}

// AddFirst adds what the first prompt that an engine read tells of its pace, as long as nothing else is
// known: slowdown is the time that it took, relative to an engine of typical pace. An engine that nobody
// knows would otherwise get long streams until the first of them has shown its pace.
func (s *Set) AddFirst(id, serviceName string, slowdown float64, now time.Time) {
	s.mu.Lock()
	v, ok := s.services[serviceName]
	if !ok || v.typical == 0 || slowdown <= 0 || s.engine(id).merged.Samples > 0 {
		s.mu.Unlock()
		return
	}
	e := s.engine(id)
	e.service, e.provisional, e.at = serviceName, true, now
	e.samples = append(e.samples[:0], time.Duration(min(max(slowdown, 1.0/maxSlowdown), maxSlowdown)*float64(v.typical)))
	change, changed := s.update(id, e, now)
	s.mu.Unlock()
	if changed {
		s.onChange(change)
	}
}

// maxSlowdown bounds what the time of a single prompt tells of an engine's pace, in both directions: the prompt may
// have waited behind others, or may be cached at the engine.
const maxSlowdown = 4

// AddStart adds the time to the first event of a generation at an engine, and the time in which that
// engine usually reads the prompts that it had to read before.
func (s *Set) AddStart(serviceName string, first, usual time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v, ok := s.services[serviceName]; ok && first > 0 && usual > 0 {
		v.starts.add(float64(first) / float64(usual))
	}
}

func binOf(ratio float64) int {
	if ratio <= 1 {
		return 0
	}
	return min(int(math.Log(ratio)/binWidth), ratioBins-1)
}

// update computes the estimate of an engine anew and reports whether the engine began or ceased to
// count as slow. s.mu must be held.
func (s *Set) update(id string, e *engine, now time.Time) (Change, bool) {
	e.merged = e.merge()
	v := s.service(e.service)
	if v.typical == 0 || now.Sub(v.madeAt) >= profileAge {
		s.updateService(e.service)
	}
	if v.typical == 0 || e.merged.Samples < minSlowSamples {
		return Change{}, false
	}
	ratio := float64(e.merged.Interval) / float64(v.typical)
	slow := ratio > slowFactor || e.slow && ratio > normalFactor
	changed := slow != e.slow
	e.slow = slow
	return Change{Engine: id, Service: e.service, Slow: slow, Interval: e.merged.Interval, Typical: v.typical, Entries: e.merged.Entries}, changed
}

// updateService computes the typical pace of a service anew and drops its profile. s.mu must be held.
func (s *Set) updateService(name string) {
	var paces []time.Duration
	for _, e := range s.engines {
		if e.service == name && e.merged.Samples > 0 {
			paces = append(paces, e.merged.Interval)
		}
	}
	v := s.service(name)
	v.typical, v.profile = 0, nil
	if len(paces) > 0 {
		slices.Sort(paces)
		v.typical = paces[len(paces)/2]
	}
}

// Profile is what is known of the engines of a service at one moment. It is not modified. A nil
// Profile knows nothing: all engines are alike and no pause is expected.
type Profile struct {
	intervals map[string]time.Duration
	typical   time.Duration
	bound     time.Duration
	// pauses and starts are the tails of the distributions of the service.
	pauses, starts tail
	// reading is the share of segments beside which a prompt waited to be read.
	reading float64
}

// Profile returns the current profile of a service, or nil if no stream with a bound was observed yet.
func (s *Set) Profile(name string, now time.Time) *Profile {
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.services[name]
	if !ok || v.bound == 0 {
		return nil
	}
	if v.profile != nil && now.Sub(v.madeAt) < profileAge {
		return v.profile
	}
	s.updateService(name)
	p := &Profile{intervals: map[string]time.Duration{}, typical: v.typical, bound: v.bound, reading: max((v.reading+priorReadingShare*priorObservations)/(v.pauses.total+priorObservations), minReadingShare), pauses: v.pauses.tail(), starts: v.starts.tail()}
	for id, e := range s.engines {
		if e.service == name && e.merged.Samples > 0 {
			p.intervals[id] = p.settle(e.merged.Interval)
		}
	}
	v.profile, v.madeAt = p, now
	return p
}

// settle returns the typical pace for one that differs from it by no more than equalSpread.
func (p *Profile) settle(interval time.Duration) time.Duration {
	if math.Abs(float64(interval-p.typical)) <= equalSpread*float64(p.typical) {
		return p.typical
	}
	return interval
}

// Bound returns the longest pause that the operator allows the streams of the service, or 0 if nothing is
// known.
func (p *Profile) Bound() time.Duration {
	if p == nil {
		return 0
	}
	return p.bound
}

// Known reports whether some entry has observed an engine.
func (p *Profile) Known(id string) bool {
	if p == nil {
		return false
	}
	_, ok := p.intervals[id]
	return ok
}

// Slowdown returns how much slower than the typical engine of its service an engine is; 1 for one that
// nobody has observed.
func (p *Profile) Slowdown(id string) float64 {
	if p == nil || p.typical == 0 {
		return 1
	}
	interval, ok := p.intervals[id]
	if !ok {
		return 1
	}
	return float64(interval) / float64(p.typical)
}

// LateRisk returns the probability that a stream with a number of events at an engine pauses for longer
// than bound.
func (p *Profile) LateRisk(id string, bound time.Duration, events int) float64 {
	return 1 - math.Pow(1-p.segmentRisk(id, bound), float64(events)/SegmentEvents)
}

// DelayRisk returns the probability that a stream at an engine pauses for longer than bound because a
// prompt is read beside it for a time.
func (p *Profile) DelayRisk(id string, bound, reading time.Duration) float64 {
	if p == nil {
		return 0
	}
	interval, ok := p.intervals[id]
	if !ok {
		interval = p.typical
	}
	beside := min(p.segmentRisk(id, bound)/p.reading, 1)
	segments := float64(reading) / float64(max(interval*SegmentEvents, 1))
	return 1 - math.Pow(1-beside, segments)
}

// segmentRisk returns the share of segments at an engine whose longest pause exceeds bound. For an engine
// that nobody has observed, it is the mean over those that somebody has.
func (p *Profile) segmentRisk(id string, bound time.Duration) float64 {
	if p == nil || bound <= 0 {
		return 0
	}
	if interval, ok := p.intervals[id]; ok {
		return p.pauses.beyond(bound, interval)
	}
	sum := 0.0
	for _, interval := range p.intervals {
		sum += p.pauses.beyond(bound, interval)
	}
	return sum / float64(max(len(p.intervals), 1))
}

// StartRisk returns the probability that a generation begins later than limit at an engine that usually
// takes a time to read the prompts before its first event.
func (p *Profile) StartRisk(usual, limit time.Duration) float64 {
	if p == nil || limit <= 0 || usual <= 0 {
		return 0
	}
	return p.starts.beyond(limit, usual)
}
