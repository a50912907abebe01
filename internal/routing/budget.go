package routing

import "sync"

// Budget is a token bucket that limits retries to a part of the requests, so that failures
// never multiply the load.
type Budget struct {
	ratio float64
	burst float64

	mu     sync.Mutex
	tokens float64
}

// NewBudget returns a full budget that gains ratio retries for each request and holds at most
// burst of them.
func NewBudget(ratio, burst float64) *Budget {
	return &Budget{ratio: ratio, burst: burst, tokens: burst}
}

// Request records a first attempt, which adds to the budget.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.burst, b.tokens+b.ratio)
}

// Retry takes one retry from the budget; it returns false if the budget is used up.
func (b *Budget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
