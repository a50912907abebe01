package gateway

import (
	"sync"
	"time"
)

// The prior of pace, from the engines' stated step time of about 8 ms a token
// with four tokens in an event, and the weight of a new stream beside it.
const (
	pacePriorEvent = 35 * time.Millisecond
	pacePriorFirst = 500 * time.Millisecond
	paceWeight     = 0.1
)

// pace learns how long streams take to begin and how far apart their events are.
type pace struct {
	mu    sync.Mutex
	event time.Duration
	first time.Duration
}

// note takes over a whole stream.
func (p *pace) note(first, total time.Duration, events int) {
	if events < 2 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prior()
	p.event += time.Duration(paceWeight * float64((total-first)/time.Duration(events-1)-p.event))
	p.first += time.Duration(paceWeight * float64(first-p.first))
}

// expected is the time that a stream of a number of tokens takes.
func (p *pace) expected(tokens, eventTokens int) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prior()
	return p.first + time.Duration(tokens/eventTokens)*p.event
}

func (p *pace) prior() {
	if p.event == 0 {
		p.event, p.first = pacePriorEvent, pacePriorFirst
	}
}
