package gateway

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/routetable"
)

const (
	// startShare is the fraction of the objective within which a generation has to be expected to
	// start. The remainder is a margin for prompts of other entries that this entry has not
	// learned of yet.
	startShare = 0.8
	// maxSampledEngines limits the engines that one decision examines. They are sampled anew each
	// time. Only if none of them has room are all engines examined. With a larger sample, a
	// decision would take more than 20 us.
	maxSampledEngines = 48
)

// view returns the data that a placement decision needs besides the candidates. notifiesPeers is
// set if entries send each other a message whenever they place such a request.
func (g *Gateway) view(notifiesPeers bool) *placement.View {
	return &placement.View{
		Zone: g.settings.Zone, Now: g.now(), Random: rand.Float64, ReadToken: g.readTime.expected(1),
		Delay: func(zone string) time.Duration { return g.peers.Delay(zone, notifiesPeers) },
	}
}

// candidates returns the upstreams in list and their known load, without those in exclude and
// those in backoff.
func (g *Gateway) candidates(list []fleet.Upstream, exclude map[string]bool, now time.Time) []placement.Candidate {
	trials := g.quarantine.Trials()
	out := make([]placement.Candidate, 0, len(list))
	for _, u := range list {
		if !exclude[u.ID] && !u.InBackOff(now) {
			load, rate := g.loads.loadAndRate(u.ID, now)
			out = append(out, placement.Candidate{Upstream: u, Load: load, Rate: rate, Trial: trials[u.ID]})
		}
	}
	return out
}

// engineView is view for the engines of a service.
func (g *Gateway) engineView(service string) *placement.View {
	v := g.view(true)
	v.Pace = g.paces.Profile(service, v.Now)
	return v
}

// generationOf returns the demand of a request on an engine at the given time.
func (g *Gateway) generationOf(rq *request, now time.Time) *placement.Generation {
	gen := &placement.Generation{Engine: rq.service.Engine, Prompt: rq.call.Prompt, Output: expectedOutput(&rq.call), MaxPause: rq.route.MaxPause, Repeatable: rq.route.Repeats()}
	gen.Rank = rq.rank()
	if rq.route.Objective > 0 {
		gen.StartBy = rq.readAt.Add(time.Duration(startShare * float64(rq.route.Objective))).Sub(now)
	}
	// A generation that ends within the notice period of a leaving engine need not be moved.
	gen.Brief = g.eventInterval.remaining(gen.Output, rq.service.Engine.EventTokens) < placement.MoveWithin
	return gen
}

// admitEngine chooses the engine for a new generation. The error states why there is none.
func (g *Gateway) admitEngine(s *stream, exclude map[string]bool) (fleet.Upstream, error) {
	service, now := s.rq.service.Name, g.now()
	exclude = g.excludeForIsolation(s.rq, exclude)
	gen := g.generationOf(s.rq, now)
	if !s.begun() {
		gen.Headroom = g.headroom(service, gen, now)
	}
	if s.rq.run.Suspected() {
		if u, ok := g.admitSuspect(s, gen, exclude); ok {
			return u, nil
		}
	}
	if s.begun() {
		return g.admitAmong(s.available(), s, gen, exclude)
	}
	sample, complete := g.fleet.Sample(service, maxSampledEngines, rand.IntN)
	u, err := g.admitAmong(sample, s, gen, exclude)
	if err == nil || complete {
		return u, err
	}
	return g.admitAmong(g.fleet.Available(service), s, gen, exclude)
}

// maxTrialEngines limits the engines that are examined for a suspect, starting with the least
// loaded.
const maxTrialEngines = 4

// admitSuspect chooses an engine for a generation during which an engine crashed before. Engines
// that run the fewest requests come first, since these requests are lost in another crash. In the
// test rig of internal/quarantine with 4 entries, one request that crashes three or four upstreams
// cut 1 to 3 healthy requests with this rule, and 5 to 8 if it ran on any engine.
func (g *Gateway) admitSuspect(s *stream, gen *placement.Generation, exclude map[string]bool) (fleet.Upstream, bool) {
	list := slices.DeleteFunc(s.available(), func(u fleet.Upstream) bool { return u.AvoidUntil().After(g.now()) || u.InBackOff(g.now()) })
	running := make(map[string]int, len(list))
	for _, u := range list {
		running[u.ID] = g.loads.total(u.ID).Running
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return cmp.Compare(running[a.ID], running[b.ID]) })
	for _, u := range list[:min(len(list), maxTrialEngines)] {
		if u, err := g.admitAmong([]fleet.Upstream{u}, s, gen, exclude); err == nil {
			return u, true
		}
	}
	return fleet.Upstream{}, false
}

