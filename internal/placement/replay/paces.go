package replay

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/sparshore/sparshore/internal/pace"
)

// UnlikeLoad is a load of long streams and brief generations on engines whose speeds are drawn from 0.4 to 2
// times the nominal one. Each is 2.5 times slower in moments of 600 ms, 15 % of the time, and lives for some
// 20 s. Gateways learn of what others placed and measured 350 ms late.
func UnlikeLoad(gateways int) Load {
	l := ContendedLoad(gateways).WithoutSurges()
	for i := range l.Kinds {
		l.Kinds[i].MaxPause = 180 * time.Millisecond
	}
	l.Speeds = Range{Least: 0.4, Most: 2}
	l.SlowMoments = SlowMoments{Factor: 2.5, Length: 600 * time.Millisecond, Share: 0.15}
	l.Duration, l.Settle = 24*time.Second, 6*time.Second
	l.WaitForRoom = true
	return l
}

// worldStream selects the random numbers of the engines where their speeds are drawn.
const worldStream = 11

// momentSequence holds the slow moments of an engine as far as they are known.
type momentSequence struct {
	settings SlowMoments
	random   *rand.Rand
	// from and until limit the current or next slow moment.
	from, until time.Duration
}

// newMoments returns the slow moments of an engine that starts now.
func (s *simulation) newMoments() momentSequence {
	m := momentSequence{settings: s.load.SlowMoments}
	if m.settings.Share == 0 {
		return m
	}
	m.random = rand.New(rand.NewPCG(s.load.Seed, s.world.Uint64()))
	m.from = s.now - time.Duration(m.random.Float64()*float64(m.settings.Length))
	if m.random.Float64() >= m.settings.Share {
		m.from = s.now + m.pause()
	}
	m.until = m.from + m.settings.Length
	return m
}

// pause returns a random time between two slow moments.
func (m *momentSequence) pause() time.Duration {
	mean := float64(m.settings.Length) * (1 - m.settings.Share) / m.settings.Share
	return time.Duration(mean * m.random.ExpFloat64())
}

// factor returns by how much a step that begins at a time, which may not decrease, is slower.
func (m *momentSequence) factor(now time.Duration) float64 {
	if m.random == nil {
		return 1
	}
	for now >= m.until {
		m.from = m.until + m.pause()
		m.until = m.from + m.settings.Length
	}
	if now >= m.from {
		return m.settings.Factor
	}
	return 1
}

// pacedState is what a gateway keeps of a stream whose pauses are bounded.
type pacedState struct {
	// sentAt is when the generation was sent to its engine, and unread the number of prompt tokens that the
	// engine had to read then.
	sentAt time.Duration
	unread int
	// lastEvent is the time of the latest event, and longest the longest pause so far.
	lastEvent, longest time.Duration
	// segmentStart is the time of the event before the current segment, 0 if there is none yet.
	segmentStart, segmentLongest time.Duration
	segmentEvents                int
	// begun is set after the first event of the current attempt.
	begun bool
}

// maxPause returns the bound on pauses that decisions know of.
func (s *simulation) maxPause(k *Kind) time.Duration {
	if s.variant.NoPace {
		return 0
	}
	return k.MaxPause
}

// profile returns what a gateway knows of the pace of engines.
func (s *simulation) profile(gateway int) *pace.Profile {
	if s.variant.NoPace {
		return nil
	}
	return s.gateways[gateway].paces.Profile("llm", s.start.Add(s.now))
}

// readToken returns the time in which an engine of typical pace reads a prompt token.
func (g *gatewayState) readToken() time.Duration {
	if g.readTime == 0 {
		return readTimePerToken
	}
	return g.readTime
}

// minReadSample and readWeight are as in a gateway: the number of prompt tokens from which on the time
// to the first event shows how fast prompts are read, and the weight of one such time in their mean.
const (
	minReadSample = 256
	readWeight    = 0.1
)

