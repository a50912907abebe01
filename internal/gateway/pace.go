package gateway

import (
	"sync"
	"time"
)

const (
	// pacePrior is the time between two events until streams have shown it, from the
	// engines' stated step time of about 8 ms a token with four tokens in an event.
	pacePrior = 35 * time.Millisecond
	// paceWeight is the weight of a new stream beside those before it.
	paceWeight = 0.1
	// paceMargin covers streams that are slower than the mean: events of one stream
	// are up to a fifth further apart on average where prompts are read beside it.
	paceMargin = 1.25
)

// pace learns how far apart the events of streams are.
type pace struct {
	mu    sync.Mutex
	event time.Duration
}

// note takes over a whole stream: the time to its first event, to its end, and the
// number of its events.
func (p *pace) note(first, total time.Duration, events int) {
	if events < 2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prior()
	p.event += time.Duration(paceWeight * float64((total-first)/time.Duration(events-1)-p.event))
}

// rest is the time that a stream of a number of tokens takes from its first event
// to its end, with a margin.
func (p *pace) rest(tokens, eventTokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prior()
	return time.Duration(paceMargin * float64(tokens) / float64(max(eventTokens, 1)) * float64(p.event))
}

// readPrior is the time to read a prompt token until generations have shown it, from
// the engines' stated 14 tokens in a millisecond and as much for the steps between.
const readPrior = 140 * time.Microsecond

// reading learns how long an engine takes to the first event of a generation, by
// the prompt tokens that it had to read until then.
type reading struct {
	mu    sync.Mutex
	token time.Duration
}

// note takes over the time to a first event after which a number of tokens was read.
func (r *reading) note(first time.Duration, tokens int) {
	if tokens < readLeast {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token = r.known() + time.Duration(paceWeight*float64(first/time.Duration(tokens)-r.known()))
}

// readLeast is the number of tokens under which a first event tells more of the
// way to the engine than of reading.
const readLeast = 256

// expected is the time that reading a number of tokens takes.
func (r *reading) expected(tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(tokens) * r.known()
}

func (r *reading) known() time.Duration {
	if r.token == 0 {
		return readPrior
	}
	return r.token
}

func (p *pace) prior() {
	if p.event == 0 {
		p.event = pacePrior
	}
}
