// Package pace estimates how fast each engine generates. Engines of one service may run at different
// speeds, and each may be slower for moments; neither is stated anywhere. Each entry measures the
// streams that it relays and reports its estimates to the other entries. The estimates of all entries
// together tell, for each incarnation of an engine, the time between two events of a stream, and how
// long the longest pause of a stream is compared to it. The package has no clock and no network:
// callers pass in the time.
package pace

import (
	"slices"
	"sync"
	"time"
)

const (
	// SegmentEvents is the number of events over which one sample is taken: a delay of 10 ms in the
	// process that relays them changes a sample of 35 ms an event by less than 5 %.
	SegmentEvents = 8
	// maxSamples is the number of the latest samples of an engine from which its pace is estimated.
	maxSamples = 16
	// baseQuantile is the quantile of the samples that counts as the pace. Prompts that are read beside
	// a stream and slow moments only lengthen samples, so the lower ones show the engine's own speed.
	baseQuantile = 0.25
	// maxInterval bounds the time between two events that can be an engine's pace.
	maxInterval = 10 * time.Second
	// ReportFor is how long after its latest sample an entry reports its estimate of an engine.
	ReportFor = 30 * time.Second
	// MaxReports limits the engines without load of this entry about which one message reports, so
	// that its size does not grow with the number of engines.
	MaxReports = 24
)

// Report is the estimate of one entry for one incarnation of an engine.
type Report struct {
	// Interval is the time between two events of a stream.
	Interval time.Duration
	// Samples is the number of samples that it is estimated from, maxSamples at most.
	Samples int
	// At is the time of the latest sample.
	At time.Time
}

// valid reports whether a report received at a time can be true. A report cannot be newer than its
// receipt; clocks are not compared, since messages state the age.
func (r Report) valid(now time.Time) bool {
	return r.Interval > 0 && r.Interval <= maxInterval && r.Samples > 0 && r.Samples <= maxSamples && !r.At.After(now) && now.Sub(r.At) <= ReportFor+maxInterval
}

// Estimate is what all entries together observed of an engine.
type Estimate struct {
	// Interval is the time between two events of a stream while no prompt is read beside it.
	Interval time.Duration
	// Samples and Entries are the numbers of samples and of entries that it is estimated from.
	Samples, Entries int
	// At is the time of the latest sample.
	At time.Time
}

// engine holds what is known of one incarnation of an engine.
type engine struct {
	service string
	// samples are the latest samples of this entry, the newest last.
	samples []time.Duration
	// provisional is set while the only sample is that of AddFirst.
	provisional bool
	at          time.Time
	reports     map[string]Report
	merged      Estimate
	slow        bool
}

// Set holds the estimates for the engines of all services. It is safe for concurrent use.
type Set struct {
	onChange func(c Change)

	mu       sync.Mutex
	engines  map[string]*engine
	services map[string]*service
	rejected int
}

// Change tells that an engine began or ceased to count as slow.
type Change struct {
	Engine  string
	Service string
	Slow    bool
	// Interval is the engine's pace and Typical the median of its service.
	Interval, Typical time.Duration
	Entries           int
}

// New returns an empty Set. onChange is called when an engine begins or ceases to count as slow.
func New(onChange func(c Change)) *Set {
	return &Set{onChange: onChange, engines: map[string]*engine{}, services: map[string]*service{}}
}

// add adds a sample of this entry. s.mu must be held.
func (s *Set) add(id, serviceName string, sample time.Duration, now time.Time) (Change, bool) {
	if sample <= 0 || sample > maxInterval {
		return Change{}, false
	}
	e := s.engine(id)
	e.service = serviceName
	if e.provisional {
		e.samples, e.provisional = e.samples[:0], false
	}
	e.samples = append(e.samples, sample)
	if len(e.samples) > maxSamples {
		e.samples = e.samples[1:]
	}
	e.at = now
	return s.update(id, e, now)
}

func (s *Set) engine(id string) *engine {
	e, ok := s.engines[id]
	if !ok {
		e = &engine{reports: map[string]Report{}}
		s.engines[id] = e
	}
	return e
}

// own returns this entry's report of an engine.
func (e *engine) own() Report {
	if len(e.samples) == 0 {
		return Report{}
	}
	sorted := slices.Clone(e.samples)
	slices.Sort(sorted)
	return Report{Interval: sorted[int(baseQuantile*float64(len(sorted)))], Samples: len(sorted), At: e.at}
}

// merge returns the mean of the own estimate and the reports of others, weighted by their samples.
// Each entry counts once, with its latest report.
func (e *engine) merge() Estimate {
	var out Estimate
	sum := 0.0
	add := func(r Report) {
		if r.Samples == 0 {
			return
		}
		sum += float64(r.Interval) * float64(r.Samples)
		out.Samples += r.Samples
		out.Entries++
		if r.At.After(out.At) {
			out.At = r.At
		}
	}
	add(e.own())
	for _, r := range e.reports {
		add(r)
	}
	if out.Samples > 0 {
		out.Interval = time.Duration(sum / float64(out.Samples))
	}
	return out
}

// Reports returns the estimates of this entry that were recently confirmed by a sample.
func (s *Set) Reports(now time.Time) map[string]Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]Report{}
	for id, e := range s.engines {
		if len(e.samples) > 0 && now.Sub(e.at) <= ReportFor {
			out[id] = e.own()
		}
	}
	return out
}

// SetPeer replaces the reports of another entry. Estimates of engines that the entry
// no longer reports remain: an incarnation of an engine keeps its speed. serviceOf returns the
// service of an engine, or "" for one that is not known: it has ended, or its row was not read yet. Its
// reports are dropped. rejected is the number of reports that were dropped because they were invalid.
func (s *Set) SetPeer(entry string, reports map[string]Report, serviceOf func(id string) string, now time.Time) (rejected int) {
	s.mu.Lock()
	var changes []Change
	for id, r := range reports {
		if !r.valid(now) {
			rejected++
			continue
		}
		serviceName := serviceOf(id)
		if serviceName == "" {
			continue
		}
		e := s.engine(id)
		e.service = serviceName
		if previous, ok := e.reports[entry]; ok && previous.Interval == r.Interval && previous.Samples == r.Samples {
			e.reports[entry] = r
			if r.At.After(e.merged.At) {
				e.merged.At = r.At
			}
			continue
		}
		e.reports[entry] = r
		if c, changed := s.update(id, e, now); changed {
			changes = append(changes, c)
		}
	}
	s.rejected += rejected
	s.mu.Unlock()
	for _, c := range changes {
		s.onChange(c)
	}
	return rejected
}

// Rejected returns the number of invalid reports so far.
func (s *Set) Rejected() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Keep drops the engines for which known returns false: an incarnation that has ended has no pace, and
// the next one may be another machine.
func (s *Set) Keep(known func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.engines {
		if !known(id) {
			delete(s.engines, id)
		}
	}
	for name := range s.services {
		s.updateService(name)
	}
}

// Engine returns the estimate for an engine; ok is false if no entry has observed it.
func (s *Set) Engine(id string) (Estimate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.engines[id]
	if !ok || e.merged.Samples == 0 {
		return Estimate{}, false
	}
	return e.merged, true
}

// List returns the estimates of all observed engines by ID.
func (s *Set) List() map[string]Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Estimate, len(s.engines))
	for id, e := range s.engines {
		if e.merged.Samples > 0 {
			out[id] = e.merged
		}
	}
	return out
}
