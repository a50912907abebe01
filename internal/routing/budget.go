package routing

import "sync"

// Budget bounds retries to a part of the requests, so that failures never
// multiply the load.
type Budget struct {
	part  float64
	limit float64

	mu   sync.Mutex
	have float64
}

// NewBudget allows part retries for each request, and at most limit saved up.
func NewBudget(part, limit float64) *Budget {
	return &Budget{part: part, limit: limit, have: limit}
}

// Request notes a first attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.have = min(b.limit, b.have+b.part)
}

// Retry takes one retry out of the budget; it returns false if there is none.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.have < 1 {
		return false
	}
	b.have--
	return true
}
