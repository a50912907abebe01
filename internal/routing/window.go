package routing

import (
	"sync"
	"time"
)

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

	mu sync.Mutex
	// entries is the number of entries that share the allowance. A lower number takes effect at
	// fewerFrom, when what the entries that left have used is out of the window.
	entries, fewer int
	fewerFrom      time.Time
	// propagation is the time in which the other entries learn of an extra attempt. peerTTL is
	// the age up to which their reported counts are used.
	propagation, peerTTL time.Duration
	// own counts what this process used, and earlier what earlier processes of this entry used.
	own, earlier slidingCounts
	// taken is the number of extra attempts of this process.
	taken int
	peers map[string]*peerUse
	// borrowed holds the times of the recent attempts beyond the private fraction.
	borrowed []time.Time
	// restartedAt is when this process of the entry started, zero if there was no earlier one.
	restartedAt time.Time
}

// peerUse holds the reported counts of another entry.
type peerUse struct {
	// Use is the latest report, and seen counts what all processes of that entry reported.
	Use
	seen       slidingCounts
	receivedAt time.Time
	// lastReceived is when that entry last received a message of this one.
	lastReceived time.Time
}

// NewSharedBudget returns a budget that allows, in each span, ratio extra attempts for each request,
// and extra more that are divided among the entries.
func NewSharedBudget(ratio, extra float64, span time.Duration, now func() time.Time) *SharedBudget {
	return &SharedBudget{ratio: ratio, extra: extra, span: span, now: now, entries: 1, propagation: minPropagation, peerTTL: minPeerTTL, peers: map[string]*peerUse{}}
}

// SetEntries sets the number of entries that share the allowance.
func (w *SharedBudget) SetEntries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n = max(n, 1)
	switch {
	case n >= w.entries:
		w.entries, w.fewerFrom = n, time.Time{}
	case w.fewerFrom.IsZero() || n != w.fewer:
		w.fewer, w.fewerFrom = n, w.now().Add(w.span)
	}
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

// Usage is what an entry has used of a budget.
type Usage struct {
	Buckets []Bucket
	// Share is the number of extra attempts that the entry may make in the window without borrowing.
	Share float64
	// Taken is the number of extra attempts that its present process has made in all.
	Taken int
}

// Extra returns the number of extra attempts in the window.
func (u Usage) Extra() (n int) {
	for _, b := range u.Buckets {
		n += b.Extra
	}
	return n
}

// Usage returns what this entry has used in the window, earlier processes included.
func (w *SharedBudget) Usage() Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	now := w.now()
	return Usage{Buckets: append(w.own.history(now, w.span), w.earlier.history(now, w.span)...), Share: w.share(w.use()), Taken: w.taken}
}

// SetRestarted sets when this process of the entry started, if there were earlier ones.
func (w *SharedBudget) SetRestarted(at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.restartedAt = at
}

// awaitsPeers reports whether a process that has just started has yet to hear what the other entries have
// borrowed of its share.
func (w *SharedBudget) awaitsPeers(now time.Time) bool {
	return !w.restartedAt.IsZero() && now.Sub(w.restartedAt) < w.peerTTL && len(w.peers) < w.entries-1
}

// Restore records what earlier processes of this entry have used. If it is called again, the account with
// more extra attempts counts: others may not have heard of the last ones.
func (w *SharedBudget) Restore(buckets []Bucket) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	restored := slidingCounts{bucket: w.earlier.bucket}
	now := w.now()
	for _, b := range buckets {
		// Where buckets of two processes do not align, requests count as early as they can have been, and
		// extra attempts as late.
		end := now.Add(-b.Age - 1)
		restored.add(bucketAt(end, w.span), Use{Extra: b.Extra})
		restored.add(bucketAt(end.Add(-w.span/windowBuckets+1), w.span), Use{Requests: b.Requests})
	}
	if restored.use().Extra > w.earlier.use().Extra || w.earlier.use() == (Use{}) {
		w.earlier = restored
	}
}

// PeerUsage returns what all processes of another entry have used in the window, as far as they reported it.
func (w *SharedBudget) PeerUsage(entry string) []Bucket {
	w.mu.Lock()
	defer w.mu.Unlock()
	p, ok := w.peers[entry]
	if !ok {
		return nil
	}
	now := w.now()
	p.seen.advance(bucketAt(now, w.span))
	return p.seen.history(now, w.span)
}

// RecordPeer records the counts of another entry that receives the messages of this one.
func (w *SharedBudget) RecordPeer(entry string, u Use) { w.RecordPeerReport(entry, u, w.now()) }

// RecordPeerReport records the counts of another entry. lastReceived is when that entry last received a
// message of this one, as far as is known; zero means never. A report may be lower than the one before,
// because a new process of that entry does not know yet what earlier ones used: those counts stay until
// they are out of the window.
func (w *SharedBudget) RecordPeerReport(entry string, u Use, lastReceived time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	p, ok := w.peers[entry]
	if !ok {
		p = &peerUse{}
		w.peers[entry] = p
	}
	p.seen.advance(bucketAt(now, w.span))
	if ok {
		p.seen.observe(u)
	} else {
		p.seen.observeFirst(u)
	}
	p.Use, p.receivedAt, p.lastReceived = u, now, lastReceived
}

// Request records a request of a caller.
func (w *SharedBudget) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.own.requests[w.advance()]++
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
	w.own.extra[i]++
	w.taken++
	return true
}

// borrow takes one attempt from what the entries that exchange messages lend; it returns false
// if that is used up.
func (w *SharedBudget) borrow(own Use, reserve float64) bool {
	now := w.now()
	if w.awaitsPeers(now) {
		return false
	}
	for len(w.borrowed) > 0 && now.Sub(w.borrowed[0]) > w.propagation {
		w.borrowed = w.borrowed[1:]
	}
	available := w.lendable(own, reserve)
	sharers := 1
	for name, p := range w.peers {
		p.seen.advance(bucketAt(now, w.span))
		use := p.seen.use()
		// An entry that does not receive messages of this one does not learn what is borrowed from its
		// share and uses the share itself. Without this check, an entry that receives messages of four
		// others that receive none led to 652 extra attempts of 400 allowed.
		if now.Sub(p.receivedAt) <= w.peerTTL && now.Sub(p.lastReceived) <= w.peerTTL {
			sharers++
			// The times of what the entry used before its first report are not known here, so seen may
			// be lower than the report.
			use.Extra = max(use.Extra, p.Extra)
			available += w.lendable(use, reserve)
			continue
		}
		// What an entry borrowed before it fell silent is not available again until it is out of the window.
		available += min(w.lendable(use, reserve), 0)
		if now.Sub(p.receivedAt) > w.span {
			delete(w.peers, name)
		}
	}
	recent := float64(len(w.borrowed))
	if (recent+1)*float64(sharers) > available+recent {
		return false
	}
	w.borrowed = append(w.borrowed, now)
	return true
}

func (w *SharedBudget) use() Use {
	own, earlier := w.own.use(), w.earlier.use()
	return Use{Requests: own.Requests + earlier.Requests, Extra: own.Extra + earlier.Extra}
}

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

// advance moves to the bucket of the present time and returns the index of the current one.
func (w *SharedBudget) advance() int {
	now := w.now()
	if !w.fewerFrom.IsZero() && !now.Before(w.fewerFrom) {
		w.entries, w.fewerFrom = w.fewer, time.Time{}
	}
	current := bucketAt(now, w.span)
	w.earlier.advance(current)
	return w.own.advance(current)
}
