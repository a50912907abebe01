package gateway

import (
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
)

const (
	// prefixKept is how long after a prompt part was last sent to an engine it is
	// expected to be kept there: parts give way to others when memory is needed.
	prefixKept = 5 * time.Second
	// mostPrefixes bounds the parts that are remembered of one engine, in case callers
	// make them up: some ten times what an engine can read in that time.
	mostPrefixes = 256
)

// prefixes remembers which shared parts of prompts this entry lately sent to which
// engine. An engine that keeps a part does not read it again, and holds it once for
// all generations that share it.
type prefixes struct {
	mu   sync.Mutex
	used map[string]map[string]time.Time
}

func newPrefixes() *prefixes { return &prefixes{used: map[string]map[string]time.Time{}} }

// note remembers that a prompt with shared parts was sent to an engine.
func (p *prefixes) note(engine string, shared []protocol.PromptPart, now time.Time) {
	if len(shared) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	parts, ok := p.used[engine]
	if !ok {
		parts = map[string]time.Time{}
		p.used[engine] = parts
	}
	for _, s := range shared {
		parts[s.ID] = now
	}
	if len(parts) > mostPrefixes {
		forgetPrefixes(parts, now)
	}
}

// forgetPrefixes drops what is no longer expected to be kept, or any if that does not
// suffice.
func forgetPrefixes(parts map[string]time.Time, now time.Time) {
	for id, at := range parts {
		if now.Sub(at) > prefixKept || len(parts) > mostPrefixes {
			delete(parts, id)
		}
	}
}

// kept returns how many tokens of a prompt's shared parts an engine is expected to
// keep: parts count only if all before them are kept as well.
func (p *prefixes) kept(engine string, shared []protocol.PromptPart, now time.Time) int {
	if len(shared) == 0 {
		return 0
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	parts, tokens := p.used[engine], 0
	for _, s := range shared {
		at, ok := parts[s.ID]
		if !ok || now.Sub(at) > prefixKept {
			break
		}
		tokens += s.Tokens
	}
	return tokens
}

// forget drops the engines that are not known any more, and the parts that are no
// longer expected to be kept.
func (p *prefixes) forget(known func(engine string) bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, parts := range p.used {
		forgetPrefixes(parts, now)
		if len(parts) == 0 || !known(id) {
			delete(p.used, id)
		}
	}
}
