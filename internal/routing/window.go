package routing

import (
	"sync"
	"time"
)

// windowBuckets is the number of buckets in which a window is counted. A bucket that is only
// partly inside the window counts in full, so the bound holds for any span.
const windowBuckets = 10

const (
	// minPeerTTL is the least time for which the reported counts of another entry are used. It
	// covers several messages: among few entries they are sent at least every 200 ms.
	minPeerTTL = 600 * time.Millisecond
	// minPropagation is the least time in which the other entries learn of an extra attempt: a
	// message follows at once, and the next one, should the first be lost, within 200 ms.
	minPropagation = 250 * time.Millisecond
)

// privateFraction is the part of its share that an entry does not lend: enough for one or two
// extra attempts at once, while the rest goes to whichever entry needs it. With half of the
// share private, streams were cut for lack of budget although the copy of their memory was
// ready.
const privateFraction = 0.2

// Use holds the counts of one entry in the window.
type Use struct {
	Requests int
	Extra    int
}

// SharedBudget bounds the extra attempts (retries and hedges) of all entries in a sliding window to a
// part of their requests plus an allowance for the whole deployment. Each entry has a share of
// that and keeps a private fraction of it; the rest is lent among the entries that receive each
// other's messages. An entry borrows at a time no more than what is available divided by the
// number of those entries, because all may borrow before they learn of each other's attempts.
// The share of an entry whose messages do not arrive stays reserved for it.
type SharedBudget struct {
	ratio float64
	extra float64
	span  time.Duration
	now   func() time.Time

	mu      sync.Mutex
	entries int
	// propagation is the time in which the other entries learn of an extra attempt. peerTTL is
	// the age up to which their reported counts are used.
	propagation, peerTTL time.Duration
	bucket               int64
	requests             [windowBuckets + 1]int
	repeats              [windowBuckets + 1]int
	peers                map[string]peerUse
	// borrowed holds the times of the recent attempts beyond the private fraction.
	borrowed []time.Time
}

// peerUse holds the reported counts of another entry.
type peerUse struct {
	Use
	receivedAt time.Time
	// lastReceived is when that entry last received a message of this one.
	lastReceived time.Time
}

// NewSharedBudget returns a budget that allows, in each span, ratio extra attempts for each request,
// and extra more that are divided among the entries.
func NewSharedBudget(ratio, extra float64, span time.Duration, now func() time.Time) *SharedBudget {
	return &SharedBudget{ratio: ratio, extra: extra, span: span, now: now, entries: 1, propagation: minPropagation, peerTTL: minPeerTTL, peers: map[string]peerUse{}}
}

// SetEntries sets the number of entries that share the allowance.
func (w *SharedBudget) SetEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(n, 1)
}

// SetMessageTimes sets the time in which the other entries learn of an extra attempt, and the age up
// to which their counts are used. Both grow with the number of entries, since messages are
// further apart then.
func (w *SharedBudget) SetMessageTimes(propagation, peerTTL time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.propagation, w.peerTTL = max(propagation, minPropagation), max(peerTTL, minPeerTTL)
}

// Use returns the counts of this entry in the window.
func (w *SharedBudget) Use() Use {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return w.use()
}

// RecordPeer records the counts of another entry that receives the messages of this one.
func (w *SharedBudget) RecordPeer(entry string, u Use) { w.RecordPeerReport(entry, u, w.now()) }

// RecordPeerReport records the counts of another entry. lastReceived is when that entry last received a
// message of this one, as far as is known; zero means never.
func (w *SharedBudget) RecordPeerReport(entry string, u Use, lastReceived time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.peers[entry] = peerUse{Use: u, receivedAt: w.now(), lastReceived: lastReceived}
}

// Request records a request of a caller.
func (w *SharedBudget) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// TakeExtra takes one extra attempt from the budget; it returns false if the budget is used up.
// reserve is the part of the budget, 0 to 1, that must stay for more important attempts.
func (w *SharedBudget) TakeExtra(reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	own := w.use()
	if float64(own.Extra+1) > privateFraction*w.share(own)*(1-reserve) && !w.borrow(own, reserve) {
		return false
	}
	w.repeats[i]++
	return true
}

// borrow takes one attempt from what the entries that exchange messages lend; it returns false
// if that is used up.
func (w *SharedBudget) borrow(own Use, reserve float64) bool {
	now := w.now()
	for len(w.borrowed) > 0 && now.Sub(w.borrowed[0]) > w.propagation {
		w.borrowed = w.borrowed[1:]
	}
	available := w.lendable(own, reserve)
	sharers := 1
	for name, p := range w.peers {
		if now.Sub(p.receivedAt) > w.peerTTL {
			delete(w.peers, name)
			continue
		}
		if now.Sub(p.lastReceived) > w.peerTTL {
			// This entry does not learn what is borrowed from its share and uses the share
			// itself. Without this check, an entry that receives messages of four others that
			// receive none led to 652 extra attempts of 400 allowed.
			continue
		}
		sharers++
		available += w.lendable(p.Use, reserve)
	}
	recent := float64(len(w.borrowed))
	if (recent+1)*float64(sharers) > available+recent {
		return false
	}
	w.borrowed = append(w.borrowed, now)
	return true
}

func (w *SharedBudget) use() Use { return Use{Requests: sum(w.requests[:]), Extra: sum(w.repeats[:])} }

// share returns what an entry with the counts u may use, before borrowing and lending.
func (w *SharedBudget) share(u Use) float64 {
	return w.ratio*float64(u.Requests) + w.extra/float64(w.entries)
}

// lendable returns what others may borrow of an entry's share, less the part in reserve. It is
// negative for an entry that borrowed from others.
func (w *SharedBudget) lendable(u Use, reserve float64) float64 {
	share := w.share(u) * (1 - reserve)
	return share - max(float64(u.Extra), privateFraction*share)
}

// advance moves to the bucket of the present time, clears the buckets in between and returns
// the index of the current one.
func (w *SharedBudget) advance() int {
	current := int64(w.now().Sub(windowOrigin) / (w.span / windowBuckets))
	steps := min(current-w.bucket, windowBuckets+1)
	for k := int64(1); k <= steps; k++ {
		i := (w.bucket + k) % (windowBuckets + 1)
		w.requests[i], w.repeats[i] = 0, 0
	}
	if current > w.bucket {
		w.bucket = current
	}
	return int(w.bucket % (windowBuckets + 1))
}

// windowOrigin is the time from which buckets are numbered; it has a monotonic clock reading.
var windowOrigin = time.Now()

func sum(v []int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}
