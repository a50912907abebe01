package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/placement"
)

const (
	// paceDecay is the time constant with which the events that an engine has sent count less for its pace.
	paceDecay = time.Second
	// minPaceEvents is the number of recent events from which the pace of an engine is known.
	minPaceEvents = 4
	// minPaceReports is the number of recent reports of other entries from which it is known: one counts for two seconds.
	minPaceReports = 0.13
	// maxReportedInterval bounds the time between two events that another entry can have measured.
	maxReportedInterval = 10 * time.Second
	// shiftQuantile is the quantile of the latest intervals of an engine above whose mean the engine has become slower.
	// A single pause lengthens one interval of each stream.
	shiftQuantile = 0.5
	// fastQuantile is the quantile of the latest intervals of a service that its faster engines reach.
	fastQuantile = 0.25
	// startPeriod is the length of a startWindow's periods.
	startPeriod = time.Second
	// startQuantile is the quantile of the latest delays at a service that a forecast allows for at an engine of which
	// nothing is known.
	startQuantile = 0.9
	// endTime is the time from the last event of a generation to the end of its answer, on a machine that is busy.
	endTime = 50 * time.Millisecond
	// minErrors is the number of streams from which the errors of forecasts are known. Until then defaultSpread counts.
	minErrors     = 8
	defaultSpread = 0.25
	// minSpread and maxSpread bound the relative error that a forecast allows for. Smaller errors of short streams don't
	// show that the pace of an engine changes slowly, and larger ones are those of engines that changed it at once.
	minSpread = 0.02
	maxSpread = 0.5
)

// basis is what a forecast of the time between two events follows from.
type basis string

const (
	// basisEngine and basisService are what this entry measured in the latest moments at the engine, or at those of its
	// service.
	basisEngine  basis = "engine"
	basisService basis = "service"
	// basisReportedEngine and basisReportedService are what other entries measured there in the latest moments.
	basisReportedEngine  basis = "reported-engine"
	basisReportedService basis = "reported-service"
	// basisNone means that no entry has measured the service in the latest moments.
	basisNone basis = "none"
)

// forecast is how long a generation is expected to take at an engine.
type forecast struct {
	// start is the time to the first event, and interval that between two events.
	start, interval time.Duration
	// spread is the relative error of interval that the forecast allows for.
	spread float64
	basis  basis
}

// total returns the time to the end of a generation with a number of events.
func (f forecast) total(events int) time.Duration {
	return f.start + time.Duration(float64(events)*float64(f.interval)*(1+f.spread)) + endTime
}

// latest holds the latest values of a measurement. The zero value holds none.
type latest struct {
	values [16]float64
	n      int
}

func (l *latest) add(v float64) {
	l.values[l.n%len(l.values)] = v
	l.n++
}

// quantile returns a quantile of the values. There must be one.
func (l *latest) quantile(q float64) float64 {
	sorted := l.values
	list := sorted[:min(l.n, len(sorted))]
	slices.Sort(list)
	return list[int(math.Ceil(q*float64(len(list))))-1]
}

// eventPace measures the mean time between two events of the streams of an engine or a service.
type eventPace struct {
	// seconds is the time that the counted events took.
	seconds, events placement.Decaying
}

// add counts n events of a stream that took a time together.
func (p *eventPace) add(n int, took time.Duration, now time.Time) {
	p.seconds = p.seconds.Add(took.Seconds(), now, paceDecay)
	p.events = p.events.Add(float64(n), now, paceDecay)
}

// mean returns the mean time between two events. ok is false if there are fewer recent events than least.
func (p *eventPace) mean(least float64, now time.Time) (interval time.Duration, ok bool) {
	n := p.events.Value(now, paceDecay)
	if n <= 0 || n < least {
		return 0, false
	}
	return time.Duration(p.seconds.Value(now, paceDecay) / n * float64(time.Second)), true
}

// startWindow holds how much later than usual the latest generations began: the longest delays of the period that
// begins at from and of the one before.
type startWindow struct {
	from              time.Time
	current, previous time.Duration
}

func (w *startWindow) add(delay time.Duration, now time.Time) {
	switch _, known := w.longest(now); {
	case !known:
		*w = startWindow{from: now, current: delay}
	case now.Sub(w.from) >= startPeriod:
		*w = startWindow{from: now, current: delay, previous: w.current}
	default:
		w.current = max(w.current, delay)
	}
}

// longest returns the longest delay. ok is false if no generation began within the latest two periods.
func (w *startWindow) longest(now time.Time) (delay time.Duration, ok bool) {
	return max(w.current, w.previous), !w.from.IsZero() && now.Sub(w.from) < 2*startPeriod
}

