package gateway

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
)

// TestCachedTokensOfPrefixes covers how much of a prompt an engine is expected to have cached.
func TestCachedTokensOfPrefixes(t *testing.T) {
	parts := []protocol.PromptPart{{ID: "a", Tokens: 100}, {ID: "b", Tokens: 200}}
	start := time.Now()
	for _, tc := range []struct {
		name   string
		sent   []protocol.PromptPart
		engine string
		after  time.Duration
		want   int
	}{
		{"sent recently", parts, "e", time.Second, 300},
		{"only the first part was sent", parts[:1], "e", time.Second, 100},
		{"only the second part was sent", parts[1:], "e", time.Second, 0},
		{"sent to another engine", parts, "f", time.Second, 0},
		{"sent long ago", parts, "e", time.Minute, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := newPrefixes()
			p.note(tc.engine, tc.sent, start)
			if got := p.cachedTokens("e", parts, start.Add(tc.after)); got != tc.want {
				t.Errorf("%d tokens kept, want %d", got, tc.want)
			}
		})
	}
}

// Callers that invent prompt parts must not make this entry's memory grow without bound, and
// engines that no longer exist must be dropped.
func TestPrefixesAreBounded(t *testing.T) {
	p := newPrefixes()
	for i := range 10 * maxPrefixes {
		p.note("e", []protocol.PromptPart{{ID: strconv.Itoa(i), Tokens: 1}}, time.Now())
	}
	if n := len(p.lastSent["e"]); n > maxPrefixes {
		t.Errorf("%d parts recorded, want at most %d", n, maxPrefixes)
	}
	p.sweep(func(string) bool { return true }, time.Now().Add(2*prefixTTL))
	if len(p.lastSent) != 0 {
		t.Error("parts are recorded for longer than engines are expected to cache them")
	}
	p.note("e", []protocol.PromptPart{{ID: "a", Tokens: 1}}, time.Now())
	p.sweep(func(string) bool { return false }, time.Now())
	if len(p.lastSent) != 0 {
		t.Error("an engine that no longer exists is still recorded")
	}
}

// Generations that share a long part of their prompt go to the engine that has cached that part,
// unless its load is much higher than that of others.
func TestSharedPromptGoesToEngineThatCachedIt(t *testing.T) {
	f := newFixture(t)
	engines := []*engine{f.addEngine("a"), f.addEngine("b"), f.addEngine("c")}
	decode := f.gateway.proto.Decode
	f.gateway.proto.Decode = func(r *http.Request, now time.Time) protocol.Call {
		c := decode(r, now)
		c.Prompt, c.Shared = 3000, []protocol.PromptPart{{ID: "p", Tokens: 2000}}
		return c
	}
	for range 6 {
		if got := f.ask(pathStream); got.status != http.StatusOK {
			t.Fatalf("status %d, want 200", got.status)
		}
	}
	most := 0
	for _, e := range engines {
		most = max(most, e.runs())
	}
	if most != 6 {
		t.Errorf("%d of 6 requests at one engine, want all at the engine that cached the part", most)
	}
}
