package bench

import (
	"slices"
	"strconv"
	"time"

	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/enginemodel"
)

func number(n int) string { return strconv.Itoa(n) }

// contender is a scheduling policy under comparison. The simulation reports events to its
// functions and carries out the actions that decide returns.
type contender struct {
	name   string
	arrive func(a arrival, now time.Time)
	token  func(id string)
	finish func(id string)
	drop   func(id string)
	step   func(batch int, took time.Duration)
	report func(used int, at time.Time)
	decide func(now time.Time) []action
}

// action is a decision about one request.
type action struct {
	kind decision.Kind
	id   string
}

// factory builds a new contender for each run.
type factory struct {
	name  string
	build func(engine enginemodel.Settings, now func() time.Time) *contender
}

// ruleScheduler admits the head of its FIFO queue while a fixed rule allows it. It never pauses
// or refuses requests.
type ruleScheduler struct {
	queue     []arrival
	running   map[string]arrival
	allows    func(rs *ruleScheduler, a arrival) bool
	generated map[string]int
}

func newRuleScheduler(name string, allows func(rs *ruleScheduler, a arrival) bool) *contender {
	rs := &ruleScheduler{running: map[string]arrival{}, generated: map[string]int{}, allows: allows}
	return &contender{
		name:   name,
		arrive: func(a arrival, _ time.Time) { rs.queue = append(rs.queue, a) },
		token:  func(id string) { rs.generated[id]++ },
		finish: rs.drop,
		drop:   rs.drop,
		step:   func(int, time.Duration) {},
		report: func(int, time.Time) {},
		decide: rs.decide,
	}
}

func (rs *ruleScheduler) drop(id string) {
	delete(rs.running, id)
	delete(rs.generated, id)
	rs.queue = slices.DeleteFunc(rs.queue, func(a arrival) bool { return a.id == id })
}

func (rs *ruleScheduler) decide(time.Time) []action {
	var out []action
	for len(rs.queue) > 0 && rs.allows(rs, rs.queue[0]) {
		a := rs.queue[0]
		rs.queue = rs.queue[1:]
		rs.running[a.id] = a
		out = append(out, action{decision.Admit, a.id})
	}
	return out
}

// admitAll admits all requests at once. When memory runs out, the engine preempts the newest
// stream.
func admitAll() factory {
	return factory{"admit-all", func(enginemodel.Settings, func() time.Time) *contender {
		return newRuleScheduler("admit-all", func(*ruleScheduler, arrival) bool { return true })
	}}
}

// fixedCap admits requests while fewer than n streams run.
func fixedCap(n int) factory {
	name := "cap-" + number(n)
	return factory{name, func(enginemodel.Settings, func() time.Time) *contender {
		return newRuleScheduler(name, func(rs *ruleScheduler, _ arrival) bool { return len(rs.running) < n })
	}}
}

// reserve admits a request if its prompt and declared maximum output fit in memory beside those
// of all running streams. A request always starts on an empty engine.
func reserve() factory {
	return factory{"reserve", func(s enginemodel.Settings, _ func() time.Time) *contender {
		return newRuleScheduler("reserve", func(rs *ruleScheduler, a arrival) bool {
			need := a.prompt + a.declared
			for _, r := range rs.running {
				need += r.prompt + r.declared
			}
			return len(rs.running) == 0 || need <= s.Blocks*s.BlockTokens
		})
	}}
}

// oracle knows the output lengths. It admits a request if no later step will run out of memory
// and the batch stays small enough for the target time between tokens.
func oracle() factory {
	return factory{"oracle", func(s enginemodel.Settings, _ func() time.Time) *contender {
		batch := int((targetTokenGap - s.StepBase) / s.StepPerStream)
		return newRuleScheduler("oracle", func(rs *ruleScheduler, a arrival) bool {
			return len(rs.running) < batch && rs.peakFits(a, s)
		})
	}}
}

// peakFits reports whether memory suffices until all streams have ended, if a starts now and
// each stream generates a token per step. Memory use peaks just before a stream ends, so only
// those steps are checked.
func (rs *ruleScheduler) peakFits(a arrival, s enginemodel.Settings) bool {
	type stream struct{ tokens, remaining int }
	streams := []stream{{a.prompt, a.output}}
	for id, r := range rs.running {
		streams = append(streams, stream{r.prompt + rs.generated[id], r.output - rs.generated[id]})
	}
	slices.SortFunc(streams, func(x, y stream) int { return y.remaining - x.remaining })
	blocks := func(tokens int) int { return (tokens + s.BlockTokens - 1) / s.BlockTokens }
	for i, end := range streams {
		used := 0
		for _, o := range streams[:i+1] {
			used += blocks(o.tokens + end.remaining + 1)
		}
		if used > s.Blocks {
			return false
		}
	}
	return true
}

// The target time between tokens and the time after which a caller gives up on a request without
// a first token.
const (
	targetTokenGap = 48 * time.Millisecond
	startTimeout   = 20 * time.Second
)

// product is the scheduler of internal/decision with the settings that the sidecar uses, after
// change has been applied to them.
func product(name string, change func(s *decision.Settings)) factory {
	return factory{name, func(e enginemodel.Settings, now func() time.Time) *contender {
		s := decision.Settings{Blocks: e.Blocks, BlockTokens: e.BlockTokens, MaxBatch: e.MaxBatch, TokenGap: targetTokenGap, Risk: decision.DefaultRisk}
		if change != nil {
			change(&s)
		}
		sched := decision.New(s, now)
		return &contender{
			name: name,
			arrive: func(a arrival, at time.Time) {
				sched.Arrive(decision.Request{ID: a.id, Account: a.account, Prompt: a.prompt, StartBy: at.Add(startTimeout)})
			},
			token:  sched.Token,
			finish: sched.Finish,
			drop:   sched.Drop,
			step:   sched.Step,
			report: sched.Report,
			decide: func(time.Time) []action {
				var out []action
				for _, a := range sched.Decide() {
					out = append(out, action{a.Kind(), a.ID()})
				}
				return out
			},
		}
	}}
}
