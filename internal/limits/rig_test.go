package limits

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/sparshore/sparshore/internal/events"
)

const (
	// rigWindow is the window in which requests at the upstream count; rigKnown is how long
	// after it first named a limit that holds, for entries that it had told rigTold before.
	rigWindow = 4 * time.Second
	rigKnown  = 3 * time.Second
	rigTold   = 500 * time.Millisecond
	// rigUrgent is how long an urgent message waits at most.
	rigUrgent = 100 * time.Millisecond
	// rigMessages bounds an entry's regular messages a second.
	rigMessages = 250
	// rigStart names the start of the upstream.
	rigStart = "u"
)

// rig is a deployment on virtual time: entries with their Sets, one upstream, and callers.
//
// A Set calls the functions of its entry while it is locked, and they lock the rig: nothing here
// calls a Set with the rig locked.
type rig struct {
	way  time.Duration
	loss float64
	// equal makes each entry use an equal part by itself, instead of asking.
	equal bool

	mu      sync.Mutex
	rng     *rand.Rand
	entries []*rigEntry
	// cut holds the entries on the smaller side of a cut.
	cut map[*rigEntry]bool

	// rate is what the upstream takes; 0 for no limit. since is when it first said so.
	rate    float64
	since   time.Time
	largest []rigRate
	// arrived is what reached the upstream.
	arrived []rigArrival
}

type rigRate struct {
	at   time.Time
	rate float64
}

type rigArrival struct {
	at time.Time
	// told tells that it counts as told at that moment.
	told bool
}

type rigEntry struct {
	rig  *rig
	name string
	// The following are guarded by the rig's lock.

	set *Set
	// life counts its starts; 0 while it is down.
	life  int
	lives int
	// asked and served count its callers' requests.
	asked, served int
	// startedAt, frozenAt and cutAt are when that was last done to it, and disturbed when
	// anything was, or ended.
	startedAt, frozenAt, cutAt, disturbed time.Time
	frozen                                bool
	// told is when it first was told of the limit.
	told time.Time
	// urged is set while an urgent message waits.
	urged bool
	own   *rate.Limiter
}

func newRig(seed uint64, entries int, way time.Duration, loss float64) *rig {
	r := &rig{rng: rand.New(rand.NewPCG(seed, 1)), way: way, loss: loss, cut: map[*rigEntry]bool{}}
	for i := range entries {
		r.add(fmt.Sprintf("entry-%d", i))
	}
	r.listed()
	return r
}

// add adds an entry that starts now.
func (r *rig) add(name string) {
	e := &rigEntry{rig: r, name: name}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	e.start()
}

// all returns all entries.
func (r *rig) all() []*rigEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// listed tells all entries how many there are, as the list of entries does.
func (r *rig) listed() {
	all := r.all()
	for _, e := range all {
		e.current().Listed(len(all))
	}
}

// current returns the Set of the present life.
func (e *rigEntry) current() *Set {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	return e.set
}

// every is the time between two regular messages. It needs the lock.
func (r *rig) every() time.Duration {
	return max(200*time.Millisecond, time.Duration(len(r.entries))*time.Second/rigMessages)
}

// start begins a life that knows nothing.
func (e *rigEntry) start() {
	r := e.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	e.lives++
	life := e.lives
	e.life = life
	e.startedAt, e.told, e.own, e.urged = time.Now(), time.Time{}, nil, false
	e.set = New(e.name, strconv.Itoa(life), Others{
		Heard: func() []Entry {
			r.mu.Lock()
			defer r.mu.Unlock()
			var out []Entry
			for _, o := range r.entries {
				if e.hears(o) {
					out = append(out, o.entry())
				}
			}
			return out
		},
		Send: func(to string, m Message) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, o := range r.entries {
				if o.name == to {
					e.send(life, o, m, time.Now())
				}
			}
		},
		Urge: func() { e.urge(life) },
		Told: func() time.Duration {
			r.mu.Lock()
			defer r.mu.Unlock()
			return rigUrgent + r.every() + r.way
		},
		Way: func() time.Duration { return r.way },
	}, events.Nop(), time.Now)
	e.set.Listed(len(r.entries))
	go e.rounds(life)
}

