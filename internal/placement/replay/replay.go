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

// Ways are the decisions that can be made another way, to compare. The zero value is what
// the product does.
type Ways struct {
	// Ranks sends the ranks of the kinds to the engines.
	Ranks bool
	// KeepAll keeps the part of the memory that leaves together free at all times.
	KeepAll bool
	// BackLate tells callers to come back after the overload's age, a second at least.
	BackLate bool
}

// Outcome is what became of the generations of one kind.
type Outcome struct {
	Asked, InTime, Late, Refused, Cut int
}

// Result is what a load led to.
type Result struct {
	Kinds     map[string]Outcome
	Preempted int
	// Worth is the part of the worth asked for that was earned.
	Worth float64
	// Streamed is the mean time from the first to the last token of whole long answers.
	Streamed time.Duration
}

const (
	// tick is the step of the virtual time.
	tick = time.Millisecond
	// longestPause is the longest pause between tokens of an answer in time.
	longestPause = 180 * time.Millisecond
	// copyToken is the time to copy a token's memory: 131,072 bytes at 19 Gbit/s.
	copyToken = 55 * time.Microsecond
	// readToken is the time to read a prompt token between the steps of what runs.
	readToken = 140 * time.Microsecond
	// eventTokens is the number of tokens in an event.
	eventTokens = 4
	// briefTokens bounds the outputs that end within a notice.
	briefTokens = 100
)

// generation is one that runs.
type generation struct {
	arrival
	// firstAsked is when its caller first asked.
	firstAsked time.Duration
	tries      int
	at         *engine
	// made is the number of tokens that the caller has, before the current engine and in all.
	before, made  int
	first, latest time.Duration
	paused        bool
	// movesAt is when its copy is complete, to target, which holds memory for copied tokens.
	movesAt time.Duration
	target  *engine
	copied  int
}

// play is a load while it is played.
type play struct {
	load     Load
	ways     Ways
	random   *rand.Rand
	start    time.Time
	now      time.Duration
	engines  []*engine
	lives    int
	running  map[string]*generation
	order    []string
	overload placement.Overload
	// since and last are the overload's for callers who come back late.
	since, last time.Duration
	moveRoom    placement.MoveRoom
	result      Result
	asked       float64
	earned      float64
	streamed    time.Duration
	whole       int
}

// Play plays a load.
func Play(load Load, ways Ways) Result {
	p := &play{
		load: load, ways: ways, random: rand.New(rand.NewPCG(load.Seed, load.Seed)), start: time.Unix(0, 0),
		running: map[string]*generation{}, result: Result{Kinds: map[string]Outcome{}}, last: -time.Hour,
	}
	for i := range load.Engines {
		p.engines = append(p.engines, p.newEngine(i))
	}
	due := make([]*generation, 0, 1024)
	for i, a := range load.arrivals(p.random) {
		a.id = fmt.Sprintf("g%d", i)
		due = append(due, &generation{arrival: a, firstAsked: a.at})
		p.asked += a.kind.Worth
		p.count(a.kind, func(o *Outcome) { o.Asked++ })
	}
	byTime := func(a, b *generation) int { return cmp.Compare(a.nextAsk(), b.nextAsk()) }
	slices.SortStableFunc(due, byTime)
	nextWave := load.LeaveEach
	for end := load.Lasts + time.Minute; p.now < end; p.now += tick {
		for len(due) > 0 && due[0].nextAsk() <= p.now {
			g := due[0]
			due = due[1:]
			if again, ok := p.ask(g); ok {
				g.arrival.at = p.now + again
				i, _ := slices.BinarySearchFunc(due, g, byTime)
				due = slices.Insert(due, i, g)
			}
		}
		if load.LeaveShare > 0 && p.now >= nextWave && p.now < load.Lasts {
			nextWave += load.LeaveEach
			p.wave()
		}
		p.step()
	}
	for _, e := range p.engines {
		p.result.Preempted += e.model.Preemptions()
	}
	p.result.Worth = p.earned / p.asked
	p.result.Streamed = p.streamed / time.Duration(max(p.whole, 1))
	return p.result
}

// nextAsk is when its caller asks the next time.
func (g *generation) nextAsk() time.Duration { return g.arrival.at }

// count changes what is counted of a kind.
func (p *play) count(k *Kind, change func(o *Outcome)) {
	o := p.result.Kinds[k.Name]
	change(&o)
	p.result.Kinds[k.Name] = o
}

// described is what operators say of the engines.
func (p *play) described() *routetable.Engine {
	return &routetable.Engine{Slots: p.load.Slots, MemoryTokens: p.load.MemoryTokens, EventTokens: eventTokens, Moves: true, CopyRate: 1 / copyToken.Seconds()}
}

