package limits

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var runsFlag = flag.Int("limits.plays", 1, "multiplier of the number of simulated runs with faults")

// rigFault is a fault that is injected into a deployment; undo ends it.
type rigFault struct {
	name   string
	inject func(r *rig, rng *rand.Rand) (undo func())
}

// granter returns the entry that most entries take for the granter.
func (r *rig) granter() *rigEntry {
	votes, best := map[string]int{}, ""
	for _, e := range r.all() {
		for _, l := range e.current().List() {
			votes[l.Granter]++
			if votes[l.Granter] > votes[best] {
				best = l.Granter
			}
		}
	}
	for _, e := range r.all() {
		if e.name == best {
			return e
		}
	}
	return r.all()[0]
}

// pickEntry returns the granter or a random entry.
func (r *rig) pickEntry(rng *rand.Rand) *rigEntry {
	if rng.IntN(2) == 0 {
		return r.granter()
	}
	all := r.all()
	return all[rng.IntN(len(all))]
}

var rigFaults = []rigFault{
	{"an entry is killed", func(r *rig, rng *rand.Rand) func() {
		e := r.pickEntry(rng)
		e.end()
		return e.start
	}},
	{"an entry freezes", func(r *rig, rng *rand.Rand) func() {
		e := r.pickEntry(rng)
		e.freeze(true)
		return func() { e.freeze(false) }
	}},
	{"a partition", func(r *rig, rng *rand.Rand) func() {
		all := r.all()
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		r.partition(all[:(len(all)+1)/2]...)
		return func() { r.partition() }
	}},
	{"an entry is cut off", func(r *rig, rng *rand.Rand) func() {
		r.partition(r.pickEntry(rng))
		return func() { r.partition() }
	}},
	{"an entry is added", func(r *rig, rng *rand.Rand) func() {
		r.add("entry-more-" + string(rune('a'+rng.IntN(26))) + string(rune('a'+rng.IntN(26))))
		return r.updateEntryCounts
	}},
	{"the limit changes", func(r *rig, rng *rand.Rand) func() {
		before := r.rate
		r.limit(before * (0.3 + rng.Float64()))
		return func() { r.limit(before) }
	}},
	{"the limit is lifted for a while", func(r *rig, _ *rand.Rand) func() {
		before := r.rate
		r.limit(0)
		return func() { r.limit(before) }
	}},
	{"the limit flaps", func(r *rig, _ *rand.Rand) func() {
		before := r.rate
		for range 3 {
			r.limit(0)
			time.Sleep(300 * time.Millisecond)
			r.limit(before)
			time.Sleep(300 * time.Millisecond)
		}
		return func() {}
	}},
}

// Guards against exceeding a limit while messages are lost or late and entries, among them the
// granter, crash, freeze, are cut off or join. It also checks that requests flow again without
// permits once the limit is lifted.
func TestLimitHoldsUnderFaults(t *testing.T) {
	for _, tc := range []struct {
		entries int
		// seeds is the number of runs, multiplied by the flag.
		seeds int
	}{{2, 8}, {4, 24}, {13, 10}, {30, 4}, {100, 1}} {
		sum, worst := 0.0, 0.0
		for seed := range uint64(tc.seeds * *runsFlag) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 2))
				r := newRig(seed, tc.entries, time.Duration(2+rng.IntN(40))*time.Millisecond, 0.2*rng.Float64())
				limit := []float64{0.3, 1.5, 3.2, 30, 100}[rng.IntN(5)]
				r.limit(limit)
				go r.generateLoad(4*limit+float64(tc.entries)/10, 40*time.Second)
				time.Sleep(4 * time.Second)
				begun := time.Now()
				var names []string
				for time.Since(begun) < 30*time.Second {
					fault := rigFaults[rng.IntN(len(rigFaults))]
					names = append(names, fault.name)
					undo := fault.inject(r, rng)
					time.Sleep(time.Duration(200+rng.IntN(4000)) * time.Millisecond)
					undo()
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				}
				informed, all, excess := r.peak()
				used := r.usedShare(begun)
				sum += used
				worst = max(worst, float64(all)/float64(int(1.5*limit*rigWindow.Seconds())+5))
				if excess > 0 {
					t.Errorf("%d entries, seed %d, %v a second: %d requests more than allowed (peak %d of informed entries, %d of all): %v", tc.entries, seed, limit, excess, informed, all, names)
				}
				r.limit(0)
				// An entry learns with its next permit that the limit is lifted. There is at least
				// one permit in five seconds, and a granter may just have begun.
				go r.generateLoad(20*limit+20, 8*time.Second)
				time.Sleep(10 * time.Second)
				for _, e := range r.all() {
					if e.current().Any() {
						t.Errorf("%d entries, seed %d: %s keeps the limit long after it was lifted", tc.entries, seed, e.name)
					}
				}
				r.stop()
			})
		}
		t.Logf("%3d entries, %d runs: %.2f of the limit used, peak of all entries at worst %.2f of what is allowed", tc.entries, tc.seeds**runsFlag, sum/float64(tc.seeds**runsFlag), worst)
	}
}

// Guards against a second granter after an entry restarts while a limit is in force. The restarted
// entry granted permits to itself as long as the limit lasted, which led to 30 requests in a
// quarter of a second where 25 were allowed. The others sent it messages about the limit only until
// it sent one itself, which it did on the first message. So it never learned that most of them
// support limits, and had the highest hash among the few that it knew.
func TestRestartedEntryAgreesOnTheGranter(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(seed, 5, 20*time.Millisecond, 0.1)
			r.limit(100)
			go r.generateLoad(500, 40*time.Second)
			time.Sleep(5 * time.Second)
			for _, e := range r.all() {
				e.end()
				time.Sleep(time.Second)
				e.start()
				time.Sleep(4 * time.Second)
				granters := map[string]int{}
				for _, o := range r.all() {
					for _, l := range o.current().List() {
						granters[l.Granter]++
					}
				}
				if len(granters) != 1 {
					t.Errorf("seed %d, after %s restarted: %v grant, want one of them", seed, e.name, granters)
				}
			}
			time.Sleep(12 * time.Second)
			r.stop()
		})
	}
}
