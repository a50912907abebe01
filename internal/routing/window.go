package routing

import (
	"sync"
	"time"
)

// windowParts is the number of parts a window is counted in; a part that is
// only partly inside the window counts whole, so the bound holds for any span.
const windowParts = 10

const (
	// heardWithin is the least age up to which what another entry said is counted on:
	// some messages, which are sent at least every 200 ms among a few entries.
	heardWithin = 600 * time.Millisecond
	// toldWithin is the least time in which the others learn of a repeat: a message
	// follows at once, and the next one, should it be lost, within 200 ms.
	toldWithin = 250 * time.Millisecond
)

// keptPart is the part of its share that an entry keeps to itself: one or two
// repeats at once, while the rest goes to whoever needs it. With half kept, streams
// of which the copy was there were still cut for want of budget.
const keptPart = 0.2

// Use is what one entry counted in the window.
type Use struct {
	Requests int
	Repeats  int
}

// Window bounds the extra attempts of all entries in a sliding window: a part of
// the requests they had, and an allowance for the whole deployment. Each entry
// keeps a part of its share to itself; the rest is for all that hear each other.
// Out of that rest an entry takes at a time only what is left divided by the
// number of those entries, because all may take before they hear of each other.
// The share of an entry that is not heard stays reserved.
type Window struct {
	ratio float64
	extra float64
	span  time.Duration
	now   func() time.Time

	mu      sync.Mutex
	entries int
	// told and heard are the times in which the others learn of a repeat, and up to
	// which what another entry said is counted on.
	told, heard time.Duration
	part        int64
	requests    [windowParts + 1]int
	repeats     [windowParts + 1]int
	peers       map[string]heardUse
	// lent are the times of the latest attempts beyond the own share.
	lent []time.Time
}

type heardUse struct {
	Use
	at time.Time
	// hears is when it last heard this entry.
	hears time.Time
}

// NewWindow allows, in each span, ratio extra attempts for each request and a
// share of extra that is divided by the number of entries.
func NewWindow(ratio, extra float64, span time.Duration, now func() time.Time) *Window {
	return &Window{ratio: ratio, extra: extra, span: span, now: now, entries: 1, told: toldWithin, heard: heardWithin, peers: map[string]heardUse{}}
}

// Entries sets the number of entries that share the allowance.
func (w *Window) Entries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(n, 1)
}

// Messages sets in which time the others learn of a repeat, and after which silence one
// is not counted on: with many entries messages are further apart.
func (w *Window) Messages(told, silence time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.told, w.heard = max(told, toldWithin), max(silence, heardWithin)
}

// Use returns what this entry counted in the window.
func (w *Window) Use() Use {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.use()
}

// Heard takes over what another entry counted that hears this one.
func (w *Window) Heard(entry string, u Use) { w.HeardBy(entry, u, w.now()) }

// HeardBy takes over what another entry counted, and when it last heard this one, as far as is
// known; zero for never.
func (w *Window) HeardBy(entry string, u Use, heard time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[entry] = heardUse{Use: u, at: w.now(), hears: heard}
}

// Request notes a request of a caller.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Repeat takes one extra attempt out of the budget. reserve is the part of the
// budget, 0 to 1, that must stay for more important attempts.
func (w *Window) Repeat(reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	own := w.use()
	if float64(own.Repeats+1) > keptPart*w.share(own)*(1-reserve) && !w.lend(own, reserve) {
		return false
	}
	w.repeats[i]++
	return true
}

// lend takes one attempt out of what the entries that are heard do not keep to
// themselves.
func (w *Window) lend(own Use, reserve float64) bool {
	now := w.now()
	for len(w.lent) > 0 && now.Sub(w.lent[0]) > w.told {
		w.lent = w.lent[1:]
	}
	left := w.left(own, reserve)
	heard := 1
	for name, p := range w.peers {
		if now.Sub(p.at) > w.heard {
			delete(w.peers, name)
			continue
		}
		if now.Sub(p.hears) > w.heard {
			// It does not know what is taken of its share, and takes that itself: 652
			// attempts of 400 where four entries are heard that hear nobody.
			continue
		}
		heard++
		left += w.left(p.Use, reserve)
	}
	lately := float64(len(w.lent))
	if (lately+1)*float64(heard) > left+lately {
		return false
	}
	w.lent = append(w.lent, now)
	return true
}

func (w *Window) use() Use { return Use{Requests: sum(w.requests[:]), Repeats: sum(w.repeats[:])} }

// share is what an entry that counted u may use without regard to the others.
func (w *Window) share(u Use) float64 {
	return w.ratio*float64(u.Requests) + w.extra/float64(w.entries)
}

// left is what others may take of an entry's share, less the part in reserve; it
// is negative for an entry that took from others.
func (w *Window) left(u Use, reserve float64) float64 {
	share := w.share(u) * (1 - reserve)
	return share - max(float64(u.Repeats), keptPart*share)
}

// advance moves to the part of the present time and empties those passed over.
func (w *Window) advance() int {
	part := int64(w.now().Sub(epoch) / (w.span / windowParts))
	steps := min(part-w.part, windowParts+1)
	for k := int64(1); k <= steps; k++ {
		i := (w.part + k) % (windowParts + 1)
		w.requests[i], w.repeats[i] = 0, 0
	}
	if part > w.part {
		w.part = part
	}
	return int(w.part % (windowParts + 1))
}

// epoch is the steady time from which parts are numbered.
var epoch = time.Now()

func sum(v []int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}
