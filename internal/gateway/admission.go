package gateway

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// The reasons for which no engine takes a generation.
var (
	errNoEngine = errors.New("no engine serves")
	errTooLarge = errors.New("the prompt is larger than the memory of any engine")
	errMemory   = errors.New("the memory of all engines is taken")
	errSlots    = errors.New("the slots of all engines are taken")
	errPrompts  = errors.New("too many prompts wait to be read")
)

const (
	// growingStreams is the number of streams' remaining growth for which there is
	// room: streams end one by one, and one that ends frees more than the others
	// grow until then.
	growingStreams = 2
	// startShare is the part of the objective by which a generation has to be
	// expected to begin; the rest covers prompts of other entries that are not known
	// yet.
	startShare = 0.8
	// leaveNotice is about the notice that an engine gives before it leaves, the
	// least that the platform's engines were seen to give. What ends within it need
	// not be moved.
	leaveNotice = 1500 * time.Millisecond
)

// demand is what a generation asks of an engine.
type demand struct {
	prompt int
	// kept is the part of the prompt that the engine keeps already, in tokens.
	kept int
	// output is the expected length of the answer, in tokens.
	output int
	// startBy is the time left until the generation should begin; 0 for no bound.
	startBy time.Duration
	// brief marks a generation that ends within the notice of an engine that leaves.
	brief bool
}

// demandOf returns what a request asks of an engine at a moment.
func (g *Gateway) demandOf(rq *request, now time.Time) demand {
	d := demand{prompt: rq.call.Prompt, output: expectedOutput(&rq.call)}
	if rq.route.Objective > 0 {
		d.startBy = rq.start.Add(time.Duration(startShare * float64(rq.route.Objective))).Sub(now)
	}
	d.brief = g.pace.rest(d.output, rq.service.Engine.EventTokens) < leaveNotice
	return d
}

// room reports why an engine with a load cannot take a generation; nil if it can.
// reserve is the part of the memory that is kept for generations of engines that
// leave.
func (g *Gateway) room(e *routetable.Engine, load gossip.Load, d demand, reserve float64) error {
	if e.MemoryTokens > 0 && d.prompt > e.MemoryTokens {
		return errTooLarge
	}
	if e.Slots > 0 && load.Running >= e.Slots {
		return errSlots
	}
	if d.brief {
		reserve = 0
	}
	if e.MemoryTokens > 0 && load.Running > 0 && spare(e, load, d, reserve) < 0 {
		return errMemory
	}
	if d.startBy > 0 && load.Prefill > 0 && g.reading.expected(load.Prefill+d.prompt-d.kept) > d.startBy {
		return errPrompts
	}
	return nil
}

// spare is the memory in tokens that an engine with a load has left beside a
// generation until that has ended; negative if it does not fit. reserve is the part
// that is kept free.
func spare(e *routetable.Engine, load gossip.Load, d demand, reserve float64) float64 {
	return (1-reserve)*float64(e.MemoryTokens) - float64(load.Held+d.prompt-d.kept) - growth(load, d.output)
}

// growth is the memory beyond what is held now that is needed until a generation of
// a number of output tokens has ended. A brief one sees the others grow little; a
// long one sees some of them end.
func growth(load gossip.Load, output int) float64 {
	streams := float64(load.Running + 1)
	remaining := float64(max(load.Tokens-load.Held, 0)+output) / streams
	return min(streams*float64(output), growingStreams*remaining)
}

// mostConsidered bounds the engines that a decision looks at, which are drawn anew
// each time; all are looked at only if none of those has room. Above it a decision
// would take longer than 20 us.
const mostConsidered = 48

// admitEngine chooses the engine for a new generation among those with room for it;
// the error tells why there is none. Engines that are avoided or had a fault lately
// are only used when all are.
func (g *Gateway) admitEngine(s *stream, exclude map[string]bool) (fleet.Upstream, error) {
	service := s.rq.service.Name
	some, all := g.fleet.Some(service, mostConsidered, rand.IntN)
	u, err := g.admitAmong(some, s, exclude)
	if err == nil || all {
		return u, err
	}
	return g.admitAmong(g.fleet.Of(service), s, exclude)
}

// admitAmong is admitEngine for a list of engines.
func (g *Gateway) admitAmong(list []fleet.Upstream, s *stream, exclude map[string]bool) (fleet.Upstream, error) {
	rq, now, need := s.rq, g.now(), s.need()
	d, reserve := g.demandOf(rq, now), g.moveRoom.reserve(g.fleet.LeavingShare(rq.service.Name), now)
	soundOnly := slices.ContainsFunc(list, func(u fleet.Upstream) bool { return !exclude[u.ID] && sound(&u, rq.route, now) })
	why := errNoEngine
	unit := float64(need) + prefillWeight*float64(rq.call.Prompt)
	u, ok := g.spread(list, unit, true, func(u *fleet.Upstream) (float64, bool) {
		if exclude[u.ID] || soundOnly && !sound(u, rq.route, now) {
			return 0, false
		}
		load := g.ledger.total(u.ID)
		fits := d
		fits.kept = g.prefixes.kept(u.ID, rq.call.Shared, now)
		if err := g.room(rq.service.Engine, load, fits, reserve); err != nil {
			why = err
			return 0, false
		}
		return g.engineCost(rq.service.Engine, u, load, need, now) - prefillWeight*float64(fits.kept), true
	})
	if !ok {
		return fleet.Upstream{}, why
	}
	return u, nil
}

// sound reports whether an engine may get a request of a route. Requests that may
// be repeated find out whether an engine that had a fault is well.
func sound(u *fleet.Upstream, route *routetable.Route, now time.Time) bool {
	return !now.Before(u.AvoidUntil()) && (route.Repeats() || !u.Suspect(now))
}
