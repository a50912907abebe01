package enginemodel

// CacheEvent reports that a prefix block was stored in the cache or evicted from it.
type CacheEvent struct {
	seq    uint64
	hash   uint64
	stored bool
}

// Seq returns the sequence number of the event. The engine numbers its events without gaps.
func (c CacheEvent) Seq() uint64 { return c.seq }

// Hash returns the chained hash of the block.
func (c CacheEvent) Hash() uint64 { return c.hash }

// Stored reports whether the block was stored (true) or evicted (false).
func (c CacheEvent) Stored() bool { return c.stored }

// prefixCache keeps prompt blocks in the memory that no stream uses. It evicts the block that was stored
// first.
type prefixCache struct {
	insertionOrder []uint64
	cached         map[uint64]struct{}
	events         []CacheEvent
	seq            uint64
}

func newPrefixCache() prefixCache { return prefixCache{cached: map[uint64]struct{}{}} }

func (c *prefixCache) recordEvent(hash uint64, stored bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{seq: c.seq, hash: hash, stored: stored})
}

// cachedBlocks returns the number of leading blocks of a prompt that are cached.
func (c *prefixCache) cachedBlocks(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := c.cached[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

func (c *prefixCache) store(prefix []uint64) {
	for _, h := range prefix {
		if _, ok := c.cached[h]; ok {
			continue
		}
		c.cached[h] = struct{}{}
		c.insertionOrder = append(c.insertionOrder, h)
		c.recordEvent(h, true)
	}
}

func (c *prefixCache) evict(limit int) {
	for len(c.insertionOrder) > max(0, limit) {
		h := c.insertionOrder[0]
		c.insertionOrder = c.insertionOrder[1:]
		delete(c.cached, h)
		c.recordEvent(h, false)
	}
}

// CacheEvents returns the events since the last call and discards them.
func (e *Engine) CacheEvents() []CacheEvent {
	out := e.cache.events
	e.cache.events = nil
	return out
}

// CachedHashes returns the cached blocks, oldest first, and the number of the last event. A reader that
// missed events resynchronizes with it.
func (e *Engine) CachedHashes() ([]uint64, uint64) {
	return append([]uint64(nil), e.cache.insertionOrder...), e.cache.seq
}
