package membudget

import "time"

// Holder is the memory that is buffered for one request. Its methods may be called concurrently, and
// after Close, when they change nothing. A nil Holder has no budget: it always grows and is never
// evicted.
type Holder struct {
	budget *Budget
	// evict ends the request. It is called with the mutex of the budget held, so that it is never
	// called after Close has returned.
	evict func()

	// The following fields are guarded by budget.mu.

	size int64
	// awaiting is set while the memory is held because its receiver has to read. lastRead is when the
	// receiver read last, or when the wait began.
	awaiting bool
	lastRead time.Time
	closed   bool
	evicted  bool
}

// NewHolder returns a Holder without memory. evict is called at most once, when the holder is evicted;
// it must neither block nor call the budget.
func (b *Budget) NewHolder(evict func()) *Holder {
	return &Holder{budget: b, evict: evict}
}

// Grow takes n bytes for the holder. It returns false and takes nothing if they do not fit, or if the
// holder is closed or was evicted.
func (h *Holder) Grow(n int64) bool {
	if h == nil {
		return true
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.grow(n)
}

// GrowOrEvict is Grow, except that it evicts others whose receivers have not read for at least the given
// time, the largest first, until the bytes fit. It evicts none if the bytes do not fit even without all
// of these. It also returns the number of holders that it evicted.
func (h *Holder) GrowOrEvict(n int64, now time.Time, unread time.Duration) (ok bool, evicted int) {
	if h == nil {
		return true, 0
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.grow(n) {
		return true, 0
	}
	if h.closed || h.evicted || n > h.usableLimit(n)-(h.budget.used-h.budget.evictable(h, now, unread)) {
		return false, 0
	}
	for !h.grow(n) {
		h.budget.evictLargest(h, now, unread)
		evicted++
	}
	return true, evicted
}

// usableLimit returns the number of bytes that may be in use after the holder has grown by n bytes.
func (h *Holder) usableLimit(n int64) int64 {
	if h.size+n > SmallHolder {
		return h.budget.limit - h.budget.limit/smallPart
	}
	return h.budget.limit
}

// grow implements Grow. h.budget.mu must be held.
func (h *Holder) grow(n int64) bool {
	if h.closed || h.evicted || !h.budget.reserve(n, h.usableLimit(n)) {
		return false
	}
	h.size += n
	h.budget.holders[h] = true
	return true
}

// Shrink returns n bytes of the holder, or all that it has if that is less.
func (h *Holder) Shrink(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	n = min(n, h.size)
	h.size -= n
	h.budget.used -= n
}

// Await records that the memory is now held because its receiver has to read. From then on the
// receiver counts as not reading until NoteRead is called, and the holder may be evicted.
func (h *Holder) Await(now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.closed || h.evicted {
		return
	}
	h.awaiting, h.lastRead = true, now
	h.budget.holders[h] = true
}

// NoteRead records that the receiver has read.
func (h *Holder) NoteRead(now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.lastRead = now
}

// EndAwait records that the receiver has read everything.
func (h *Holder) EndAwait() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.awaiting = false
}

// Evicted reports whether the holder was evicted.
func (h *Holder) Evicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.evicted
}

// Close returns the memory of the holder. The holder is not evicted after that.
func (h *Holder) Close() {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.closed = true
	h.drop()
}

// isUnread reports whether the receiver has not read for at least the given time. h.budget.mu must be
// held.
func (h *Holder) isUnread(now time.Time, unread time.Duration) bool {
	return h.awaiting && now.Sub(h.lastRead) >= unread
}

// evictLocked ends the request of the holder. Its memory counts as free at once: the request ends
// before the process allocates as much again. h.budget.mu must be held.
func (h *Holder) evictLocked() {
	h.evicted = true
	h.drop()
	h.evict()
}

// drop returns the memory of the holder. h.budget.mu must be held.
func (h *Holder) drop() {
	h.budget.used -= h.size
	h.size, h.awaiting = 0, false
	delete(h.budget.holders, h)
}
