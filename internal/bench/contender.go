package bench

import (
	"slices"
	"strconv"
	"time"

	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/enginemodel"
)

func number(n int) string { return strconv.Itoa(n) }

// contender is one way to decide. Its functions are told what happens and
// return what to do.
type contender struct {
	name   string
	arrive func(a arrival, now time.Time)
	token  func(id string)
	finish func(id string)
	drop   func(id string)
	step   func(batch int, took time.Duration)
	report func(used int, at time.Time)
	decide func(now time.Time) []act
}

// act is one thing to do with one request.
type act struct {
	kind decision.Kind
	id   string
}

// maker builds a fresh contender for one run.
type maker struct {
	name  string
	build func(engine enginemodel.Settings, now func() time.Time) *contender
}

// fixed is a contender that admits by a rule over its queue and never pauses.
type fixed struct {
	queue   []arrival
	running map[string]arrival
	allows  func(f *fixed, a arrival) bool
	made    map[string]int
}

func newFixed(name string, allows func(f *fixed, a arrival) bool) *contender {
	f := &fixed{running: map[string]arrival{}, made: map[string]int{}, allows: allows}
	return &contender{
		name:   name,
		arrive: func(a arrival, _ time.Time) { f.queue = append(f.queue, a) },
		token:  func(id string) { f.made[id]++ },
		finish: f.drop,
		drop:   f.drop,
		step:   func(int, time.Duration) {},
		report: func(int, time.Time) {},
		decide: f.decide,
	}
}

func (f *fixed) drop(id string) {
	delete(f.running, id)
	delete(f.made, id)
	f.queue = slices.DeleteFunc(f.queue, func(a arrival) bool { return a.id == id })
}

func (f *fixed) decide(time.Time) []act {
	var out []act
	for len(f.queue) > 0 && f.allows(f, f.queue[0]) {
		a := f.queue[0]
		f.queue = f.queue[1:]
		f.running[a.id] = a
		out = append(out, act{decision.Admit, a.id})
	}
	return out
}

// admitAll sends everything on; the engine preempts the newest.
func admitAll() maker {
	return maker{"admit-all", func(enginemodel.Settings, func() time.Time) *contender {
		return newFixed("admit-all", func(*fixed, arrival) bool { return true })
	}}
}

// fixedCap runs at most n streams.
func fixedCap(n int) maker {
	name := "cap-" + number(n)
	return maker{name, func(enginemodel.Settings, func() time.Time) *contender {
		return newFixed(name, func(f *fixed, _ arrival) bool { return len(f.running) < n })
	}}
}

// reserve keeps memory for each stream's claimed length.
func reserve() maker {
	return maker{"reserve", func(s enginemodel.Settings, _ func() time.Time) *contender {
		return newFixed("reserve", func(f *fixed, a arrival) bool {
			need := a.prompt + a.claimed
			for _, r := range f.running {
				need += r.prompt + r.claimed
			}
			return len(f.running) == 0 || need <= s.Blocks*s.BlockTokens
		})
	}}
}

// oracle knows the lengths: it admits when no future step runs out of memory
// and the batch keeps the wanted time between tokens.
func oracle() maker {
	return maker{"oracle", func(s enginemodel.Settings, _ func() time.Time) *contender {
		batch := int((wantedGap - s.StepBase) / s.StepPerStream)
		return newFixed("oracle", func(f *fixed, a arrival) bool {
			return len(f.running) < batch && f.peakFits(a, s)
		})
	}}
}

// peakFits reports whether memory suffices until all have ended, if a starts
// now and all make a token each step. The use peaks just before an end.
func (f *fixed) peakFits(a arrival, s enginemodel.Settings) bool {
	type left struct{ tokens, remaining int }
	all := []left{{a.prompt, a.output}}
	for id, r := range f.running {
		all = append(all, left{r.prompt + f.made[id], r.output - f.made[id]})
	}
	slices.SortFunc(all, func(x, y left) int { return y.remaining - x.remaining })
	blocks := func(tokens int) int { return (tokens + s.BlockTokens - 1) / s.BlockTokens }
	for i, end := range all {
		used := 0
		for _, o := range all[:i+1] {
			used += blocks(o.tokens + end.remaining + 1)
		}
		if used > s.Blocks {
			return false
		}
	}
	return true
}

// Wanted is the wanted time between tokens and the time within which a request
// must start.
const (
	wantedGap   = 48 * time.Millisecond
	startWithin = 20 * time.Second
)

// decided is the decision of the product, as the sidecar uses it.
func decided(name string, change func(s *decision.Settings)) maker {
	return maker{name, func(e enginemodel.Settings, now func() time.Time) *contender {
		s := decision.Settings{Blocks: e.Blocks, BlockTokens: e.BlockTokens, MaxBatch: e.MaxBatch, TokenGap: wantedGap, Risk: decision.DefaultRisk}
		if change != nil {
			change(&s)
		}
		sched := decision.New(s, now)
		return &contender{
			name: name,
			arrive: func(a arrival, at time.Time) {
				sched.Arrive(decision.Request{ID: a.id, Account: a.account, Prompt: a.prompt, StartBy: at.Add(startWithin)})
			},
			token:  sched.Token,
			finish: sched.Finish,
			drop:   sched.Drop,
			step:   sched.Step,
			report: sched.Report,
			decide: func(time.Time) []act {
				var out []act
				for _, a := range sched.Decide() {
					out = append(out, act{a.Kind(), a.ID()})
				}
				return out
			},
		}
	}}
}
