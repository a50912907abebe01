package quarantine

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// The rig simulates, on virtual time, entries that exchange gossip with a delay and send a poison
// request to shared upstreams.
const (
	// rigDuration is how long callers send requests.
	rigDuration = 15 * time.Second
	// crashDelay is the time from the start of a poison request to the crash of its upstream.
	crashDelay = 80 * time.Millisecond
	// restartDelay is how long a crashed upstream is down, and detectionDelay how long an entry
	// takes to detect the crash.
	restartDelay   = 2 * time.Second
	detectionDelay = 3 * time.Millisecond
	// gossipInterval is the minimum interval between two urgent messages of an entry.
	gossipInterval = 100 * time.Millisecond
	// convergenceTime is the time after the third crash within which all entries must have recorded it.
	// This is a requirement of the platform.
	convergenceTime = 3 * time.Second
	// harmlessDuration is the mean duration of a harmless request, and commonShare the share of
	// harmless requests that many callers send with the same content.
	harmlessDuration = 700 * time.Millisecond
	commonShare      = 0.2
)

// rigUpstream is an upstream. A crash of its current incarnation cuts all its runs.
type rigUpstream struct {
	incarnation string
	crashed     chan struct{}
	up          bool
	running     int
}

type rig struct {
	delay     time.Duration
	entries   []*Set
	gossipDue []atomic.Bool

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams []*rigUpstream
	starts    int

	// Results of the simulation.
	reached                              []time.Time
	crashes                              []time.Time
	harmless, served, cut                int
	quarantinedHarmless, onTrialHarmless int
	quarantinedPoison, onTrialPoison     int
}

func newRig(entries, upstreams int, delay time.Duration, seed uint64) *rig {
	r := &rig{
		rng: rand.New(rand.NewPCG(seed, uint64(entries))), delay: delay,
		gossipDue: make([]atomic.Bool, entries),
	}
	for i := range entries {
		r.entries = append(r.entries, New(events.Nop(), time.Now, func() { r.gossipDue[i].Store(true) }))
	}
	for range upstreams {
		u := &rigUpstream{}
		r.upstreams = append(r.upstreams, u)
		r.startUpstream(u)
	}
	return r
}

func (r *rig) startUpstream(u *rigUpstream) {
	r.starts++
	u.incarnation, u.crashed, u.up, u.running = "s"+strconv.Itoa(r.starts), make(chan struct{}), true, 0
}

// maxCandidates is the number of upstreams compared for a suspect, which gets the least loaded one.
const maxCandidates = 4

// pick returns an upstream that is up, with its current incarnation.
func (r *rig) pick(suspected bool) (u *rigUpstream, incarnation string, crashed chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tries := 1
	if suspected {
		tries = maxCandidates
	}
	var best *rigUpstream
	for n := 0; n < tries || best == nil && n < 4*len(r.upstreams); n++ {
		u := r.upstreams[r.rng.IntN(len(r.upstreams))]
		if u.up && (best == nil || u.running < best.running) {
			best = u
		}
	}
	if best == nil {
		return nil, "", nil
	}
	return best, best.incarnation, best.crashed
}

// gossip delivers the reports of entries that asked for an urgent message.
func (r *rig) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		for i, e := range r.entries {
			if !r.gossipDue[i].Swap(false) {
				continue
			}
			reports := e.Reports()
			time.AfterFunc(r.delay, func() {
				for j, other := range r.entries {
					if j != i {
						other.Merge(strconv.Itoa(i), reports)
					}
				}
			})
		}
		time.Sleep(gossipInterval)
	}
}

// serve serves a request at an entry, with one more attempt if the upstream crashes.
func (r *rig) serve(entry int, q Request, poison bool) {
	e := r.entries[entry]
	run, err := e.Enter(context.Background(), q, 250*time.Millisecond)
	if err != nil {
		r.countRefusal(err, poison)
		return
	}
	defer run.Leave()
	for range 2 {
		u, incarnation, crashed := r.pick(run.Suspected())
		if u == nil || !run.MaySend() {
			return
		}
		run.Sent()
		if r.runOn(u, crashed, poison) {
			run.Served()
			return
		}
		run.ResponseLost(incarnation)
		time.Sleep(detectionDelay)
		e.ConfirmCrash(incarnation)
		if !run.MayRepeat() {
			return
		}
	}
}

// runOn runs a request at an upstream and reports whether it was served.
func (r *rig) runOn(u *rigUpstream, crashed chan struct{}, poison bool) bool {
	r.mu.Lock()
	takes := time.Duration(r.rng.ExpFloat64() * float64(harmlessDuration))
	if poison {
		r.reached = append(r.reached, time.Now())
		takes = crashDelay
	}
	u.running++
	r.mu.Unlock()
	over := false
	select {
	case <-crashed:
	case <-time.After(takes):
		over = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.crashed == crashed {
		u.running--
	}
	switch {
	case over && poison:
		r.crash(u, crashed)
		return false
	case over:
		r.served++
	case !poison:
		r.cut++
	}
	return over
}

// crash crashes an incarnation of an upstream, unless it has already crashed, and schedules the restart.
func (r *rig) crash(u *rigUpstream, crashed chan struct{}) {
	if u.crashed != crashed || !u.up {
		return
	}
	close(crashed)
	r.crashes = append(r.crashes, time.Now())
	u.up = false
	time.AfterFunc(restartDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.startUpstream(u)
	})
}