// beginAttempt records that a generation is sent to an engine.
func (s *simulation) beginAttempt(g *generation, e *engine, copied int) {
	if g.kind.MaxPause == 0 {
		return
	}
	s.endRelocation(g)
	g.paced.sentAt, g.paced.unread, g.paced.begun = s.now, 0, false
	if copied == 0 {
		g.paced.unread = s.knownPrefill(g.gateway, e) + g.prompt
	}
}

// onEvent measures an event of a stream, as a gateway does.
func (s *simulation) onEvent(g *generation) {
	m, gw, now := &g.paced, s.gateways[g.gateway], s.start.Add(s.now)
	if m.lastEvent > 0 {
		m.longest = max(m.longest, s.now-m.lastEvent)
		g.stalled = g.stalled || m.longest > g.kind.MaxPause
	}
	if !m.begun {
		s.noteStart(g)
		m.begun, m.lastEvent, m.segmentStart, m.segmentLongest, m.segmentEvents = true, s.now, s.now, 0, 0
		return
	}
	m.segmentEvents++
	m.segmentLongest = max(m.segmentLongest, s.now-m.lastEvent)
	m.lastEvent = s.now
	if m.segmentEvents < pace.SegmentEvents || s.variant.NoPace {
		return
	}
	interval, longest := (s.now-m.segmentStart)/time.Duration(m.segmentEvents), m.segmentLongest
	m.segmentStart, m.segmentLongest, m.segmentEvents = s.now, 0, 0
	gw.paces.Add(pace.Segment{
		Engine: g.host.id, Service: "llm", Interval: interval, Longest: longest, Bound: g.kind.MaxPause,
		Reading: s.knownPrefill(g.gateway, g.host) > 0,
	}, now)
	s.relocateIfSlow(g)
}

// noteStart measures the time to the first event of an attempt, as a gateway does.
func (s *simulation) noteStart(g *generation) {
	m, gw, now := &g.paced, s.gateways[g.gateway], s.start.Add(s.now)
	if m.unread < minReadSample {
		return
	}
	slowdown := s.profile(g.gateway).Slowdown(g.host.id)
	first, usual := s.now-m.sentAt, time.Duration(m.unread)*gw.readToken()
	if !s.variant.NoPace {
		gw.paces.AddFirst(g.host.id, "llm", float64(first)/float64(usual), now)
		gw.paces.AddStart("llm", first, time.Duration(slowdown*float64(usual)))
	}
	perToken := time.Duration(float64(first)/slowdown) / time.Duration(m.unread)
	gw.readTime = gw.readToken() + time.Duration(readWeight*float64(perToken-gw.readToken()))
}

// knownPrefill returns the number of prompt tokens that an engine has to read, as a gateway knows it.
func (s *simulation) knownPrefill(gateway int, e *engine) int {
	n := 0
	for _, g := range s.inOrder {
		if g.host == e && g.generated == 0 && (len(s.gateways) == 1 || g.gateway == gateway) {
			n += g.prompt
		}
	}
	if len(s.gateways) > 1 && len(s.snapshots) > 0 && s.snapshots[0].at <= s.now-s.load.StateAge {
		old := &s.snapshots[0]
		n += old.total[e].Sub(old.byGateway[gateway][e]).Prefill
	}
	return n
}

// Limits of the moves, as operators set them by default: in extraWindow there may be extraRatio moves for each
// request and extraAllowance more. Relocations leave relocationReserve of them for moves of leaving engines.
const (
	extraWindow       = 10 * time.Second
	extraRatio        = 0.2
	extraAllowance    = 20
	relocationReserve = 0.6
)

// countExtra counts a move.
func (s *simulation) countExtra() { s.extra = append(s.extra, s.now) }

