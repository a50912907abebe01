package gateway

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
)

const (
	// prefixTTL is how long an engine is expected to cache a prompt part after the part was
	// last sent to it. Engines evict parts when they need memory.
	prefixTTL = 5 * time.Second
	// maxPrefixes bounds the parts that are recorded for one engine, in case callers invent
	// parts. It is about ten times what an engine can read within prefixTTL.
	maxPrefixes = 256
)

// prefixes records which shared prompt parts this entry recently sent to which engine. An
// engine does not read a part again that it has cached, and holds it once for all generations
// that share it.
type prefixes struct {
	mu sync.Mutex
	// lastSent holds, by engine and part ID, when the part was last sent.
	lastSent map[string]map[string]time.Time
}

func newPrefixes() *prefixes { return &prefixes{lastSent: map[string]map[string]time.Time{}} }

// note records that a prompt with shared parts was sent to an engine.
func (p *prefixes) note(engine string, shared []protocol.PromptPart, now time.Time) {
	if len(shared) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	parts, ok := p.lastSent[engine]
	if !ok {
		parts = map[string]time.Time{}
		p.lastSent[engine] = parts
	}
	for _, part := range shared {
		parts[part.ID] = now
	}
	if len(parts) > maxPrefixes {
		dropPrefixes(parts, now)
	}
}

// dropPrefixes drops the parts that the engine is no longer expected to cache, and any
// others while more than maxPrefixes are left.
func dropPrefixes(parts map[string]time.Time, now time.Time) {
	for id, sentAt := range parts {
		if now.Sub(sentAt) > prefixTTL || len(parts) > maxPrefixes {
			delete(parts, id)
		}
	}
}

// cachedTokens returns how many tokens of a prompt's shared parts an engine is expected to have
// cached. A part counts only if all parts before it are cached as well.
func (p *prefixes) cachedTokens(engine string, shared []protocol.PromptPart, now time.Time) int {
	if len(shared) == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	parts, tokens := p.lastSent[engine], 0
	for _, part := range shared {
		sentAt, ok := parts[part.ID]
		if !ok || now.Sub(sentAt) > prefixTTL {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// sweep drops the engines that are no longer known, and the parts that are no longer expected
// to be cached.
func (p *prefixes) sweep(known func(engine string) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, parts := range p.lastSent {
		dropPrefixes(parts, now)
		if len(parts) == 0 || !known(id) {
			delete(p.lastSent, id)
		}
	}
}