func (r *rig) countRefusal(err error, poison bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	quarantined := errors.Is(err, ErrQuarantined)
	switch {
	case quarantined && poison:
		r.quarantinedPoison++
	case poison:
		r.onTrialPoison++
	case quarantined:
		r.quarantinedHarmless++
	default:
		r.onTrialHarmless++
	}
}

// send sends requests at a mean rate per second until ctx ends.
func (r *rig) send(ctx context.Context, rate float64, poison bool) {
	for n := 0; ctx.Err() == nil; n++ {
		q, entry, pause := r.draw(n, poison)
		go r.serve(entry, q, poison)
		time.Sleep(time.Duration(pause / rate * float64(time.Second)))
	}
}

// draw returns the n-th request, the entry that receives it, and the pause after it.
func (r *rig) draw(n int, poison bool) (q Request, entry int, pause float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q = request("culprit")
	if !poison {
		r.harmless++
		q = request("sound " + strconv.Itoa(n))
		if r.rng.Float64() < commonShare {
			q = request("common " + strconv.Itoa(n%5))
		}
	}
	return q, r.rng.IntN(len(r.entries)), r.rng.ExpFloat64()
}

// lateArrivals returns how often the poison request reached upstreams after the convergence time.
func (r *rig) lateArrivals() (n int) {
	for _, at := range r.reached {
		if len(r.crashes) >= quarantineThreshold && at.After(r.crashes[quarantineThreshold-1].Add(convergenceTime)) {
			n++
		}
	}
	return n
}

// keepAlive delivers an empty message from a peer to each entry once a second, as idle entries
// send.
func (r *rig) keepAlive(ctx context.Context) {
	for ctx.Err() == nil {
		for i, e := range r.entries {
			e.Merge(strconv.Itoa((i+1)%len(r.entries)), nil)
		}
		time.Sleep(time.Second)
	}
}

// playOne simulates one poison request that is sent at a mean rate per second.
func (r *rig) playOne(t *testing.T, rate float64) {
	ctx, cancel := context.WithTimeout(t.Context(), rigDuration)
	defer cancel()
	go r.gossip(ctx)
	go r.sweep(ctx)
	go r.keepAlive(ctx)
	go r.send(ctx, 4*float64(len(r.upstreams)), false)
	time.Sleep(time.Second)
	r.send(ctx, rate, true)
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

var rigHarmless = flag.Int("rig.sound", 40000,
	"minimum number of harmless requests per row of simulations with one poison request")

// TestOnePoisonRequestAtManyEntries simulates a poison request that is sent several times a second
// to any of many entries, which get gossip late. Without quarantine, each arrival would crash two
// upstreams, 112 to 840 in total. Each row sends enough harmless requests that a single refused one
// does not exceed the bounds.
func TestOnePoisonRequestAtManyEntries(t *testing.T) {
	for _, tc := range []struct {
		entries, upstreams int
		rate               float64
	}{{4, 9, 4}, {30, 90, 10}, {300, 870, 30}} {
		for _, delay := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d entries, gossip delay %s", tc.entries, delay), func(t *testing.T) {
				var harmless, quarantined, onTrial, crashed, late int
				for seed := uint64(1); harmless < *rigHarmless; seed++ {
					synctest.Test(t, func(t *testing.T) {
						r := newRig(tc.entries, tc.upstreams, delay, seed)
						r.playOne(t, tc.rate)
						r.mu.Lock()
						defer r.mu.Unlock()
						if r.lateArrivals() > 0 {
							t.Errorf("seed %d: reached upstreams %d times after the convergence time", seed, r.lateArrivals())
						}
						// Poison requests that arrive before the first gossip each crash two
						// upstreams.
						mean := 2 * tc.rate * (delay + crashDelay + gossipInterval).Seconds()
						if most := quarantineThreshold + int(mean+4*math.Sqrt(2*mean)); len(r.crashes) > most {
							t.Errorf("seed %d: %d crashes, want at most %d", seed, len(r.crashes), most)
						}
						harmless, quarantined, onTrial = harmless+r.harmless,
							quarantined+r.quarantinedHarmless, onTrial+r.onTrialHarmless
						crashed, late = crashed+len(r.crashes), late+r.lateArrivals()
					})
				}
				t.Logf("%d harmless requests sent, %d refused as quarantined, %d as on trial; %d crashes, %d late arrivals",
					harmless, quarantined, onTrial, crashed, late)
				// A common harmless request may look like a poison request until gossip arrives.
				if quarantined*5000 > harmless {
					t.Errorf("%d of %d harmless requests refused as quarantined", quarantined, harmless)
				}
				if onTrial*1000 > harmless {
					t.Errorf("%d of %d harmless requests refused as on trial", onTrial, harmless)
				}
			})
		}
	}
}
