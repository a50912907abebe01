// Package membudget limits the memory that a process uses for what it buffers on behalf of others.
// Under load, the sum of many small buffers ends a process: 100 callers that do not read answers of
// 8 MB hold 800 MB on a VM with 112 MB. The package only counts; it neither allocates memory nor
// reads a clock.
//
// A Holder is what one request has buffered. A quarter of the limit is set aside for holders of up to
// SmallHolder bytes, so that a few large ones do not keep all other requests from being served. When
// nothing is left, the largest holder is evicted whose receiver has not read for some time: it needs
// the memory longest, and its receiver gets nothing from keeping it.
package membudget

import (
	"sync"
	"time"
)

const (
	// SmallHolder is the size in bytes up to which a holder may use the part of the limit that is set
	// aside for small ones. Most requests and answers are smaller.
	SmallHolder = 64 << 10
	// smallPart is the divisor of the part of the limit that is set aside for small holders.
	smallPart = 4
	// availablePart is the divisor of the part of the limit below which a budget that was exhausted
	// counts as available again. It is well below the point at which large holders are refused, so
	// that a budget that is in use all the time does not change its state with every request.
	availablePart = 2
)

// Budget is an amount of memory that holders share. Its methods may be called concurrently.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
	// holders are those that are not closed and have grown.
	holders map[*Holder]bool
	// refused is set if a reservation did not fit since the latest call of Update. exhausted is the
	// state that Update returned last.
	refused   bool
	exhausted bool
}

// New returns a Budget of a number of bytes.
func New(limit int64) *Budget {
	return &Budget{limit: limit, holders: map[*Holder]bool{}}
}

// Reserve takes n bytes, regardless of the part that is set aside for small holders. It returns false
// and takes nothing if they do not fit.
func (b *Budget) Reserve(n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserve(n, b.limit)
}

// Release returns n bytes that were reserved.
func (b *Budget) Release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Used returns the number of bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Limit returns the number of bytes that can be in use.
func (b *Budget) Limit() int64 { return b.limit }

// reserve takes n bytes if no more than limit bytes are in use then. b.mu must be held.
func (b *Budget) reserve(n, limit int64) bool {
	if n > limit-b.used {
		b.refused = true
		return false
	}
	b.used += n
	return true
}

// Update returns whether the budget is exhausted, and whether that has changed since the latest call:
// it is exhausted once a reservation did not fit, until less than half of the limit is in use and
// nothing was refused between two calls.
func (b *Budget) Update() (exhausted, changed bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	before, refused := b.exhausted, b.refused
	b.refused = false
	switch {
	case refused:
		b.exhausted = true
	case b.used < b.limit/availablePart:
		b.exhausted = false
	}
	return b.exhausted, b.exhausted != before
}

// EvictUnread evicts all holders whose receiver has not read for at least the given time, and returns
// their number.
func (b *Budget) EvictUnread(now time.Time, unread time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for h := range b.holders {
		if h.isUnread(now, unread) {
			h.evictLocked()
			n++
		}
	}
	return n
}

// evictable returns the number of bytes of all holders except one whose receivers have not read for at
// least the given time. b.mu must be held.
func (b *Budget) evictable(except *Holder, now time.Time, unread time.Duration) int64 {
	var n int64
	for h := range b.holders {
		if h != except && h.isUnread(now, unread) {
			n += h.size
		}
	}
	return n
}

// evictLargest evicts the largest of the holders that evictable counts. b.mu must be held.
func (b *Budget) evictLargest(except *Holder, now time.Time, unread time.Duration) {
	var largest *Holder
	for h := range b.holders {
		if h != except && h.isUnread(now, unread) && (largest == nil || h.size > largest.size) {
			largest = h
		}
	}
	largest.evictLocked()
}