// admitAmong is admitEngine for a list of engines.
func (g *Gateway) admitAmong(list []fleet.Upstream, s *stream, gen *placement.Generation, exclude map[string]bool) (fleet.Upstream, error) {
	view := g.engineView(s.rq.service.Name)
	candidates := g.candidates(list, exclude, view.Now)
	for i := range candidates {
		candidates[i].CachedTokens = g.prefixes.cachedTokens(candidates[i].ID, s.rq.call.Shared, view.Now)
	}
	usable := g.usableMemory(s.rq.service, view.Now)
	if !s.headSent {
		if inTime := g.endingBeforeStop(s.rq, candidates); len(inTime) < len(candidates) {
			if u, err := view.Admit(inTime, gen, usable); err == nil {
				return u, nil
			}
		}
	}
	return view.Admit(candidates, gen, usable)
}

// usableMemory returns the memory of an engine of a service, in tokens, that new and moved generations may fill.
func (g *Gateway) usableMemory(service *routetable.Service, now time.Time) float64 {
	return g.moveRoom.Usable(service.Engine, g.fleet.LeavingShare(service.Name), now)
}

// chooseEngine returns the best engine for the rest of a generation, even if all are overloaded.
func (g *Gateway) chooseEngine(s *stream, exclude map[string]bool) (fleet.Upstream, bool) {
	view := g.engineView(s.rq.service.Name)
	return view.Cheapest(g.candidates(s.available(), exclude, view.Now), g.generationOf(s.rq, view.Now))
}

// chooseTarget returns the engine that a generation moves to. An engine that stated a rate limit
// is the last resort: the generation might have to wait for a permit there in the middle of its
// answer.
func (g *Gateway) chooseTarget(s *stream, from fleet.Upstream, exclude map[string]bool) (fleet.Upstream, bool) {
	if u, ok := g.chooseTargetAmong(s, from, g.excludeLimited(exclude)); ok || !g.limits.Any() {
		return u, ok
	}
	return g.chooseTargetAmong(s, from, exclude)
}

func (g *Gateway) chooseTargetAmong(s *stream, from fleet.Upstream, exclude map[string]bool) (fleet.Upstream, bool) {
	view := g.engineView(s.rq.service.Name)
	return view.Target(g.candidates(s.available(), exclude, view.Now), s.remainingDemand(), from.Zone)
}

// chooseUpstream returns the best upstream of a plain service that is not excluded.
func (g *Gateway) chooseUpstream(rq *request, exclude map[string]bool) (fleet.Upstream, bool) {
	view, service := g.view(false), rq.service.Name
	failing := g.fleet.Failing(service)
	candidates := g.candidates(g.fleet.Available(service), exclude, view.Now)
	for i := range candidates {
		candidates[i].Failing = failing[candidates[i].ID]
	}
	if inTime := g.endingBeforeStop(rq, candidates); len(inTime) > 0 {
		candidates = inTime
	}
	return view.ChoosePlain(candidates)
}

// retryDelayAfterOverload returns the retry delay for a caller that was refused because no engine
// had room.
func (g *Gateway) retryDelayAfterOverload(rq *request) time.Duration {
	return g.overload(rq.service.Name).Refused(rq.route.Objective, g.now(), rand.Float64())
}

// overload returns the overload state of a service.
func (g *Gateway) overload(service string) *placement.Overload {
	return forService(&g.mu, g.overloads, service)
}

// forService returns the state of a service in a map that mu guards. The zero value of the state is ready to use.
func forService[T any](mu *sync.Mutex, states map[string]*T, service string) *T {
	mu.Lock()
	defer mu.Unlock()
	if states[service] == nil {
		states[service] = new(T)
	}
	return states[service]
}
