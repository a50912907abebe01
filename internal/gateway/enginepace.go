package gateway

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/pace"
)

// segmentMeter measures the time between the events of a stream over a few events at one engine.
type segmentMeter struct {
	// startAt is when the event before the segment was passed on, lastAt when the latest one was; zero
	// until there is one.
	startAt, lastAt time.Time
	events          int
	longest         time.Duration
	// behindAt is when events were passed on that had waited for the caller; zero unless others may still wait.
	behindAt time.Time
}

// add counts n events that were passed on at a time. ok is true if they complete a segment, which
// interval and longest describe; the next segment starts there.
func (m *segmentMeter) add(n int, now time.Time) (interval, longest time.Duration, ok bool) {
	if m.startAt.IsZero() {
		m.startAt, m.lastAt = now, now
		return 0, 0, false
	}
	m.events += n
	m.longest = max(m.longest, now.Sub(m.lastAt))
	m.lastAt = now
	if m.events < pace.SegmentEvents {
		return 0, 0, false
	}
	interval, longest = now.Sub(m.startAt)/time.Duration(m.events), m.longest
	*m = segmentMeter{startAt: now, lastAt: now}
	return interval, longest, true
}

// maxMeasuredWrite is how long it may take to pass events on to the caller while the pace of the engine is
// measured. Behind a caller that reads slowly, events arrive when there is room for them.
const maxMeasuredWrite = 10 * time.Millisecond

// minEventWait is how long the next events take to arrive at least if they did not wait already. Waiting events are
// read within some microseconds, and engines need several milliseconds for an event.
const minEventWait = time.Millisecond

// measurePace counts n events for the pace of their engine. They arrived at the given time and have been passed on.
func (s *stream) measurePace(at fleet.Upstream, n int, arrived time.Time) {
	bound := s.rq.route.MaxPause
	if n == 0 {
		return
	}
	behindAt := s.segment.behindAt
	if s.lastAt.Sub(arrived) > maxMeasuredWrite || !behindAt.IsZero() && arrived.Sub(behindAt) < minEventWait {
		s.segment = segmentMeter{behindAt: s.lastAt}
		return
	}
	s.segment.behindAt = time.Time{}
	g := s.g
	if previous := s.segment.lastAt; !previous.IsZero() {
		g.durations.noteEvents(at.ID, s.rq.service.Name, n, s.lastAt.Sub(previous), s.lastAt)
	}
	interval, longest, ok := s.segment.add(n, s.lastAt)
	if !ok || bound == 0 {
		return
	}
	g.paces.Add(pace.Segment{
		Engine: at.ID, Service: s.rq.service.Name, Interval: interval, Longest: longest, Bound: bound,
		Reading: g.loads.total(at.ID).Prefill > 0,
	}, s.lastAt)
	s.relocateIfSlow(at)
}

// noteStart adds the time to a first event to the average time in which an engine of typical pace reads a
// prompt token, and to the distribution of starts.
func (s *stream) noteStart(at fleet.Upstream, first time.Duration) {
	g, service, bound := s.g, s.rq.service.Name, s.rq.route.MaxPause
	slowdown := g.paces.Profile(service, g.now()).Slowdown(at.ID)
	if bound > 0 && s.unreadTokens >= minReadSample {
		usual := float64(g.readTime.expected(s.unreadTokens))
		g.paces.AddFirst(at.ID, service, float64(first)/usual, g.now())
		g.paces.AddStart(service, first, time.Duration(slowdown*usual))
	}
	g.readTime.note(time.Duration(float64(first)/slowdown), s.unreadTokens)
}

// Paces returns what this entry measured of the pace of engines.
func (g *Gateway) Paces() map[string]pace.Report { return g.paces.Reports(g.now()) }

// SetPeerPaces takes over what another entry measured of the pace of engines.
func (g *Gateway) SetPeerPaces(name string, reports map[string]pace.Report) {
	if len(reports) == 0 {
		return
	}
	rejected := g.paces.SetPeer(name, reports, g.engineService, g.now())
	if rejected > 0 {
		g.rec.Note(events.PaceRejected, "", "peer", name, "rejected", rejected, "reports", len(reports))
	}
}

// LatestIntervals returns the mean time between two events at the engines that sent some to this entry in the latest
// moments.
func (g *Gateway) LatestIntervals() map[string]time.Duration {
	return g.durations.latestIntervals(g.now())
}

// AddPeerIntervals adds LatestIntervals of another entry. Values that cannot be right are ignored.
func (g *Gateway) AddPeerIntervals(intervals map[string]time.Duration) {
	for id, interval := range intervals {
		if service := g.engineService(id); service != "" && interval > 0 && interval <= maxReportedInterval {
			g.durations.noteReport(id, service, interval, g.now())
		}
	}
}

// engineService returns the service of an upstream, or "" if it is not known.
func (g *Gateway) engineService(upstream string) string {
	u, ok := g.fleet.Get(upstream)
	if !ok {
		return ""
	}
	return u.Service
}

// KnownPaces returns the estimated pace of all engines that some entry observed, by upstream.
func (g *Gateway) KnownPaces() map[string]pace.Estimate { return g.paces.List() }

// Slowdown returns how much slower than the median of its service an engine is; 1 if it is not known.
func (g *Gateway) Slowdown(upstream string) float64 {
	return g.paces.Profile(g.engineService(upstream), g.now()).Slowdown(upstream)
}

// recordPaceChange logs that an engine began or ceased to count as slow.
func (g *Gateway) recordPaceChange(c pace.Change) {
	id := events.EngineSlow
	if !c.Slow {
		id = events.EngineNotSlow
	}
	g.rec.Note(id, "", "upstream", c.Engine, "service", c.Service, "interval", c.Interval, "typical", c.Typical, "entries", c.Entries)
}
