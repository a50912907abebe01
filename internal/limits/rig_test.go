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
	// rigWindow is the window in which requests at the upstream are counted. A limit has to be kept
	// rigSettled after it was first advertised, by entries that learned of it at least rigInformed
	// ago.
	rigWindow   = 4 * time.Second
	rigSettled  = 3 * time.Second
	rigInformed = 500 * time.Millisecond
	// rigMaxUrgentDelay is the longest delay of an urgent round.
	rigMaxUrgentDelay = 100 * time.Millisecond
	// rigMessageRate bounds an entry's regular messages a second.
	rigMessageRate = 250
	// rigIncarnation is the incarnation of the upstream.
	rigIncarnation = "u"
)

// rig simulates a deployment on virtual time: entries with their Sets, one upstream, and callers.
//
// A Set calls the functions of its entry while it is locked, and they lock the rig. To avoid a
// deadlock, nothing calls a Set that is in use while the rig is locked.
type rig struct {
	roundTrip time.Duration
	loss      float64
	// equalShares gives each entry a fixed equal share of the limit instead of permits.
	equalShares bool

	mu      sync.Mutex
	rng     *rand.Rand
	entries []*rigEntry
	// minority holds the entries on the smaller side of a network partition.
	minority map[*rigEntry]bool

	// rate is the limit of the upstream, 0 for none, and since is when it was first advertised.
	rate  float64
	since time.Time
	rates []rigRate
	// arrivals are the requests that reached the upstream.
	arrivals []rigArrival
}

type rigRate struct {
	at   time.Time
	rate float64
}

type rigArrival struct {
	at time.Time
	// informed is set if the entry counted as informed of the limit at that time.
	informed bool
}

type rigEntry struct {
	rig  *rig
	name string
	// The following are guarded by the rig's lock.

	set *Set
	// incarnation is the number of the current incarnation; 0 while the entry is down.
	incarnation     int
	lastIncarnation int
	// requested and served count the requests of the entry's callers.
	requested, served int
	// startedAt, frozenAt and partitionedAt are when this last happened to the entry, and
	// disturbedAt when a fault of the entry last began or ended.
	startedAt, frozenAt, partitionedAt, disturbedAt time.Time
	frozen                                          bool
	// stopping is set when the entry is about to stop.
	stopping bool
	// informedAt is when the entry first learned of the limit.
	informedAt time.Time
	// roundPending is set while an urgent round is scheduled.
	roundPending bool
	ownLimiter   *rate.Limiter
}

func newRig(seed uint64, entries int, roundTrip time.Duration, loss float64) *rig {
	r := &rig{rng: rand.New(rand.NewPCG(seed, 1)), roundTrip: roundTrip, loss: loss, minority: map[*rigEntry]bool{}}
	for i := range entries {
		r.add(fmt.Sprintf("entry-%d", i))
	}
	r.updateEntryCounts()
	return r
}

// add adds an entry and starts it.
func (r *rig) add(name string) {
	e := &rigEntry{rig: r, name: name}
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	e.start()
}

// all returns a copy of the list of entries.
func (r *rig) all() []*rigEntry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.entries)
}

// updateEntryCounts gives each entry the number of entries, as the list of entries does.
func (r *rig) updateEntryCounts() {
	all := r.all()
	for _, e := range all {
		e.current().SetEntryCount(len(all))
	}
}

// current returns the Set of the entry's current incarnation.
func (e *rigEntry) current() *Set {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	return e.set
}

// interval returns the time between two regular rounds. The caller must hold the rig's lock.
func (r *rig) interval() time.Duration {
	return max(200*time.Millisecond, time.Duration(len(r.entries))*time.Second/rigMessageRate)
}

// start starts the entry with an empty Set.
func (e *rigEntry) start() {
	r := e.rig
	r.mu.Lock()
	defer r.mu.Unlock()
	e.lastIncarnation++
	incarnation := e.lastIncarnation
	e.incarnation, e.stopping = incarnation, false
	e.startedAt, e.informedAt, e.ownLimiter, e.roundPending = time.Now(), time.Time{}, nil, false
	e.set = New(e.name, strconv.Itoa(incarnation), Peers{
		LivePeers: func() []Entry {
			r.mu.Lock()
			defer r.mu.Unlock()
			var out []Entry
			for _, o := range r.entries {
				if e.receivesFrom(o) {
					out = append(out, o.asPeer())
				}
			}
			return out
		},
		Send: func(to string, m Message, at time.Time) {
			r.mu.Lock()
			defer r.mu.Unlock()
			for _, o := range r.entries {
				if o.name == to {
					e.send(incarnation, o, m, at)
				}
			}
		},
		Broadcast: func() { e.scheduleRound(incarnation) },
		BroadcastTime: func() time.Duration {
			r.mu.Lock()
			defer r.mu.Unlock()
			return rigMaxUrgentDelay + r.interval() + r.roundTrip
		},
		RoundTrip: func() time.Duration { return r.roundTrip },
	}, events.Nop(), time.Now)
	e.set.SetEntryCount(len(r.entries))
	go e.sendRounds(incarnation)
}