// awaitedStart is a generation at an engine whose first event has not arrived.
type awaitedStart struct {
	engine, service string
	sentAt          time.Time
	// usual is the time in which the engine is expected to read the prompts that it got until then.
	usual time.Duration
}

// delay returns how much later than usual the generation begins if it does so now.
func (a *awaitedStart) delay(now time.Time) time.Duration {
	return max(now.Sub(a.sentAt)-a.usual, 0)
}

// engineDurations is what this entry recently measured at an engine. At an upstream of a plain service, only starts and
// awaited are used, and a call counts as begun when it is answered.
type engineDurations struct {
	pace eventPace
	// reported counts each report of another entry as one event.
	reported eventPace
	// intervals holds the latest times between two events, in seconds.
	intervals latest
	starts    startWindow
	awaited   []*awaitedStart
}

// serviceDurations is what this entry measured at the engines of a service together.
type serviceDurations struct {
	pace, reported eventPace
	// intervals holds the latest times between two events, in seconds.
	intervals latest
	// delays holds how much later than usual the latest generations began, in seconds.
	delays latest
	// errors holds the relative errors of the latest forecasts of the pace, times the square root of the number of
	// events: what varies between events is smaller on average over more of them.
	errors latest
}

// durations measures how long the generations of this entry take at each engine.
type durations struct {
	mu       sync.Mutex
	engines  map[string]*engineDurations
	services map[string]*serviceDurations
}

func newDurations() *durations {
	return &durations{engines: map[string]*engineDurations{}, services: map[string]*serviceDurations{}}
}

// engine and service return the measurements of an engine and of a service. d.mu must be held.
func (d *durations) engine(id string) *engineDurations {
	e, ok := d.engines[id]
	if !ok {
		e = &engineDurations{}
		d.engines[id] = e
	}
	return e
}

func (d *durations) service(name string) *serviceDurations {
	s, ok := d.services[name]
	if !ok {
		s = &serviceDurations{}
		d.services[name] = s
	}
	return s
}

// noteEvents adds n events of a stream at an engine that took a time together.
func (d *durations) noteEvents(engine, service string, n int, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.engine(engine)
	e.pace.add(n, took, now)
	e.intervals.add(took.Seconds() / float64(n))
	s := d.service(service)
	s.pace.add(n, took, now)
	s.intervals.add(took.Seconds() / float64(n))
}

// latestIntervals returns the mean time between two events at the engines that sent some in the latest moments.
func (d *durations) latestIntervals(now time.Time) map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := map[string]time.Duration{}
	for id, e := range d.engines {
		if mean, ok := e.pace.mean(minPaceEvents, now); ok {
			out[id] = mean
		}
	}
	return out
}

// noteReport adds the mean time between two events that another entry measured at an engine in the latest moments.
func (d *durations) noteReport(engine, service string, interval time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engine(engine).reported.add(1, interval, now)
	d.service(service).reported.add(1, interval, now)
}

// sent records that a generation was sent to an engine. The result is to be passed to ended once the generation has
// begun or will not begin there.
func (d *durations) sent(a awaitedStart) *awaitedStart {
	d.mu.Lock()
	defer d.mu.Unlock()
	e := d.engine(a.engine)
	e.awaited = append(e.awaited, &a)
	return &a
}

// ended records that a generation has begun, or will not begin at the engine. Repeated calls have no effect.
func (d *durations) ended(a *awaitedStart, begun bool, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[a.engine]
	if !ok {
		return
	}
	i := slices.Index(e.awaited, a)
	if i < 0 {
		return
	}
	e.awaited = slices.Delete(e.awaited, i, i+1)
	delay := a.delay(now)
	if longest, _ := e.starts.longest(now); begun || delay > longest {
		e.starts.add(delay, now)
		d.service(a.service).delays.add(delay.Seconds())
	}
}

// noteError adds the relative error of the forecast of the pace of a stream with a number of events.
func (d *durations) noteError(service string, e float64, events int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.service(service).errors.add(e * math.Sqrt(float64(events)))
}

// spread returns the relative error that the forecast of a number of events allows for.
func (s *serviceDurations) spread(events int) float64 {
	if s.errors.n < minErrors {
		return defaultSpread
	}
	return min(max(s.errors.quantile(1)/math.Sqrt(float64(max(events, 1))), minSpread), maxSpread)
}

// keep drops the engines for which known returns false.
func (d *durations) keep(known func(id string) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id := range d.engines {
		if !known(id) {
			delete(d.engines, id)
		}
	}
}

