package limits

import (
	"flag"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"
)

var playsFlag = flag.Int("limits.plays", 1, "how many times as many plays there are in trouble")

// rigTrouble is something that befalls a deployment; undo ends it.
type rigTrouble struct {
	name string
	hit  func(r *rig, rng *rand.Rand) (undo func())
}

// granter returns the entry that grants permits, as most know.
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

// someone returns the granter, or any entry.
func (r *rig) someone(rng *rand.Rand) *rigEntry {
	if rng.IntN(2) == 0 {
		return r.granter()
	}
	all := r.all()
	return all[rng.IntN(len(all))]
}

var rigTroubles = []rigTrouble{
	{"an entry is killed", func(r *rig, rng *rand.Rand) func() {
		e := r.someone(rng)
		e.end()
		return e.start
	}},
	{"an entry freezes", func(r *rig, rng *rand.Rand) func() {
		e := r.someone(rng)
		e.freeze(true)
		return func() { e.freeze(false) }
	}},
	{"a cut", func(r *rig, rng *rand.Rand) func() {
		all := r.all()
		rng.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		r.separate(all[:(len(all)+1)/2]...)
		return func() { r.separate() }
	}},
	{"one is cut off", func(r *rig, rng *rand.Rand) func() {
		r.separate(r.someone(rng))
		return func() { r.separate() }
	}},
	{"an entry is added", func(r *rig, rng *rand.Rand) func() {
		r.add("entry-more-" + string(rune('a'+rng.IntN(26))) + string(rune('a'+rng.IntN(26))))
		return r.listed
	}},
	{"the limit changes", func(r *rig, rng *rand.Rand) func() {
		before := r.rate
		r.limit(before * (0.3 + rng.Float64()))
		return func() { r.limit(before) }
	}},
	{"the limit is over for a while", func(r *rig, _ *rand.Rand) func() {
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

// However news come, and whoever dies, freezes, is cut off or joins, among them the entry that
// grants the permits: an upstream gets no more than it takes, and work again once its limit
// is over.
func TestLimitIsKeptInTrouble(t *testing.T) {
	for _, tc := range []struct {
		entries int
		// seeds is the number of plays, times that of the flag.
		seeds int
	}{{2, 8}, {4, 24}, {13, 10}, {30, 4}, {100, 1}} {
		sum, worst := 0.0, 0.0
		for seed := range uint64(tc.seeds * *playsFlag) {
			synctest.Test(t, func(t *testing.T) {
				rng := rand.New(rand.NewPCG(seed, 2))
				r := newRig(seed, tc.entries, time.Duration(2+rng.IntN(40))*time.Millisecond, 0.2*rng.Float64())
				limit := []float64{0.3, 1.5, 3.2, 30, 100}[rng.IntN(5)]
				r.limit(limit)
				go r.callers(4*limit+float64(tc.entries)/10, 40*time.Second)
				time.Sleep(4 * time.Second)
				begun := time.Now()
				var names []string
				for time.Since(begun) < 30*time.Second {
					trouble := rigTroubles[rng.IntN(len(rigTroubles))]
					names = append(names, trouble.name)
					undo := trouble.hit(r, rng)
					time.Sleep(time.Duration(200+rng.IntN(4000)) * time.Millisecond)
					undo()
					time.Sleep(time.Duration(rng.IntN(3000)) * time.Millisecond)
				}
				told, all, beyond := r.most()
				used := r.used(begun)
				sum += used
				worst = max(worst, float64(all)/float64(int(1.5*limit*rigWindow.Seconds())+5))
				if beyond > 0 {
					t.Errorf("%d entries, seed %d, %v a second: %d requests more than allowed (at most %d told, %d in all): %v", tc.entries, seed, limit, beyond, told, all, names)
				}
				r.limit(0)
				// That it is over is heard with the next permit, of which there is one in
				// five seconds at least, and a granter may just have begun.
				go r.callers(20*limit+20, 8*time.Second)
				time.Sleep(10 * time.Second)
				for _, e := range r.all() {
					if e.current().Any() {
						t.Errorf("%d entries, seed %d: %s holds the limit long after it is over", tc.entries, seed, e.name)
					}
				}
				r.stop()
			})
		}
		t.Logf("%3d entries, %d plays: %.2f of the limit used, at worst %.2f of what is allowed reached in all, also from those excused", tc.entries, tc.seeds**playsFlag, sum/float64(tc.seeds**playsFlag), worst)
	}
}

// An entry that started anew while a limit was in force granted permits to itself beside the one
// that grants them to all: 30 requests in a quarter of a second where all together may send 25, for
// as long as it lasted. The others told it of the limit until it told of limits itself, which it
// did to all at once at the first word; so it never heard from most of them that they are aware of limits,
// and took itself for the highest of few.
func TestEntryThatStartsAnewAgreesWhoGrants(t *testing.T) {
	for seed := range uint64(10) {
		synctest.Test(t, func(t *testing.T) {
			r := newRig(seed, 5, 20*time.Millisecond, 0.1)
			r.limit(100)
			go r.callers(500, 40*time.Second)
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
					t.Errorf("seed %d, after %s started anew: %v grant, want one of them", seed, e.name, granters)
				}
			}
			time.Sleep(12 * time.Second)
			r.stop()
		})
	}
}
