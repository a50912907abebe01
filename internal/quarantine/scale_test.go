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

// The rig: entries on virtual time that tell each other late, before upstreams that one
// request ends.
const (
	// rigLasts is how long callers send.
	rigLasts = 15 * time.Second
	// fuse is the time from the begin of the request to the end of its upstream.
	fuse = 80 * time.Millisecond
	// backAfter is the time until an upstream is back, and noticedAfter that until an
	// entry knows that one ended.
	backAfter    = 2 * time.Second
	noticedAfter = 3 * time.Millisecond
	// tellEach is the least time between two urgent messages of an entry.
	tellEach = 100 * time.Millisecond
	// knownAfter is the time after the third end in which entries learn of it, by the
	// users' platform.
	knownAfter = 3 * time.Second
	// soundRuns is how long a sound request runs on average, and commonPart the part of
	// those that many callers send alike.
	soundRuns  = 700 * time.Millisecond
	commonPart = 0.2
)

// rigUpstream is an upstream; its runs end with its start.
type rigUpstream struct {
	start   string
	ended   chan struct{}
	up      bool
	running int
}

type rig struct {
	delay   time.Duration
	entries []*Set
	urged   []atomic.Bool

	mu        sync.Mutex
	rng       *rand.Rand
	upstreams []*rigUpstream
	starts    int

	// What happened.
	reached                     []time.Time
	ends                        []time.Time
	sound, served, cut          int
	heldSound, onTrialSound     int
	heldCulprit, onTrialCulprit int
}

func newRig(entries, upstreams int, delay time.Duration, seed uint64) *rig {
	r := &rig{rng: rand.New(rand.NewPCG(seed, uint64(entries))), delay: delay, urged: make([]atomic.Bool, entries)}
	for i := range entries {
		r.entries = append(r.entries, New(events.Nop(), time.Now, func() { r.urged[i].Store(true) }))
	}
	for range upstreams {
		u := &rigUpstream{}
		r.upstreams = append(r.upstreams, u)
		r.begin(u)
	}
	return r
}

func (r *rig) begin(u *rigUpstream) {
	r.starts++
	u.start, u.ended, u.up, u.running = "s"+strconv.Itoa(r.starts), make(chan struct{}), true, 0
}

// mostTried is how many upstreams are looked at for a suspect, to take the one that runs
// least.
const mostTried = 4

