package gateway

import (
	"sync"
	"time"
)

const (
	// initialEventInterval is the assumed time between two events until streams have been measured.
	// It follows from the engines' stated step time of about 8 ms per token and four tokens per
	// event.
	initialEventInterval = 35 * time.Millisecond
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.1
	// remainingMargin covers streams that are slower than the mean: while an engine reads other
	// prompts, the events of a stream are on average up to a fifth further apart.
	remainingMargin = 1.25
)

// eventInterval estimates the time between two events of a stream.
type eventInterval struct {
	mu   sync.Mutex
	mean time.Duration
}

// note adds a complete stream to the average: the time to its first event, its total time
// and the number of its events.
func (e *eventInterval) note(first, total time.Duration, events int) {
	if events < 2 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setInitial()
	e.mean += time.Duration(sampleWeight * float64((total-first)/time.Duration(events-1)-e.mean))
}

// expected returns the mean time between two events.
func (e *eventInterval) expected() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setInitial()
	return e.mean
}

// remaining returns the expected time from the first event to the end of a stream with a number
// of tokens, including remainingMargin.
func (e *eventInterval) remaining(tokens, eventTokens int) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setInitial()
	return time.Duration(remainingMargin * float64(tokens) / float64(max(eventTokens, 1)) * float64(e.mean))
}

// initialReadTime is the assumed time to read one prompt token until generations have been
// measured. It follows from the engines' stated 14 tokens per millisecond, plus as much time
// for the generation steps in between.
const initialReadTime = 140 * time.Microsecond

// readTime estimates the time that an engine takes to read one prompt token, from the times
// to the first events of generations and the tokens that had to be read before.
type readTime struct {
	mu       sync.Mutex
	perToken time.Duration
}

// note adds the time to a first event and the number of tokens read before it to the average.
func (r *readTime) note(first time.Duration, tokens int) {
	if tokens < minReadSample {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.perToken = r.current() + time.Duration(sampleWeight*float64(first/time.Duration(tokens)-r.current()))
}

// minReadSample is the number of tokens below which the time to a first event depends more on
// the network than on reading.
const minReadSample = 256

// expected returns the expected time to read a number of tokens.
func (r *readTime) expected(tokens int) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(tokens) * r.current()
}

func (r *readTime) current() time.Duration {
	if r.perToken == 0 {
		return initialReadTime
	}
	return r.perToken
}

func (e *eventInterval) setInitial() {
	if e.mean == 0 {
		e.mean = initialEventInterval
	}
}