// end ends the present life.
func (e *rigEntry) end() {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	e.life, e.disturbed = 0, time.Now()
}

// freeze stops an entry from running, or lets it run again.
func (e *rigEntry) freeze(frozen bool) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	e.frozen, e.disturbed = frozen, time.Now()
	if frozen {
		e.frozenAt = time.Now()
	}
}

// separate cuts some entries off from the others, or nobody.
func (r *rig) separate(some ...*rigEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e := range r.cut {
		e.disturbed = time.Now()
	}
	r.cut = map[*rigEntry]bool{}
	for _, e := range some {
		r.cut[e], e.disturbed, e.cutAt = true, time.Now(), time.Now()
	}
}

// runs reports whether a life of an entry runs. It needs the lock.
func (e *rigEntry) runs(life int) bool { return life > 0 && e.life == life && !e.frozen }

// hears reports whether an entry hears another one: silence shows after some messages. It needs
// the lock.
func (e *rigEntry) hears(o *rigEntry) bool {
	r := e.rig
	silence := 3 * r.every()
	switch {
	case o == e || o.life == 0 || time.Since(o.startedAt) <= r.way:
		return false
	case o.frozen:
		return time.Since(o.frozenAt) < silence
	case r.cut[e] != r.cut[o]:
		return time.Since(later(e.cutAt, o.cutAt)) < silence
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// rounds sends regular messages.
func (e *rigEntry) rounds(life int) {
	for {
		e.rig.mu.Lock()
		every, runs := e.rig.every(), e.life == life
		e.rig.mu.Unlock()
		if !runs {
			return
		}
		time.Sleep(every)
		e.tellAll(life)
	}
}

// urge sends a message to all soon.
func (e *rigEntry) urge(life int) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	if e.urged {
		return
	}
	e.urged = true
	time.AfterFunc(time.Duration(e.rig.rng.Int64N(int64(rigUrgent))), func() {
		e.rig.mu.Lock()
		e.urged = false
		e.rig.mu.Unlock()
		e.tellAll(life)
	})
}

// entry is what others know of it. It needs the lock.
func (e *rigEntry) entry() Entry { return Entry{Name: e.name, Life: strconv.Itoa(e.life)} }

// others returns all other entries.
func (e *rigEntry) others() []Entry {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	var out []Entry
	for _, o := range e.rig.entries {
		if o != e {
			out = append(out, o.entry())
		}
	}
	return out
}

// tellAll sends what there is to tell to those who are to hear it.
func (e *rigEntry) tellAll(life int) {
	r := e.rig
	r.mu.Lock()
	set, runs := e.set, e.runs(life)
	r.mu.Unlock()
	if !runs {
		return
	}
	messages, now := set.Round(e.others), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.entries {
		if m, told := messages[o.name]; told {
			e.send(life, o, m, now)
		}
	}
}

// send sends a message, which may be lost and takes up to one and a half times the way. It needs
// the lock.
func (e *rigEntry) send(life int, o *rigEntry, m Message, at time.Time) {
	r := e.rig
	if !e.runs(life) || r.rng.Float64() < r.loss || r.cut[e] != r.cut[o] {
		return
	}
	to, set := o.life, o.set
	time.AfterFunc(time.Duration((0.25+r.rng.Float64()/2)*float64(r.way)), func() {
		r.mu.Lock()
		lost := !o.runs(to) || r.cut[e] != r.cut[o]
		r.mu.Unlock()
		if !lost {
			set.Hear(e.name, m, at)
		}
	})
}

// request is one request of a caller at an entry.
func (r *rig) request(e *rigEntry) {
	r.mu.Lock()
	life, set, runs := e.life, e.set, e.runs(e.life)
	e.asked++
	r.mu.Unlock()
	if !runs {
		return
	}
	sent := time.Now()
	if r.equal {
		if e.takeOwn() {
			r.arrive(e, life, sent)
		}
		return
	}
	if set.Take(context.Background(), rigStart) == nil {
		r.mu.Lock()
		e.served++
		r.mu.Unlock()
		r.arrive(e, life, time.Now())
	}
}

// takeOwn takes a permit out of an equal part.
func (e *rigEntry) takeOwn() bool {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	if !e.set.Any() {
		return true
	}
	if e.own == nil {
		e.own = rate.NewLimiter(rate.Limit(e.rig.rate/float64(len(e.rig.entries))), 1)
		e.own.Allow()
	}
	return e.own.Allow()
}

// arrive is a request on its way to the upstream and back.
func (r *rig) arrive(e *rigEntry, life int, sent time.Time) {
	r.mu.Lock()
	runs := e.runs(life)
	r.mu.Unlock()
	if !runs {
		return
	}
	time.Sleep(r.way / 2)
	at := time.Now()
	r.mu.Lock()
	told := !e.told.IsZero() && at.Sub(e.told) >= rigTold && at.Sub(e.disturbed) >= rigKnown && !r.cut[e]
	r.arrived = append(r.arrived, rigArrival{at, told})
	named := r.rate
	r.mu.Unlock()
	time.Sleep(r.way / 2)
	r.mu.Lock()
	runs, set := e.runs(life), e.set
	// An answer that was made before the limit changed tells nothing of the next one.
	if runs && named > 0 && e.told.IsZero() && !at.Before(r.since) {
		e.told = at
	}
	r.mu.Unlock()
	switch {
	case !runs:
	case named == 0:
		set.Unnamed(rigStart, sent)
	default:
		set.Named(rigStart, named)
	}
}

// limit sets what the upstream takes from now on; 0 for any number.
func (r *rig) limit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate == 0 || perSecond == 0 {
		r.since = time.Now()
		for _, e := range r.entries {
			e.told = time.Time{}
		}
	}
	r.rate = perSecond
	r.largest = append(r.largest, rigRate{time.Now(), perSecond})
}