// expectation is what is expected of a generation unless measurements tell otherwise.
type expectation struct {
	// events is the number of events.
	events int
	// reading is the time in which the engine is expected to read the prompts until the first event.
	reading time.Duration
	// start is the time to the first event at a service of which nothing was measured, and the latest one of a
	// healthy engine.
	start time.Duration
	// interval is the time between two events at such a service, and slowdown how much slower than typical the engine is.
	interval time.Duration
	slowdown float64
	// longestInterval is the longest interval of a healthy engine. If cautious is set, it counts for a service that nobody
	// has measured in the latest moments.
	longestInterval time.Duration
	cautious        bool
}

// forecast returns how long a generation takes at an engine if it is sent now.
func (d *durations) forecast(engine, service string, x expectation, now time.Time) forecast {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, e := d.service(service), d.engines[engine]
	if e == nil {
		e = &engineDurations{}
	}
	f := forecast{start: x.start, interval: time.Duration(float64(x.interval) * x.slowdown), spread: s.spread(x.events), basis: basisNone}
	if mean, ok := s.pace.mean(0, now); ok {
		f.interval = time.Duration(float64(mean) * x.slowdown)
	}
	earlier := f.interval
	switch interval, basis := recentInterval(e, s, x.slowdown, now); {
	case basis != basisNone:
		f.interval, f.basis = interval, basis
	case x.cautious:
		f.interval = max(f.interval, x.longestInterval)
	default:
		f.spread = maxSpread
	}
	if s.delays.n > 0 && (f.basis != basisNone || !x.cautious) {
		// The delays are of any age, so an engine that has become slower since begins later as well.
		usual := x.reading + time.Duration(s.delays.quantile(startQuantile)*float64(time.Second))
		f.start = time.Duration(float64(usual) * max(1, float64(f.interval)/float64(earlier)))
	}
	if f.basis == basisReportedEngine || f.basis == basisReportedService {
		f.spread = max(f.spread, defaultSpread)
	}
	f.start = e.start(f.start, x.reading, now)
	return f
}

// recentInterval returns the time between two events that entries measured in the latest moments, at the engine itself if
// possible.
func recentInterval(e *engineDurations, s *serviceDurations, slowdown float64, now time.Time) (time.Duration, basis) {
	if mean, ok := e.pace.mean(minPaceEvents, now); ok {
		return max(mean, time.Duration(e.intervals.quantile(shiftQuantile)*float64(time.Second))), basisEngine
	}
	if mean, ok := e.reported.mean(minPaceReports, now); ok {
		return mean, basisReportedEngine
	}
	if mean, ok := s.pace.mean(minPaceEvents, now); ok {
		return time.Duration(float64(mean) * slowdown), basisService
	}
	if mean, ok := s.reported.mean(minPaceReports, now); ok {
		return time.Duration(float64(mean) * slowdown), basisReportedService
	}
	return 0, basisNone
}

// start returns the time to the first event at the engine, by what was recently measured there; usual if nothing was.
func (e *engineDurations) start(usual, reading time.Duration, now time.Time) time.Duration {
	start := usual
	if delay, ok := e.starts.longest(now); ok {
		start = reading + delay
	}
	for _, a := range e.awaited {
		// What has lasted longer than known can be expected to last as long again.
		if delay := a.delay(now); reading+delay > start {
			start = reading + 2*delay
		}
	}
	return start
}

// latestCall returns how long the latest calls to an upstream took, whenever that was, or take if they are not answered yet.
func (d *durations) latestCall(upstream string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[upstream]
	if !ok {
		return 0
	}
	longest, _ := e.starts.longest(now)
	return e.start(longest, 0, now)
}

// expectedDuration returns the time that a request is expected to take if it is sent to an upstream now, and the forecast
// that this follows from if it is a generation. One is assumed to reach its maximum output: of those that a stopping
// entry accepted by the length that their callers hinted at, one in six was cut. cautious is set if a refusal
// costs the caller less than an answer that is cut.
func (g *Gateway) expectedDuration(rq *request, at fleet.Upstream, cautious bool) (time.Duration, forecast) {
	if rq.service.Engine == nil {
		if !cautious {
			return plainCallTime, forecast{}
		}
		return max(plainCallTime, g.durations.latestCall(at.ID, g.now())), forecast{}
	}
	now, service := g.now(), rq.service.Name
	slowdown := g.paces.Profile(service, now).Slowdown(at.ID)
	unread := g.loads.total(at.ID).Prefill + rq.call.Prompt - g.prefixes.cachedTokens(at.ID, rq.call.Shared, now)
	x := expectation{
		events:  rq.maxEvents(),
		reading: time.Duration(slowdown * float64(g.readTime.expected(unread))),
		start:   startTimeout(rq.route), interval: g.eventInterval.expected(), slowdown: slowdown,
		longestInterval: rq.route.MaxPause, cautious: cautious,
	}
	if x.longestInterval <= 0 {
		x.longestInterval = rq.deadline.Sub(now)
	}
	f := g.durations.forecast(at.ID, service, x, now)
	if rq.call.MaxOutput <= 0 {
		return rq.deadline.Sub(now), f
	}
	return f.total(rq.maxEvents()), f
}

