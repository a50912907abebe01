package enginemodel

// CacheEvent tells that a prefix block came into the cache or left it.
type CacheEvent struct {
	seq    uint64
	hash   uint64
	stored bool
}

// Seq returns the event's number; numbers have no gaps where they are made.
func (c CacheEvent) Seq() uint64 { return c.seq }

// Hash returns the chained hash of the block.
func (c CacheEvent) Hash() uint64 { return c.hash }

// Stored reports whether the block came in (true) or left (false).
func (c CacheEvent) Stored() bool { return c.stored }

// prefixCache keeps prompt blocks in the memory that streams leave free, the
// longest kept out first.
type prefixCache struct {
	order  []uint64
	known  map[uint64]struct{}
	events []CacheEvent
	seq    uint64
}

func newPrefixCache() prefixCache { return prefixCache{known: map[uint64]struct{}{}} }

func (c *prefixCache) note(hash uint64, stored bool) {
	c.seq++
	c.events = append(c.events, CacheEvent{seq: c.seq, hash: hash, stored: stored})
}

// hit returns how many leading blocks of a prompt are cached.
func (c *prefixCache) hit(prefix []uint64) int {
	for i, h := range prefix {
		if _, ok := c.known[h]; !ok {
			return i
		}
	}
	return len(prefix)
}

func (c *prefixCache) store(prefix []uint64) {
	for _, h := range prefix {
		if _, ok := c.known[h]; ok {
			continue
		}
		c.known[h] = struct{}{}
		c.order = append(c.order, h)
		c.note(h, true)
	}
}

func (c *prefixCache) evict(limit int) {
	for len(c.order) > max(0, limit) {
		h := c.order[0]
		c.order = c.order[1:]
		delete(c.known, h)
		c.note(h, false)
	}
}

// CacheEvents returns and forgets the events since the last call.
func (e *Engine) CacheEvents() []CacheEvent {
	out := e.cache.events
	e.cache.events = nil
	return out
}

// CachedHashes returns the blocks in the cache, oldest first, and the number
// of the last event, so that a reader that missed some can start again.
func (e *Engine) CachedHashes() ([]uint64, uint64) {
	return append([]uint64(nil), e.cache.order...), e.cache.seq
}
