package replay

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/routetable"
)

// Variant selects decisions that are made in another way than in the product. The zero value is
// the product.
type Variant struct {
	// SendRanks sends the rank of each generation to its engine as a priority.
	SendRanks bool
	// AlwaysReserve reserves the part of the memory that leaves together at all times.
	AlwaysReserve bool
	// LateRetryAfter asks callers to retry after the age of the overload, at least a second.
	LateRetryAfter bool
	// NoHeadroom lets long generations take the memory that brief ones will need.
	NoHeadroom bool
	// DeadlineQueue lets generations without room wait at their gateway, in the order of the times
	// by which they have to begin, instead of refusing them.
	DeadlineQueue bool
	// NoPace treats all engines alike, as routes without a bound on pauses are served.
	NoPace bool
	// Knowledge replaces the decisions by those of a baseline.
	Knowledge Knowledge
}

// Outcome counts the generations of one kind by their outcome.
type Outcome struct {
	Arrived, InTime, Late, Refused, Aborted int
	// Paused counts those that began and then paused for longer than their bound or were aborted.
	Paused int
}

// Result is the result of a load.
type Result struct {
	Kinds     map[string]Outcome
	Preempted int
	// Worth is the worth earned, as a part of the worth of all arrivals.
	Worth float64
	// StreamTime is the mean time from the first to the last token of long answers that were
	// completed.
	StreamTime time.Duration
	// Relocated is the number of generations that were moved away from a slow engine, and Placements
	// the engines that were chosen for the generations, in order.
	Relocated  int
	Placements []string
}

const (
	// tick is the resolution of the virtual time.
	tick = time.Millisecond
	// maxTokenGap is the longest gap between tokens of an answer that counts as in time.
	maxTokenGap = 180 * time.Millisecond
	// copyTimePerToken is the time to copy the KV memory of a token: 131,072 bytes at 19
	// Gbit/s.
	copyTimePerToken = 55 * time.Microsecond
	// readTimePerToken is the time to prefill a prompt token between the steps of running
	// streams.
	readTimePerToken = 140 * time.Microsecond
	// tokensPerEvent is the number of tokens in an event of a stream.
	tokensPerEvent = 4
	// maxBriefTokens limits the outputs that are expected to end within the notice of a leaving
	// engine.
	maxBriefTokens = 100
)

// generation is an arrival with the state of its attempts.
type generation struct {
	arrival
	// firstArrival is the time of the first attempt of the caller.
	firstArrival time.Duration
	attempts     int
	// waiting is set while the generation waits at its gateway for room beside the headroom.
	waiting bool
	// gateway is the index of the gateway of the latest attempt.
	gateway int
	host    *engine
	// generatedBefore and generated are the numbers of tokens that the caller has received:
	// from earlier engines, and in all.
	generatedBefore, generated int
	firstToken, lastToken      time.Duration
	stalled                    bool
	// moveAgainAt is when the next attempt to copy the generation may begin.
	moveAgainAt time.Duration
	// copyDoneAt is when the copy to target is complete; target holds memory for copiedTokens
	// until then.
	copyDoneAt   time.Duration
	target       *engine
	copiedTokens int
	paced        pacedState
}

// simulation is the state of a run.
type simulation struct {
	load    Load
	variant Variant
	random  *rand.Rand
	// world draws what happens to the engines. If their speeds are drawn, it is apart from random, so that
	// the same happens to them whatever is decided.
	world   *rand.Rand
	start   time.Time
	now     time.Duration
	engines []*engine
	started int
	running map[string]*generation
	// inOrder holds the running generations in the order in which they began to run.
	inOrder   []*generation
	gateways  []*gatewayState
	snapshots []snapshot
	// queue holds the generations that wait for room, for DeadlineQueue.
	queue []*generation
	// firstRefusal and lastRefusal describe the current overload for LateRetryAfter.
	firstRefusal, lastRefusal time.Duration
	moveRoom                  placement.MoveReserve
	result                    Result
	possibleWorth             float64
	earnedWorth               float64
	streamTime                time.Duration
	completed                 int
	// reports are the reports of pace that are on their way, and extra the times of the recent moves.
	reports []paceReport
	extra   []time.Duration
}

