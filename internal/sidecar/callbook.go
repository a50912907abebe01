package sidecar

import (
	"net/http"
	"sync"
	"time"
)

// Outcome is what is known about whether a call that may not be repeated has run.
type Outcome string

// The outcomes. NotRun is final: a call that was reported as NotRun never runs later.
const (
	NotRun  Outcome = "not-run"
	Done    Outcome = "done"
	Unknown Outcome = "unknown"
)

// answer is the upstream's HTTP response to a call.
type answer struct {
	status int
	header http.Header
	body   []byte
}

type callState int

const (
	callStarted callState = iota + 1
	callDone
	callLost
	callTombstone
)

// call is the record of one call.
type call struct {
	state     callState
	answer    *answer
	expiresAt time.Time
	// finished is closed when a started call is done, lost or known not to have run.
	finished chan struct{}
}

// disposition says what to do with a call that arrives.
type disposition int

const (
	dispositionRun disposition = iota + 1
	dispositionWait
	dispositionDone
	dispositionNotRun
	dispositionUnknown
)

// callRegistry records which calls this incarnation has started, finished or barred with a
// tombstone. A record is kept at least for the window in which its identifier is accepted, so that
// a repeated call is always recognized.
type callRegistry struct {
	now    func() time.Time
	window time.Duration

	mu    sync.Mutex
	calls map[string]*call
	// keptBytes is the total size of the kept answers, at most maxKeptBytes.
	keptBytes    int
	maxKeptBytes int
	lastSweep    time.Time
}

func newCallRegistry(window time.Duration, maxKeptBytes int, now func() time.Time) *callRegistry {
	return &callRegistry{now: now, window: window, calls: map[string]*call{},
		maxKeptBytes: maxKeptBytes, lastSweep: now()}
}

// begin records id as started unless it has a record. The check and the record are one step under
// the lock, so only one of two copies of a call gets dispositionRun.
func (r *callRegistry) begin(id string) (disposition, *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	c, ok := r.calls[id]
	if !ok {
		c = &call{state: callStarted, expiresAt: r.now().Add(r.window), finished: make(chan struct{})}
		r.calls[id] = c
		return dispositionRun, c
	}
	return c.disposition(), c
}

func (c *call) disposition() disposition {
	switch c.state {
	case callStarted:
		return dispositionWait
	case callDone:
		return dispositionDone
	case callTombstone:
		return dispositionNotRun
	default:
		return dispositionUnknown
	}
}

// addTombstone keeps id from ever running here if it has no record, and returns its record.
func (r *callRegistry) addTombstone(id string) (disposition, *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep()
	c, ok := r.calls[id]
	if !ok {
		c = &call{state: callTombstone, expiresAt: r.now().Add(r.window)}
		r.calls[id] = c
	}
	return c.disposition(), c
}

// markNotRun turns a started call of which no byte was sent into a tombstone.
func (r *callRegistry) markNotRun(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state = callTombstone
	close(c.finished)
}

// markDone records that the call is done, and keeps the upstream's answer if there is room for it.
func (r *callRegistry) markDone(c *call, a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state = callDone
	if size := len(a.body); r.keptBytes+size <= r.maxKeptBytes {
		r.keptBytes += size
		c.answer = a
	}
	close(c.finished)
}

// markLost records that the upstream's answer was lost, so that the call may have run.
func (r *callRegistry) markLost(c *call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c.state = callLost
	close(c.finished)
}

// keptAnswer returns the answer, or nil if there was no room to keep it.
func (r *callRegistry) keptAnswer(c *call) *answer {
	r.mu.Lock()
	defer r.mu.Unlock()
	return c.answer
}

const sweepPeriod = time.Minute

// sweep deletes expired records, at most once per sweepPeriod. Calls in flight keep their record.
func (r *callRegistry) sweep() {
	now := r.now()
	if now.Sub(r.lastSweep) < sweepPeriod {
		return
	}
	r.lastSweep = now
	for id, c := range r.calls {
		if now.After(c.expiresAt) && c.state != callStarted {
			if c.answer != nil {
				r.keptBytes -= len(c.answer.body)
			}
			delete(r.calls, id)
		}
	}
}
