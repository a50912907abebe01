package gateway

import (
	"sync"
	"time"
)

const (
	// pacePrior is the assumed time between two events until streams have been measured. It
	// follows from the engines' stated step time of about 8 ms per token and four tokens per
	// event.
	pacePrior = 35 * time.Millisecond
	// paceWeight is the weight of a new sample in the moving averages.
	paceWeight = 0.1
	// paceMargin covers streams that are slower than the mean: while an engine reads other
	// prompts, the events of a stream are on average up to a fifth further apart.
	paceMargin = 1.25
)

// pace estimates the time between two events of a stream.
type pace struct {
	mu    sync.Mutex
	event time.Duration
}

// note adds a complete stream to the average: the time to its first event, its total time
// and the number of its events.
func (p *pace) note(first, total time.Duration, events int) {
	if events < 2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prior()
	p.event += time.Duration(paceWeight * float64((total-first)/time.Duration(events-1)-p.event))
}

// rest returns the expected time from the first event to the end of a stream with a number
// of tokens, including paceMargin.
func (p *pace) rest(tokens, eventTokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prior()
	return time.Duration(paceMargin * float64(tokens) / float64(max(eventTokens, 1)) * float64(p.event))
}

// readPrior is the assumed time to read one prompt token until generations have been
// measured. It follows from the engines' stated 14 tokens per millisecond, plus as much time
// for the generation steps in between.
const readPrior = 140 * time.Microsecond

// reading estimates the time that an engine takes to read one prompt token, from the times
// to the first events of generations and the tokens that had to be read before.
type reading struct {
	mu    sync.Mutex
	token time.Duration
}

// note adds the time to a first event and the number of tokens read before it to the average.
func (r *reading) note(first time.Duration, tokens int) {
	if tokens < readLeast {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.token = r.known() + time.Duration(paceWeight*float64(first/time.Duration(tokens)-r.known()))
}

// readLeast is the number of tokens below which the time to a first event depends more on
// the network than on reading.
const readLeast = 256

// expected returns the expected time to read a number of tokens.
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