// Run simulates a load.
func Run(load Load, variant Variant) Result { return simulate(load, variant).result }

// newSimulation returns the state before a load.
func newSimulation(load Load, variant Variant) *simulation {
	s := &simulation{
		load: load, variant: variant, random: rand.New(rand.NewPCG(load.Seed, load.Seed)), start: time.Unix(0, 0),
		running: map[string]*generation{}, result: Result{Kinds: map[string]Outcome{}}, lastRefusal: -time.Hour,
	}
	s.world = s.random
	if load.Speeds != (Range{}) {
		s.world = rand.New(rand.NewPCG(load.Seed, worldStream))
	}
	for range max(load.Gateways, 1) {
		s.gateways = append(s.gateways, &gatewayState{paces: pace.New(func(pace.Change) {})})
	}
	for i := range load.Engines {
		s.engines = append(s.engines, s.newEngine(i))
	}
	return s
}

// simulate simulates a load and returns the state at its end.
func simulate(load Load, variant Variant) *simulation {
	s := newSimulation(load, variant)
	s.warmUp()
	pending := make([]*generation, 0, 1024)
	for i, a := range load.arrivals(s.random) {
		a.id = fmt.Sprintf("g%d", i)
		pending = append(pending, &generation{arrival: a, firstArrival: a.due})
		s.possibleWorth += a.kind.Worth
		s.updateOutcome(pending[len(pending)-1], func(o *Outcome) { o.Arrived++ })
	}
	byTime := func(a, b *generation) int { return cmp.Compare(a.due(), b.due()) }
	slices.SortStableFunc(pending, byTime)
	nextWave := load.LeaveInterval
	for end := load.Duration + time.Minute; s.now < end; s.now += tick {
		s.takeSnapshot()
		s.exchangePaces()
		s.serveQueue()
		for len(pending) > 0 && pending[0].due() <= s.now {
			g := pending[0]
			pending = pending[1:]
			if retryAfter, ok := s.admit(g); ok {
				g.arrival.due = s.now + retryAfter
				i, _ := slices.BinarySearchFunc(pending, g, byTime)
				pending = slices.Insert(pending, i, g)
			}
		}
		if load.LeaveShare > 0 && s.now >= nextWave && s.now < load.Duration {
			nextWave += load.LeaveInterval
			s.beginLeaving()
		}
		s.step()
		if s.now > load.Duration && len(pending)+len(s.queue)+len(s.running) == 0 {
			break
		}
	}
	for _, e := range s.engines {
		s.result.Preempted += e.model.Preemptions()
	}
	s.result.Worth = s.earnedWorth / s.possibleWorth
	s.result.StreamTime = s.streamTime / time.Duration(max(s.completed, 1))
	return s
}

// due returns the time of the next attempt of the caller.
func (g *generation) due() time.Duration { return g.arrival.due }

// updateOutcome changes the counts of the kind of a generation, if it is counted.
func (s *simulation) updateOutcome(g *generation, change func(o *Outcome)) {
	if g.firstArrival < s.load.Settle {
		return
	}
	o := s.result.Kinds[g.kind.Name]
	change(&o)
	s.result.Kinds[g.kind.Name] = o
}

// engineSpec returns the engines as the routes of operators describe them.
func (s *simulation) engineSpec() *routetable.Engine {
	return &routetable.Engine{Slots: s.load.Slots, MemoryTokens: s.load.MemoryTokens, EventTokens: tokensPerEvent, Moves: true, CopyRate: 1 / copyTimePerToken.Seconds()}
}