// candidates are the engines that take new work, without one.
func (p *play) candidates(without *engine) []placement.Candidate {
	loads := map[*engine]gossip.Load{}
	for _, id := range p.order {
		g := p.running[id]
		loads[g.at] = loads[g.at].Add(g.load())
		if g.target != nil {
			moved := g.load()
			moved.Prefill = 0
			loads[g.target] = loads[g.target].Add(moved)
		}
	}
	var out []placement.Candidate
	for _, e := range p.engines {
		if e == without || e.leavesAt > 0 || e.backAt > 0 {
			continue
		}
		c := placement.Candidate{Upstream: fleet.Upstream{Record: fleet.Record{ID: e.id, Service: "llm"}}, Load: loads[e]}
		out = append(out, c)
	}
	return out
}

// load is what a generation takes of its engine, as an entry counts it.
func (g *generation) load() gossip.Load {
	held := g.prompt + g.made
	l := gossip.Load{Running: 1, Held: held, Tokens: max(g.prompt+g.expected(), held+eventTokens)}
	if g.made == 0 {
		l.Prefill = g.prompt
	}
	return l
}

// hintMargin covers that a guess of the length is right only in half of the cases.
const hintMargin = 1.25

// expected is the length of the answer that an entry reckons with.
func (g *generation) expected() int { return min(int(hintMargin*float64(g.hint)), g.kind.MostOutput) }

// view is what the entry decides by: exact news.
func (p *play) view() *placement.View {
	return &placement.View{
		Now: p.start.Add(p.now), Random: p.random.Float64, ReadToken: readToken,
		Delay: func(string) time.Duration { return 0 },
	}
}

// ask lets a generation in or refuses it; again is the time after which a refused caller
// comes back, and ok tells that it does.
func (p *play) ask(g *generation) (again time.Duration, ok bool) {
	now := p.start.Add(p.now)
	leaving := p.load.LeaveShare
	usable := p.moveRoom.Usable(p.described(), leaving, now)
	if p.ways.KeepAll {
		usable = (1 - leaving) * float64(p.load.MemoryTokens)
	}
	want := &placement.Generation{
		Engine: p.described(), Prompt: g.prompt, Output: g.expected(), Brief: g.expected() < briefTokens,
		StartBy: g.firstAsked + g.kind.Objective*4/5 - p.now,
	}
	u, err := p.view().Admit(p.candidates(nil), want, usable)
	g.tries++
	if err == nil {
		p.overload.Admitted(now)
		p.send(g, p.engine(u.ID), 0)
		return 0, false
	}
	back := p.overload.Refused(g.kind.Objective, now, p.random.Float64())
	if p.ways.BackLate {
		back = p.backLate()
	}
	if g.tries > 1 {
		p.count(g.kind, func(o *Outcome) { o.Refused++ })
		return 0, false
	}
	return back, true
}

// backLate is the age of the overload, a second at least.
func (p *play) backLate() time.Duration {
	if p.now-p.last > 2*time.Second {
		p.since = p.now
	}
	p.last = p.now
	return time.Duration(float64(max(p.now-p.since, time.Second)) * (0.75 + 0.5*p.random.Float64()))
}

// engine returns the engine with an identifier.
func (p *play) engine(id string) *engine {
	return p.engines[slices.IndexFunc(p.engines, func(e *engine) bool { return e.id == id })]
}

// send gives a generation to an engine, of whose tokens some are there already.
func (p *play) send(g *generation, e *engine, computed int) {
	rank := 0
	if p.ways.Ranks {
		rank = g.kind.Rank
	}
	g.at, g.target, g.before = e, nil, g.made
	if _, ok := p.running[g.id]; !ok {
		p.running[g.id] = g
		p.order = append(p.order, g.id)
	}
	// The identifiers are this package's own, each in use once.
	_ = e.model.Submit(enginemodel.Job{ID: g.id, Prompt: g.prompt + g.made, Output: g.output - g.made, Priority: rank, Computed: computed})
}

// forget drops a generation that has ended, and the copy that waits for it.
func (p *play) forget(g *generation) {
	if g.target != nil {
		g.target.model.Drop(g.copied)
	}
	delete(p.running, g.id)
	p.order = slices.DeleteFunc(p.order, func(id string) bool { return id == g.id })
}

// finish counts a whole answer.
func (p *play) finish(g *generation) {
	p.forget(g)
	if g.output > briefTokens {
		p.streamed += g.latest - g.first
		p.whole++
	}
	if g.paused || g.first-g.firstAsked > g.kind.Objective {
		p.count(g.kind, func(o *Outcome) { o.Late++ })
		p.earned += lateShare * g.kind.Worth
		return
	}
	p.count(g.kind, func(o *Outcome) { o.InTime++ })
	p.earned += g.kind.Worth
}