// end stops the entry.
func (e *rigEntry) end() {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	e.incarnation, e.disturbedAt = 0, time.Now()
}

// stopGranting announces that the entry is about to stop.
func (e *rigEntry) stopGranting() {
	e.rig.mu.Lock()
	e.stopping = true
	set := e.set
	e.rig.mu.Unlock()
	set.StopGranting()
}

// freeze suspends an entry or lets it run again.
func (e *rigEntry) freeze(frozen bool) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	e.frozen, e.disturbedAt = frozen, time.Now()
	if frozen {
		e.frozenAt = time.Now()
	}
}

// partition cuts the given entries off from the others. Without entries it ends the partition.
func (r *rig) partition(some ...*rigEntry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for e := range r.minority {
		e.disturbedAt = time.Now()
	}
	r.minority = map[*rigEntry]bool{}
	for _, e := range some {
		r.minority[e], e.disturbedAt, e.partitionedAt = true, time.Now(), time.Now()
	}
}

// alive reports whether an incarnation of an entry is running. The caller must hold the rig's lock.
func (e *rigEntry) alive(number int) bool { return number > 0 && e.incarnation == number && !e.frozen }

// receivesFrom reports whether e counts another entry as reachable: silence is noticed after three
// intervals. The caller must hold the rig's lock.
func (e *rigEntry) receivesFrom(o *rigEntry) bool {
	r := e.rig
	silence := 3 * r.interval()
	switch {
	case o == e || o.incarnation == 0 || time.Since(o.startedAt) <= r.roundTrip:
		return false
	case o.frozen:
		return time.Since(o.frozenAt) < silence
	case r.minority[e] != r.minority[o]:
		return time.Since(later(e.partitionedAt, o.partitionedAt)) < silence
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sendRounds sends the regular rounds of one incarnation.
func (e *rigEntry) sendRounds(incarnation int) {
	for {
		e.rig.mu.Lock()
		interval, alive := e.rig.interval(), e.incarnation == incarnation
		e.rig.mu.Unlock()
		if !alive {
			return
		}
		time.Sleep(interval)
		e.sendRound(incarnation)
	}
}

// scheduleRound schedules an urgent round, unless one is scheduled already.
func (e *rigEntry) scheduleRound(incarnation int) {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	if e.roundPending {
		return
	}
	e.roundPending = true
	time.AfterFunc(time.Duration(e.rig.rng.Int64N(int64(rigMaxUrgentDelay))), func() {
		e.rig.mu.Lock()
		e.roundPending = false
		e.rig.mu.Unlock()
		e.sendRound(incarnation)
	})
}

// asPeer returns what gossip reports about this entry. The caller must hold the rig's lock.
func (e *rigEntry) asPeer() Entry {
	return Entry{Name: e.name, Life: strconv.Itoa(e.incarnation), Stops: e.stopping}
}

// others returns all other entries.
func (e *rigEntry) others() []Entry {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	var out []Entry
	for _, o := range e.rig.entries {
		if o != e {
			out = append(out, o.asPeer())
		}
	}
	return out
}

// sendRound sends the messages of one round.
func (e *rigEntry) sendRound(incarnation int) {
	r := e.rig
	r.mu.Lock()
	set, alive := e.set, e.alive(incarnation)
	r.mu.Unlock()
	if !alive {
		return
	}
	messages, now := set.Round(e.others), time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.entries {
		if m, found := messages[o.name]; found {
			e.send(incarnation, o, m, now)
		}
	}
}

// send sends a message, which may be lost and takes a quarter to three quarters of a round trip.
// The caller must hold the rig's lock.
func (e *rigEntry) send(incarnation int, o *rigEntry, m Message, at time.Time) {
	r := e.rig
	if !e.alive(incarnation) || r.rng.Float64() < r.loss || r.minority[e] != r.minority[o] {
		return
	}
	to, set := o.incarnation, o.set
	time.AfterFunc(time.Duration((0.25+r.rng.Float64()/2)*float64(r.roundTrip)), func() {
		r.mu.Lock()
		lost := !o.alive(to) || r.minority[e] != r.minority[o]
		r.mu.Unlock()
		if !lost {
			set.Receive(e.name, m, at)
		}
	})
}

// request handles one request of a caller at an entry.
func (r *rig) request(e *rigEntry) {
	r.mu.Lock()
	incarnation, set, alive := e.incarnation, e.set, e.alive(e.incarnation)
	e.requested++
	r.mu.Unlock()
	if !alive {
		return
	}
	sent := time.Now()
	if r.equalShares {
		if e.takeEqualShare() {
			r.forward(e, incarnation, sent)
		}
		return
	}
	if set.Take(context.Background(), rigIncarnation) == nil {
		r.mu.Lock()
		e.served++
		r.mu.Unlock()
		r.forward(e, incarnation, time.Now())
	}
}

// takeEqualShare takes a permit from the entry's fixed share.
func (e *rigEntry) takeEqualShare() bool {
	e.rig.mu.Lock()
	defer e.rig.mu.Unlock()
	if !e.set.Any() {
		return true
	}
	if e.ownLimiter == nil {
		e.ownLimiter = rate.NewLimiter(rate.Limit(e.rig.rate/float64(len(e.rig.entries))), 1)
		e.ownLimiter.Allow()
	}
	return e.ownLimiter.Allow()
}

// forward sends a request to the upstream and processes the answer.
func (r *rig) forward(e *rigEntry, incarnation int, sent time.Time) {
	r.mu.Lock()
	alive := e.alive(incarnation)
	r.mu.Unlock()
	if !alive {
		return
	}
	time.Sleep(r.roundTrip / 2)
	at := time.Now()
	r.mu.Lock()
	informed := !e.informedAt.IsZero() && at.Sub(e.informedAt) >= rigInformed && at.Sub(e.disturbedAt) >= rigSettled && !r.minority[e]
	r.arrivals = append(r.arrivals, rigArrival{at, informed})
	advertised := r.rate
	r.mu.Unlock()
	time.Sleep(r.roundTrip / 2)
	r.mu.Lock()
	alive, set := e.alive(incarnation), e.set
	// An answer that was made before the limit changed states nothing about the next limit.
	if alive && advertised > 0 && e.informedAt.IsZero() && !at.Before(r.since) {
		e.informedAt = at
	}
	r.mu.Unlock()
	switch {
	case !alive:
	case advertised == 0:
		set.NoteNoLimit(rigIncarnation, sent)
	default:
		set.NoteLimit(rigIncarnation, advertised)
	}
}

// limit sets the limit of the upstream from now on; 0 for none.
func (r *rig) limit(perSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.rate == 0 || perSecond == 0 {
		r.since = time.Now()
		for _, e := range r.entries {
			e.informedAt = time.Time{}
		}
	}
	r.rate = perSecond
	r.rates = append(r.rates, rigRate{time.Now(), perSecond})
}

// generateLoad sends a number of requests a second in all for a while. The entry of rank k gets a
// share in proportion to 1/k.
func (r *rig) generateLoad(perSecond float64, lasts time.Duration) {
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

// usedShare returns the share of the limit that reached the upstream since a time.
func (r *rig) usedShare(from time.Time) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, a := range r.arrivals {
		if !a.at.Before(from) {
			n++
		}
	}
	return float64(n) / (r.rate * time.Since(from).Seconds())
}

// peak returns the largest number of requests in a window, of informed entries and of all, and by
// how much the former exceeds the allowed number; negative if it does not.
func (r *rig) peak() (informed, all, excess int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	excess = math.MinInt
	for i, a := range r.arrivals {
		if a.at.Sub(r.since) < rigSettled {
			continue
		}
		nInformed, nAll := 0, 0
		for j := i; j >= 0 && a.at.Sub(r.arrivals[j].at) <= rigWindow; j-- {
			nAll++
			if r.arrivals[j].informed {
				nInformed++
			}
		}
		informed, all = max(informed, nInformed), max(all, nAll)
		excess = max(excess, nInformed-r.allowed(a.at))
	}
	return informed, all, excess
}

// allowed returns how many requests may reach the upstream in the window before a time. The caller
// must hold the rig's lock.
func (r *rig) allowed(at time.Time) int {
	highest := 0.0
	for i, l := range r.rates {
		if l.at.After(at) || i+1 < len(r.rates) && r.rates[i+1].at.Before(at.Add(-rigWindow)) {
			continue
		}
		highest = max(highest, l.rate)
	}
	return int(1.5*highest*rigWindow.Seconds()) + 5
}

// stop ends all entries, so that the simulation can end.
func (r *rig) stop() {
	for _, e := range r.all() {
		e.end()
	}
	time.Sleep(10 * time.Second)
}