// candidates returns the engines that take new generations, with their loads as a gateway knows
// them, but not except.
func (s *simulation) candidates(gateway int, except *engine) []placement.Candidate {
	loads, rates := s.knownLoads(gateway)
	out := make([]placement.Candidate, 0, len(s.engines))
	for _, e := range s.engines {
		if e == except || e.leavesAt > 0 || e.replacedAt > 0 {
			continue
		}
		out = append(out, placement.Candidate{Upstream: fleet.Upstream{Record: fleet.Record{ID: e.id, Service: "llm"}}, Load: loads[e], Rate: rates[e]})
	}
	return out
}

// load returns the load of a generation at its engine, as an entry counts it.
func (g *generation) load() gossip.Load {
	held := g.prompt + g.generated
	l := gossip.Load{Running: 1, Held: held, Tokens: max(g.prompt+g.expected(), held+tokensPerEvent)}
	if g.generated == 0 {
		l.Prefill = g.prompt
	}
	return l
}

// hintMargin raises hints, since half of the outputs are longer than their hint.
const hintMargin = 1.25

// expected returns the output length that an entry assumes.
func (g *generation) expected() int { return min(int(hintMargin*float64(g.hint)), g.kind.MaxOutput) }

// view returns the context of a decision of a gateway.
func (s *simulation) view(gateway int) *placement.View {
	return &placement.View{
		Now: s.start.Add(s.now), Random: s.random.Float64, ReadToken: s.gateways[gateway].readToken(), Pace: s.profile(gateway),
		Delay: func(string) time.Duration { return s.load.StateAge },
	}
}

// admit places a generation on an engine or refuses it. ok reports whether the refused caller
// retries, after retryAfter.
func (s *simulation) admit(g *generation) (retryAfter time.Duration, ok bool) {
	if len(s.gateways) > 1 && !g.waiting {
		g.gateway = s.random.IntN(len(s.gateways))
	}
	now := s.start.Add(s.now)
	if !g.waiting {
		s.gateways[g.gateway].forecast.Arrived(s.want(g), g.expectedHold(), now)
	}
	err := s.place(g)
	if err == nil {
		return 0, false
	}
	waitUntil := g.firstArrival + placement.MaxWait(g.kind.Objective)
	if g.waiting = s.load.WaitForRoom && errors.Is(err, placement.ErrHeadroom) && s.now+queueInterval < waitUntil; g.waiting {
		return queueInterval, true
	}
	g.attempts++
	if s.variant.DeadlineQueue {
		s.enqueue(g)
		return 0, false
	}
	delay := s.gateways[g.gateway].overload.Refused(g.kind.Objective, now, s.random.Float64())
	if s.variant.LateRetryAfter {
		delay = s.lateRetryAfter()
	}
	if g.attempts > 1 {
		s.refuse(g)
		return 0, false
	}
	return delay, true
}

// refuse records that a caller got its last refusal.
func (s *simulation) refuse(g *generation) {
	s.updateOutcome(g, func(o *Outcome) { o.Refused++ })
}

// place places a generation on an engine that has room.
func (s *simulation) place(g *generation) error {
	now := s.start.Add(s.now)
	usable := s.moveRoom.Usable(s.engineSpec(), s.load.LeaveShare, now)
	if s.variant.AlwaysReserve {
		usable = (1 - s.load.LeaveShare) * float64(s.load.MemoryTokens)
	}
	want, list, gateway := s.want(g), s.candidates(g.gateway, nil), s.gateways[g.gateway]
	if !s.variant.NoHeadroom {
		want.Headroom = gateway.forecast.Headroom(want, len(s.gateways), len(list), now)
	}
	u, err := s.choose(g, list, want, usable)
	if err != nil {
		return err
	}
	gateway.overload.Admitted(now)
	e := s.engine(u.ID)
	e.placements = e.placements.Add(1, now, placementDecay)
	s.result.Placements = append(s.result.Placements, e.id)
	s.submit(g, e, 0)
	return nil
}

