package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/placement"
)

const (
	// startShare is the part of the objective by which a generation has to be
	// expected to begin; the rest covers prompts of other entries that are not known
	// yet.
	startShare = 0.8
	// mostConsidered bounds the engines that a decision looks at, which are drawn anew
	// each time; all are looked at only if none of those has room. Above it a decision
	// would take longer than 20 us.
	mostConsidered = 48
)

// view is what this entry decides by. nudged tells that entries send each other a message
// when they place a request.
func (g *Gateway) view(nudged bool) *placement.View {
	return &placement.View{
		Zone: g.settings.Zone, Now: g.now(), Random: rand.Float64, ReadToken: g.reading.expected(1),
		Delay: func(zone string) time.Duration { return g.others.Delay(zone, nudged) },
	}
}

// candidates are upstreams with what is known of their load, without those excluded and those that
// want no requests now.
func (g *Gateway) candidates(list []fleet.Upstream, exclude map[string]bool, now time.Time) []placement.Candidate {
	trials := g.quarantine.Trials()
	out := make([]placement.Candidate, 0, len(list))
	for _, u := range list {
		if !exclude[u.ID] && !u.InBackOff(now) {
			load, rate := g.ledger.known(u.ID, now)
			out = append(out, placement.Candidate{Upstream: u, Load: load, Rate: rate, Trial: trials[u.ID]})
		}
	}
	return out
}

// generationOf returns what a request asks of an engine at a moment.
func (g *Gateway) generationOf(rq *request, now time.Time) *placement.Generation {
	d := &placement.Generation{Engine: rq.service.Engine, Prompt: rq.call.Prompt, Output: expectedOutput(&rq.call), Repeats: rq.route.Repeats()}
	if rq.route.Objective > 0 {
		d.StartBy = rq.start.Add(time.Duration(startShare * float64(rq.route.Objective))).Sub(now)
	}
	// What ends within the notice of an engine that leaves need not be moved.
	d.Brief = g.pace.rest(d.Output, rq.service.Engine.EventTokens) < placement.MoveWithin
	return d
}

// admitEngine chooses the engine for a new generation; the error tells why there is none.
func (g *Gateway) admitEngine(s *stream, exclude map[string]bool) (fleet.Upstream, error) {
	service := s.rq.service.Name
	exclude = g.isolated(s.rq, exclude)
	if s.rq.run.Suspected() {
		if u, ok := g.admitTrial(s, exclude); ok {
			return u, nil
		}
	}
	some, all := g.fleet.Some(service, mostConsidered, rand.IntN)
	u, err := g.admitAmong(some, s, exclude)
	if err == nil || all {
		return u, err
	}
	return g.admitAmong(g.fleet.Of(service), s, exclude)
}

// mostTried bounds the engines that are looked at for a suspect, of those that run least.
const mostTried = 4

// admitTrial chooses an engine for a generation under which one ended: of those that run
// least, since that ends with it. In the rig of internal/quarantine, 4 entries, one request
// that ends three or four upstreams cut 1 to 3 sound runs so, 5 to 8 anywhere.
func (g *Gateway) admitTrial(s *stream, exclude map[string]bool) (fleet.Upstream, bool) {
	list := slices.DeleteFunc(g.fleet.Of(s.rq.service.Name), func(u fleet.Upstream) bool { return u.AvoidUntil().After(g.now()) || u.InBackOff(g.now()) })
	running := make(map[string]int, len(list))
	for _, u := range list {
		running[u.ID] = g.ledger.total(u.ID).Running
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return cmp.Compare(running[a.ID], running[b.ID]) })
	for _, u := range list[:min(len(list), mostTried)] {
		if u, err := g.admitAmong([]fleet.Upstream{u}, s, exclude); err == nil {
			return u, true
		}
	}
	return fleet.Upstream{}, false
}

// admitAmong is admitEngine for a list of engines.
func (g *Gateway) admitAmong(list []fleet.Upstream, s *stream, exclude map[string]bool) (fleet.Upstream, error) {
	view := g.view(true)
	candidates := g.candidates(list, exclude, view.Now)
	for i := range candidates {
		candidates[i].Kept = g.prefixes.kept(candidates[i].ID, s.rq.call.Shared, view.Now)
	}
	usable := g.moveRoom.Usable(s.rq.service.Engine, g.fleet.LeavingShare(s.rq.service.Name), view.Now)
	return view.Admit(candidates, g.generationOf(s.rq, view.Now), usable)
}

// chooseEngine returns the best engine for the rest of a generation, however crowded.
func (g *Gateway) chooseEngine(s *stream, exclude map[string]bool) (fleet.Upstream, bool) {
	view := g.view(true)
	return view.Anyhow(g.candidates(g.fleet.Of(s.rq.service.Name), exclude, view.Now), g.generationOf(s.rq, view.Now))
}

// chooseTarget returns the engine to which a generation moves from another one. One that named a
// limit is the last resort: the generation might wait there for a permit with its answer begun.
func (g *Gateway) chooseTarget(s *stream, from fleet.Upstream, exclude map[string]bool) (fleet.Upstream, bool) {
	if u, ok := g.chooseTargetAmong(s, from, g.unlimited(exclude)); ok || !g.limits.Any() {
		return u, ok
	}
	return g.chooseTargetAmong(s, from, exclude)
}

func (g *Gateway) chooseTargetAmong(s *stream, from fleet.Upstream, exclude map[string]bool) (fleet.Upstream, bool) {
	view := g.view(true)
	return view.Target(g.candidates(g.fleet.Of(s.rq.service.Name), exclude, view.Now), s.rest(), from.Zone)
}

// choosePlain returns the best upstream of a plain service that is not excluded.
func (g *Gateway) choosePlain(service string, exclude map[string]bool) (fleet.Upstream, bool) {
	view := g.view(false)
	failing := g.fleet.Failing(service)
	candidates := g.candidates(g.fleet.Of(service), exclude, view.Now)
	for i := range candidates {
		candidates[i].Failing = failing[candidates[i].ID]
	}
	return view.Plain(candidates)
}

// backAfterOverload is the time after which a caller that found no room should
// come back.
func (g *Gateway) backAfterOverload(rq *request) time.Duration {
	return g.overload(rq.service.Name).Refused(rq.route.Objective, g.now(), rand.Float64())
}

// overload returns what is known of the overload of a service.
func (g *Gateway) overload(service string) *placement.Overload {
	g.mu.Lock()
	defer g.mu.Unlock()
	o, ok := g.overloads[service]
	if !ok {
		o = &placement.Overload{}
		g.overloads[service] = o
	}
	return o
}