// mayRelocate reports whether the limits of the moves leave one for a relocation.
func (s *simulation) mayRelocate() bool {
	s.extra = slices.DeleteFunc(s.extra, func(at time.Duration) bool { return at < s.now-extraWindow })
	requests := 0.0
	for _, k := range s.load.Kinds {
		requests += k.PerSecond * min(s.now, extraWindow).Seconds()
	}
	return float64(len(s.extra)+1) <= (1-relocationReserve)*(extraRatio*requests+extraAllowance)
}

// relocateIfSlow moves a stream away from an engine on which it is likely to pause for too long. A gateway
// moves one at a time.
func (s *simulation) relocateIfSlow(g *generation) {
	gw := s.gateways[g.gateway]
	if s.variant.Knowledge == Speeds && s.ownRisk(g.host, s.exactLoad(g.host), s.rest(g)) < relocationGain {
		return
	}
	if g.stalled || g.target != nil || g.host.leavesAt != 0 || gw.relocating != nil || !s.mayRelocate() || g.kind.MaxOutput-g.generated <= tokensPerEvent*tokensPerEvent {
		return
	}
	rest, list := s.rest(g), s.candidates(g.gateway, g.host)
	usable := s.moveRoom.Usable(s.engineSpec(), s.load.LeaveShare, s.start.Add(s.now))
	var target *engine
	if s.variant.Knowledge == Speeds {
		if u, err := s.leastLate(list, rest, g.host, usable); err == nil {
			target = s.engine(u.ID)
		}
	} else if u, ok := s.view(g.gateway).Relocate(list, rest, candidateOf(g.host).Upstream, usable); ok {
		target = s.engine(u.ID)
	}
	if target != nil && s.copyTo(g, target) {
		gw.relocating = g
		s.result.Relocated++
	}
}

// endRelocation lets the gateway of a generation relocate the next one.
func (s *simulation) endRelocation(g *generation) {
	if gw := s.gateways[g.gateway]; gw.relocating == g {
		gw.relocating = nil
	}
}

// paceReport is what a gateway sent of its measurements.
type paceReport struct {
	from    int
	sentAt  time.Duration
	reports map[string]pace.Report
}

// reportInterval is the time between two reports of a gateway.
const reportInterval = 300 * time.Millisecond

// exchangePaces sends the reports that are due, and delivers those that were sent StateAge ago.
func (s *simulation) exchangePaces() {
	if s.variant.NoPace || s.variant.Knowledge == Speeds || len(s.gateways) == 1 {
		return
	}
	for len(s.reports) > 0 && s.reports[0].sentAt <= s.now-s.load.StateAge {
		r := s.reports[0]
		s.reports = s.reports[1:]
		for i, gw := range s.gateways {
			if i != r.from {
				gw.paces.SetPeer(strconv.Itoa(r.from), r.reports, s.serviceOf, s.start.Add(s.now))
			}
		}
	}
	if s.now%reportInterval != 0 {
		return
	}
	for i, gw := range s.gateways {
		s.reports = append(s.reports, paceReport{from: i, sentAt: s.now, reports: latest(gw.paces.Reports(s.start.Add(s.now)))})
	}
}

// latest returns the reports that fit into one message.
func latest(reports map[string]pace.Report) map[string]pace.Report {
	if len(reports) <= pace.MaxReports {
		return reports
	}
	var ids []string
	for id := range reports {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	slices.SortStableFunc(ids, func(a, b string) int { return reports[b].At.Compare(reports[a].At) })
	out := make(map[string]pace.Report, pace.MaxReports)
	for _, id := range ids[:pace.MaxReports] {
		out[id] = reports[id]
	}
	return out
}

// serviceOf returns the service of an engine, or "" for one that was replaced.
func (s *simulation) serviceOf(id string) string {
	if slices.ContainsFunc(s.engines, func(e *engine) bool { return e.id == id }) {
		return "llm"
	}
	return ""
}

// forgetPaces drops what the gateways know of engines that were replaced.
func (s *simulation) forgetPaces() {
	for _, gw := range s.gateways {
		gw.paces.Keep(func(id string) bool { return s.serviceOf(id) != "" })
	}
}