// choose returns the engine that takes a new generation.
func (s *simulation) choose(g *generation, list []placement.Candidate, want *placement.Generation, usable float64) (fleet.Upstream, error) {
	if s.variant.Knowledge == Speeds {
		return s.leastLate(list, want, nil, usable)
	}
	return s.view(g.gateway).Admit(list, want, usable)
}

// startShare is the part of the objective within which a generation has to be expected to begin.
const startShare = 0.8

// startBy returns the time by which the generation has to be expected to begin.
func (g *generation) startBy() time.Duration {
	return g.firstArrival + time.Duration(startShare*float64(g.kind.Objective))
}

// want returns the demand of a generation on an engine.
func (s *simulation) want(g *generation) *placement.Generation {
	return &placement.Generation{
		Engine: s.engineSpec(), Prompt: g.prompt, Output: g.expected(), Brief: g.expected() < maxBriefTokens,
		StartBy: g.startBy() - s.now, MaxPause: s.maxPause(g.kind), Rank: placement.Rank{Route: g.kind.Rank},
	}
}

// eventInterval is the time between two events that a gateway assumes.
const eventInterval = 35 * time.Millisecond

// expectedHold returns the time for which the generation is expected to hold its memory.
func (g *generation) expectedHold() time.Duration {
	return time.Duration(g.prompt)*readTimePerToken + time.Duration(g.expected()/tokensPerEvent)*eventInterval
}

// lateRetryAfter returns the age of the overload, at least a second, with jitter.
func (s *simulation) lateRetryAfter() time.Duration {
	if s.now-s.lastRefusal > 2*time.Second {
		s.firstRefusal = s.now
	}
	s.lastRefusal = s.now
	return time.Duration(float64(max(s.now-s.firstRefusal, time.Second)) * (0.75 + 0.5*s.random.Float64()))
}

// engine returns the engine with an ID.
func (s *simulation) engine(id string) *engine {
	return s.engines[slices.IndexFunc(s.engines, func(e *engine) bool { return e.id == id })]
}

// submit sends a generation to an engine that already holds the KV memory of copied tokens.
func (s *simulation) submit(g *generation, e *engine, copied int) {
	rank := 0
	if s.variant.SendRanks {
		rank = g.kind.Rank
	}
	s.beginAttempt(g, e, copied)
	g.host, g.target, g.generatedBefore = e, nil, g.generated
	if _, ok := s.running[g.id]; !ok {
		s.running[g.id] = g
		s.inOrder = append(s.inOrder, g)
	}
	// Submit cannot fail: the IDs are made by this package and unique.
	_ = e.model.Submit(enginemodel.Job{ID: g.id, Prompt: g.prompt + g.generated, Output: g.output - g.generated, Priority: rank, CopiedTokens: copied})
}

// remove removes a generation that has ended, and releases the memory held for its copy.
func (s *simulation) remove(g *generation) {
	if g.target != nil {
		g.target.model.Release(g.copiedTokens)
	}
	s.endRelocation(g)
	delete(s.running, g.id)
	s.inOrder = slices.DeleteFunc(s.inOrder, func(o *generation) bool { return o == g })
}

// finish records a generation that has completed.
func (s *simulation) finish(g *generation) {
	s.remove(g)
	if g.stalled {
		s.updateOutcome(g, func(o *Outcome) { o.Paused++ })
	}
	if g.output > maxBriefTokens {
		s.streamTime += g.lastToken - g.firstToken
		s.completed++
	}
	if g.stalled || g.firstToken-g.firstArrival > g.kind.Objective {
		s.updateOutcome(g, func(o *Outcome) { o.Late++ })
		s.earnedWorth += lateShare * g.kind.Worth
		return
	}
	s.updateOutcome(g, func(o *Outcome) { o.InTime++ })
	s.earnedWorth += g.kind.Worth
}
