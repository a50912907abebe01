package routing

import (
	"sync"
	"time"
)

// windowParts is the number of parts a window is counted in; a part that is
// only partly inside the window counts whole, so the bound holds for any span.
const windowParts = 10

// Window bounds the extra attempts of one entry in a sliding window: a part of
// the requests it had, and its share of an allowance for the whole deployment.
type Window struct {
	ratio float64
	extra float64
	span  time.Duration
	now   func() time.Time

	mu       sync.Mutex
	entries  int
	part     int64
	requests [windowParts + 1]int
	repeats  [windowParts + 1]int
}

// NewWindow allows, in each span, ratio extra attempts for each request and a
// share of extra that is divided by the number of entries.
func NewWindow(ratio, extra float64, span time.Duration, now func() time.Time) *Window {
	return &Window{ratio: ratio, extra: extra, span: span, now: now, entries: 1}
}

// Entries sets the number of entries that share the allowance.
func (w *Window) Entries(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = max(n, 1)
}

// Request notes a request of a caller.
func (w *Window) Request() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance()]++
}

// Repeat takes one extra attempt out of the budget. reserve is the part of the
// budget, 0 to 1, that must stay for more important attempts.
func (w *Window) Repeat(reserve float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance()
	if float64(sum(w.repeats[:])+1) > w.limit()*(1-reserve) {
		return false
	}
	w.repeats[i]++
	return true
}

func (w *Window) limit() float64 {
	return w.ratio*float64(sum(w.requests[:])) + w.extra/float64(w.entries)
}

// advance moves to the part of the present time and empties those passed over.
func (w *Window) advance() int {
	part := int64(w.now().Sub(epoch) / (w.span / windowParts))
	steps := min(part-w.part, windowParts+1)
	for k := int64(1); k <= steps; k++ {
		i := (w.part + k) % (windowParts + 1)
		w.requests[i], w.repeats[i] = 0, 0
	}
	if part > w.part {
		w.part = part
	}
	return int(w.part % (windowParts + 1))
}

// epoch is the steady time from which parts are numbered.
var epoch = time.Now()

func sum(v []int) int {
	n := 0
	for _, x := range v {
		n += x
	}
	return n
}