// leastDuration returns the time that a request takes at least, wherever it is sent.
func (g *Gateway) leastDuration(rq *request) time.Duration {
	if rq.service.Engine == nil {
		return plainCallTime
	}
	if rq.call.MaxOutput <= 0 {
		return rq.deadline.Sub(g.now())
	}
	return time.Duration(rq.maxEvents()) * g.durations.shortInterval(rq.service.Name, g.eventInterval.expected())
}

// shortInterval returns a short time between two events at the engines of a service, or unmeasured.
func (d *durations) shortInterval(service string, unmeasured time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.service(service); s.intervals.n > 0 {
		return time.Duration(s.intervals.quantile(fastQuantile) * float64(time.Second))
	}
	return unmeasured
}

// maxEvents returns the number of events in the longest answer that the caller allows.
func (rq *request) maxEvents() int {
	perEvent := max(rq.service.Engine.EventTokens, 1)
	return (rq.call.MaxOutput + perEvent - 1) / perEvent
}

// endingBeforeStop returns the candidates at which a request is expected to end before a planned stop: all of them if
// none is under way.
func (g *Gateway) endingBeforeStop(rq *request, candidates []placement.Candidate) []placement.Candidate {
	if g.StopDeadline().IsZero() {
		return candidates
	}
	var out []placement.Candidate
	cautious := g.refusesCautiously()
	for _, c := range candidates {
		if expected, f := g.expectedDuration(rq, c.Upstream, cautious); !g.stopsBefore(rq, expected, f) {
			out = append(out, c)
		}
	}
	return out
}

// cutByStop reports whether a planned stop would cut the answer of an engine of which the first event has come: it came so
// late, or the engine has become so slow. Requests that were read before the stop may be shorter than they announced.
func (s *stream) cutByStop(at fleet.Upstream) bool {
	g, rq := s.g, s.rq
	end, noticed := g.latestEnd.Load(), g.stopNoticedAt.Load().Add(-ReadinessLag)
	if end.IsZero() || rq.readAt.Before(noticed) || rq.call.MaxOutput <= 0 {
		return false
	}
	accepted := rq.forecast
	accepted.start = 0
	_, current := g.expectedDuration(rq, at, false)
	current.start, current.spread = 0, 0
	rest := accepted.total(rq.maxEvents())
	if current.basis != basisNone {
		rest = max(rest, current.total(rq.maxEvents()))
	}
	return g.now().Add(rest + g.endProofTimes.expected(rq.service.Name)).After(end)
}

// awaitCall records that a call was sent to an upstream. ended is to be called when it has been answered, or will not be.
func (g *Gateway) awaitCall(rq *request, at fleet.Upstream) (ended func(answered bool)) {
	return g.await(awaitedStart{engine: at.ID, service: rq.service.Name, sentAt: g.now()})
}

// await records that a request was sent. ended is to be called when it has begun, or will not begin there.
func (g *Gateway) await(a awaitedStart) (ended func(begun bool)) {
	sent := g.durations.sent(a)
	return func(begun bool) { g.durations.ended(sent, begun, g.now()) }
}

// awaitStart records that the generation was sent to an engine. ended is to be called when it has begun, or will not
// begin there.
func (s *stream) awaitStart(at fleet.Upstream, sentAt time.Time) (ended func(begun bool)) {
	g, service := s.g, s.rq.service.Name
	slowdown := g.paces.Profile(service, sentAt).Slowdown(at.ID)
	return g.await(awaitedStart{engine: at.ID, service: service, sentAt: sentAt, usual: time.Duration(slowdown * float64(g.readTime.expected(s.unreadTokens)))})
}

// noteDuration compares the pace of a complete stream that was sent once to the forecast.
func (s *stream) noteDuration() {
	interval := s.rq.forecast.interval
	if s.rq.attempts > 1 || s.events <= pace.SegmentEvents || interval <= 0 {
		return
	}
	took := s.lastAt.Sub(s.rq.start) - s.timeToFirstEvent
	s.g.durations.noteError(s.rq.service.Name, float64(took)/float64(s.events-1)/float64(interval)-1, s.events)
}