// callers sends requests for a while: a number a second in all, of which the entry of rank k
// gets a part of 1/k.
func (r *rig) callers(perSecond float64, lasts time.Duration) {
	all := r.all()
	weights, sum := make([]float64, len(all)), 0.0
	for i := range weights {
		weights[i] = 1 / float64(i+1)
		sum += weights[i]
	}
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		r.mu.Lock()
		pause, at, i := -math.Log(1-r.rng.Float64())/perSecond, r.rng.Float64()*sum, 0
		r.mu.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		for at > weights[i] && i < len(weights)-1 {
			at -= weights[i]
			i++
		}
		go r.request(all[i])
	}
}

// used is the part of a limit that reached the upstream since a time.
func (r *rig) used(from time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrived {
		if !a.at.Before(from) {
			n++
		}
	}
	return float64(n) / (r.rate * time.Since(from).Seconds())
}

// most is the largest number of requests in a window, of those told and of all, and how far
// the former is beyond what is allowed; negative if it is not.
func (r *rig) most() (told, all, beyond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	beyond = math.MinInt
	for i, a := range r.arrived {
		if a.at.Sub(r.since) < rigKnown {
			continue
		}
		nTold, nAll := 0, 0
		for j := i; j >= 0 && a.at.Sub(r.arrived[j].at) <= rigWindow; j-- {
			nAll++
			if r.arrived[j].told {
				nTold++
			}
		}
		told, all = max(told, nTold), max(all, nAll)
		beyond = max(beyond, nTold-r.allowed(a.at))
	}
	return told, all, beyond
}

// allowed is how many requests may reach the upstream in the window before a time. It needs the
// lock.
func (r *rig) allowed(at time.Time) int {
	most := 0.0
	for i, l := range r.largest {
		if l.at.After(at) || i+1 < len(r.largest) && r.largest[i+1].at.Before(at.Add(-rigWindow)) {
			continue
		}
		most = max(most, l.rate)
	}
	return int(1.5*most*rigWindow.Seconds()) + 5
}

// stop ends all entries, so that the play can end.
func (r *rig) stop() {
	for _, e := range r.all() {
		e.end()
	}
	time.Sleep(10 * time.Second)
}