// pick returns the start of an upstream that is up.
func (r *rig) pick(suspected bool) (u *rigUpstream, start string, ended chan struct{}) {
	r.mu.Lock()
	defer r.mu.Unlock()
	tries := 1
	if suspected {
		tries = mostTried
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
	return best, best.start, best.ended
}

// gossip sends the messages of entries that were urged.
func (r *rig) gossip(ctx context.Context) {
	for ctx.Err() == nil {
		for i, e := range r.entries {
			if !r.urged[i].Swap(false) {
				continue
			}
			words := e.Tell()
			time.AfterFunc(r.delay, func() {
				for j, other := range r.entries {
					if j != i {
						other.Hear(strconv.Itoa(i), words)
					}
				}
			})
		}
		time.Sleep(tellEach)
	}
}

// serve serves a request at an entry, with one more try if the upstream ends.
func (r *rig) serve(entry int, q Request, culprit bool) {
	e := r.entries[entry]
	run, err := e.Enter(context.Background(), q, 250*time.Millisecond)
	if err != nil {
		r.refuse(err, culprit)
		return
	}
	defer run.Leave()
	for range 2 {
		u, start, ended := r.pick(run.Suspected())
		if u == nil || !run.MaySend() {
			return
		}
		run.Sent()
		if r.runs(u, ended, culprit) {
			run.Served()
			return
		}
		run.Broke(start)
		time.Sleep(noticedAfter)
		e.Ended(start)
		if !run.MayRepeat() {
			return
		}
	}
}

// runs reports whether an upstream answers a request.
func (r *rig) runs(u *rigUpstream, ended chan struct{}, culprit bool) bool {
	r.mu.Lock()
	takes := time.Duration(r.rng.ExpFloat64() * float64(soundRuns))
	if culprit {
		r.reached = append(r.reached, time.Now())
		takes = fuse
	}
	u.running++
	r.mu.Unlock()
	over := false
	select {
	case <-ended:
	case <-time.After(takes):
		over = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if u.ended == ended {
		u.running--
	}
	switch {
	case over && culprit:
		r.end(u, ended)
		return false
	case over:
		r.served++
	case !culprit:
		r.cut++
	}
	return over
}

// end ends a start of an upstream, unless it has ended; the next one comes later.
func (r *rig) end(u *rigUpstream, ended chan struct{}) {
	if u.ended != ended || !u.up {
		return
	}
	close(ended)
	r.ends = append(r.ends, time.Now())
	u.up = false
	time.AfterFunc(backAfter, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.begin(u)
	})
}

func (r *rig) refuse(err error, culprit bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := errors.Is(err, ErrHeld)
	switch {
	case held && culprit:
		r.heldCulprit++
	case culprit:
		r.onTrialCulprit++
	case held:
		r.heldSound++
	default:
		r.onTrialSound++
	}
}

// send lets callers send requests at a mean rate a second until ctx ends.
func (r *rig) send(ctx context.Context, rate float64, culprit bool) {
	for n := 0; ctx.Err() == nil; n++ {
		q, entry, pause := r.draw(n, culprit)
		go r.serve(entry, q, culprit)
		time.Sleep(time.Duration(pause / rate * float64(time.Second)))
	}
}

// draw returns the n-th request, the entry that gets it, and the pause after it.
func (r *rig) draw(n int, culprit bool) (q Request, entry int, pause float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q = request("culprit")
	if !culprit {
		r.sound++
		q = request("sound " + strconv.Itoa(n))
		if r.rng.Float64() < commonPart {
			q = request("common " + strconv.Itoa(n%5))
		}
	}
	return q, r.rng.IntN(len(r.entries)), r.rng.ExpFloat64()
}

// late is the number of times at which the culprit reached upstreams once all had to know.
func (r *rig) late() (n int) {
	for _, at := range r.reached {
		if len(r.ends) >= verdictEnds && at.After(r.ends[verdictEnds-1].Add(knownAfter)) {
			n++
		}
	}
	return n
}

// hear lets each entry hear of another one each second, as it does of idle ones.
func (r *rig) hear(ctx context.Context) {
	for ctx.Err() == nil {
		for i, e := range r.entries {
			e.Hear(strconv.Itoa((i+1)%len(r.entries)), nil)
		}
		time.Sleep(time.Second)
	}
}

// playOne plays one request that ends upstreams, sent at a mean rate a second.
func (r *rig) playOne(t *testing.T, rate float64) {
	ctx, cancel := context.WithTimeout(t.Context(), rigLasts)
	defer cancel()
	go r.gossip(ctx)
	go r.sweep(ctx)
	go r.hear(ctx)
	go r.send(ctx, 4*float64(len(r.upstreams)), false)
	time.Sleep(time.Second)
	r.send(ctx, rate, true)
	time.Sleep(20 * time.Second)
	synctest.Wait()
}

var rigSound = flag.Int("rig.sound", 40000, "sound requests that each row of the rig with one request that ends upstreams sends at least")

// TestOneRequestAgainstManyEntries plays a request that ends upstreams, sent some times a
// second at any of many entries, which hear of each other late. Without a memory of it each
// time it came would end two upstreams: 112 to 840 in all. A row sends enough sound requests for
// one that is refused not to be more than the bounds allow.
func TestOneRequestAgainstManyEntries(t *testing.T) {
	for _, tc := range []struct {
		entries, upstreams int
		rate               float64
	}{{4, 9, 4}, {30, 90, 10}, {300, 870, 30}} {
		for _, delay := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, 700 * time.Millisecond} {
			t.Run(fmt.Sprintf("%d entries with news %s old", tc.entries, delay), func(t *testing.T) {
				var sound, held, onTrial, ended, late int
				for seed := uint64(1); sound < *rigSound; seed++ {
					synctest.Test(t, func(t *testing.T) {
						r := newRig(tc.entries, tc.upstreams, delay, seed)
						r.playOne(t, tc.rate)
						r.mu.Lock()
						defer r.mu.Unlock()
						if r.late() > 0 {
							t.Errorf("seed %d: reached upstreams %d times once all had to know", seed, r.late())
						}
						// Those that came before the first news did end two upstreams each.
						mean := 2 * tc.rate * (delay + fuse + tellEach).Seconds()
						if most := verdictEnds + int(mean+4*math.Sqrt(2*mean)); len(r.ends) > most {
							t.Errorf("seed %d: %d upstreams ended, want at most %d", seed, len(r.ends), most)
						}
						sound, held, onTrial = sound+r.sound, held+r.heldSound, onTrial+r.onTrialSound
						ended, late = ended+len(r.ends), late+r.late()
					})
				}
				t.Logf("%d sound requests sent, %d refused as held, %d while their like ran; %d upstreams ended, %d times late", sound, held, onTrial, ended, late)
				// While news is under way a sound one that many send may look guilty.
				if held*5000 > sound {
					t.Errorf("%d of %d sound requests refused as held", held, sound)
				}
				if onTrial*1000 > sound {
					t.Errorf("%d of %d sound requests refused while their like ran", onTrial, sound)
				}
			})
		}
	}
}
