package sidecar

import (
	"net/http"
	"sync"
	"time"
)

// Outcome is what is known of a call that may not be repeated.
type Outcome string

// The outcomes. NotRun is final: the call can never run after it was said.
const (
	NotRun  Outcome = "not-run"
	Done    Outcome = "done"
	Unknown Outcome = "unknown"
)

// answer is what the upstream said to a call.
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

// call is one entry of the book.
type call struct {
	state  callState
	kept   *answer
	forget time.Time
	// over is closed when a started call is done or lost.
	over chan struct{}
}

// verdict says what may be done with a call that arrives.
type verdict int

const (
	verdictRun verdict = iota + 1
	verdictWait
	verdictDone
	verdictNotRun
	verdictUnknown
)

// callBook is the record of one incarnation: which calls it started, finished
// or barred. Nothing leaves it before the window in which an identifier is
// accepted has passed.
type callBook struct {
	now    func() time.Time
	window time.Duration

	mu    sync.Mutex
	calls map[string]*call
	// kept is the number of bytes of answers held, at most keptLimit.
	kept      int
	keptLimit int
	swept     time.Time
}

func newCallBook(window time.Duration, keptLimit int, now func() time.Time) *callBook {
	return &callBook{now: now, window: window, calls: map[string]*call{}, keptLimit: keptLimit, swept: now()}
}

// begin records id as started, unless it is known already. Recording and
// judging are one step, so two copies can never both get verdictRun.
func (b *callBook) begin(id string) (verdict, *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep()
	c, ok := b.calls[id]
	if !ok {
		c = &call{state: callStarted, forget: b.now().Add(b.window), over: make(chan struct{})}
		b.calls[id] = c
		return verdictRun, c
	}
	return c.verdict(), c
}

func (c *call) verdict() verdict {
	switch c.state {
	case callStarted:
		return verdictWait
	case callDone:
		return verdictDone
	case callTombstone:
		return verdictNotRun
	default:
		return verdictUnknown
	}
}

// bar makes sure that id never runs here if it has not started, and returns
// what is known of it.
func (b *callBook) bar(id string) (verdict, *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep()
	c, ok := b.calls[id]
	if !ok {
		c = &call{state: callTombstone, forget: b.now().Add(b.window)}
		b.calls[id] = c
	}
	return c.verdict(), c
}

// withdraw turns a started call of which no byte was sent into a tombstone.
func (b *callBook) withdraw(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.state = callTombstone
	close(c.over)
}

// finish keeps the upstream's answer.
func (b *callBook) finish(c *call, a *answer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.state = callDone
	if size := len(a.body); b.kept+size <= b.keptLimit {
		b.kept += size
		c.kept = a
	}
	close(c.over)
}

// lose notes that the upstream's answer never came: the call may have run.
func (b *callBook) lose(c *call) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c.state = callLost
	close(c.over)
}

// answerOf returns the kept answer, or nil if it was too large to keep.
func (b *callBook) answerOf(c *call) *answer {
	b.mu.Lock()
	defer b.mu.Unlock()
	return c.kept
}

const sweepPeriod = time.Minute

func (b *callBook) sweep() {
	now := b.now()
	if now.Sub(b.swept) < sweepPeriod {
		return
	}
	b.swept = now
	for id, c := range b.calls {
		if now.After(c.forget) && c.state != callStarted {
			if c.kept != nil {
				b.kept -= len(c.kept.body)
			}
			delete(b.calls, id)
		}
	}
}
