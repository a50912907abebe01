package replay

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/enginemodel"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
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
}

// Outcome counts the generations of one kind by their outcome.
type Outcome struct {
	Arrived, InTime, Late, Refused, Aborted int
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
	host         *engine
	// generatedBefore and generated are the numbers of tokens that the caller has received:
	// from earlier engines, and in all.
	generatedBefore, generated int
	firstToken, lastToken      time.Duration
	stalled                    bool
	// copyDoneAt is when the copy to target is complete; target holds memory for copiedTokens
	// until then.
	copyDoneAt   time.Duration
	target       *engine
	copiedTokens int
}

// simulation is the state of a run.
type simulation struct {
	load       Load
	variant    Variant
	random     *rand.Rand
	start      time.Time
	now        time.Duration
	engines    []*engine
	started    int
	running    map[string]*generation
	runningIDs []string
	overload   placement.Overload
	// firstRefusal and lastRefusal describe the current overload for LateRetryAfter.
	firstRefusal, lastRefusal time.Duration
	moveRoom                  placement.MoveReserve
	result                    Result
	possibleWorth             float64
	earnedWorth               float64
	streamTime                time.Duration
	completed                 int
}

// Run simulates a load.
func Run(load Load, variant Variant) Result {
	s := &simulation{
		load: load, variant: variant, random: rand.New(rand.NewPCG(load.Seed, load.Seed)), start: time.Unix(0, 0),
		running: map[string]*generation{}, result: Result{Kinds: map[string]Outcome{}}, lastRefusal: -time.Hour,
	}
	for i := range load.Engines {
		s.engines = append(s.engines, s.newEngine(i))
	}
	pending := make([]*generation, 0, 1024)
	for i, a := range load.arrivals(s.random) {
		a.id = fmt.Sprintf("g%d", i)
		pending = append(pending, &generation{arrival: a, firstArrival: a.due})
		s.possibleWorth += a.kind.Worth
		s.updateOutcome(a.kind, func(o *Outcome) { o.Arrived++ })
	}
	byTime := func(a, b *generation) int { return cmp.Compare(a.due(), b.due()) }
	slices.SortStableFunc(pending, byTime)
	nextWave := load.LeaveInterval
	for end := load.Duration + time.Minute; s.now < end; s.now += tick {
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
	}
	for _, e := range s.engines {
		s.result.Preempted += e.model.Preemptions()
	}
	s.result.Worth = s.earnedWorth / s.possibleWorth
	s.result.StreamTime = s.streamTime / time.Duration(max(s.completed, 1))
	return s.result
}

// due returns the time of the next attempt of the caller.
func (g *generation) due() time.Duration { return g.arrival.due }

// updateOutcome changes the counts of a kind.
func (s *simulation) updateOutcome(k *Kind, change func(o *Outcome)) {
	o := s.result.Kinds[k.Name]
	change(&o)
	s.result.Kinds[k.Name] = o
}

// engineSpec returns the engines as the routes of operators describe them.
func (s *simulation) engineSpec() *routetable.Engine {
	return &routetable.Engine{Slots: s.load.Slots, MemoryTokens: s.load.MemoryTokens, EventTokens: tokensPerEvent, Moves: true, CopyRate: 1 / copyTimePerToken.Seconds()}
}

// candidates returns the engines that take new generations, with their loads, but not except.
func (s *simulation) candidates(except *engine) []placement.Candidate {
	loads := map[*engine]gossip.Load{}
	for _, id := range s.runningIDs {
		g := s.running[id]
		loads[g.host] = loads[g.host].Add(g.load())
		if g.target != nil {
			moved := g.load()
			moved.Prefill = 0
			loads[g.target] = loads[g.target].Add(moved)
		}
	}
	var out []placement.Candidate
	for _, e := range s.engines {
		if e == except || e.leavesAt > 0 || e.replacedAt > 0 {
			continue
		}
		c := placement.Candidate{Upstream: fleet.Upstream{Record: fleet.Record{ID: e.id, Service: "llm"}}, Load: loads[e]}
		out = append(out, c)
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

// view returns the context of a decision, with exact loads.
func (s *simulation) view() *placement.View {
	return &placement.View{
		Now: s.start.Add(s.now), Random: s.random.Float64, ReadToken: readTimePerToken,
		Delay: func(string) time.Duration { return 0 },
	}
}

// admit places a generation on an engine or refuses it. ok reports whether the refused caller
// retries, after retryAfter.
func (s *simulation) admit(g *generation) (retryAfter time.Duration, ok bool) {
	now := s.start.Add(s.now)
	leavingShare := s.load.LeaveShare
	usable := s.moveRoom.Usable(s.engineSpec(), leavingShare, now)
	if s.variant.AlwaysReserve {
		usable = (1 - leavingShare) * float64(s.load.MemoryTokens)
	}
	want := &placement.Generation{
		Engine: s.engineSpec(), Prompt: g.prompt, Output: g.expected(), Brief: g.expected() < maxBriefTokens,
		StartBy: g.firstArrival + g.kind.Objective*4/5 - s.now,
	}
	u, err := s.view().Admit(s.candidates(nil), want, usable)
	g.attempts++
	if err == nil {
		s.overload.Admitted(now)
		s.submit(g, s.engine(u.ID), 0)
		return 0, false
	}
	delay := s.overload.Refused(g.kind.Objective, now, s.random.Float64())
	if s.variant.LateRetryAfter {
		delay = s.lateRetryAfter()
	}
	if g.attempts > 1 {
		s.updateOutcome(g.kind, func(o *Outcome) { o.Refused++ })
		return 0, false
	}
	return delay, true
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
	g.host, g.target, g.generatedBefore = e, nil, g.generated
	if _, ok := s.running[g.id]; !ok {
		s.running[g.id] = g
		s.runningIDs = append(s.runningIDs, g.id)
	}
	// Submit cannot fail: the IDs are made by this package and unique.
	_ = e.model.Submit(enginemodel.Job{ID: g.id, Prompt: g.prompt + g.generated, Output: g.output - g.generated, Priority: rank, CopiedTokens: copied})
}

// remove removes a generation that has ended, and releases the memory held for its copy.
func (s *simulation) remove(g *generation) {
	if g.target != nil {
		g.target.model.Release(g.copiedTokens)
	}
	delete(s.running, g.id)
	s.runningIDs = slices.DeleteFunc(s.runningIDs, func(id string) bool { return id == g.id })
}

// finish records a generation that has completed.
func (s *simulation) finish(g *generation) {
	s.remove(g)
	if g.output > maxBriefTokens {
		s.streamTime += g.lastToken - g.firstToken
		s.completed++
	}
	if g.stalled || g.firstToken-g.firstArrival > g.kind.Objective {
		s.updateOutcome(g.kind, func(o *Outcome) { o.Late++ })
		s.earnedWorth += lateShare * g.kind.Worth
		return
	}
	s.updateOutcome(g.kind, func(o *Outcome) { o.InTime++ })
	s.earnedWorth += g.kind.Worth
}
