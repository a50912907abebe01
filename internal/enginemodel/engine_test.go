package enginemodel

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// TestMemoryBoundsAndTokenOrderUnderRandomLoad guards against leaked KV blocks and against repeated, lost or
// reordered tokens. Random submissions, pauses and resumptions reach a small engine, so that it preempts
// often. Memory in use has to stay within bounds and be zero at the end.
func TestMemoryBoundsAndTokenOrderUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := DefaultSettings()
		s.Blocks = rapid.IntRange(8, 60).Draw(t, "blocks")
		s.MaxBatch = rapid.IntRange(1, 8).Draw(t, "batch")
		e := New(s)
		next, got, want, paused := 0, map[string]int{}, map[string]int{}, []string{}
		for range rapid.IntRange(10, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "act") {
			case 0:
				id := fmt.Sprint(next)
				next++
				out := rapid.IntRange(1, 60).Draw(t, "out")
				if err := e.Submit(Job{ID: id, Prompt: rapid.IntRange(1, 40).Draw(t, "prompt"), Output: out}); err != nil {
					t.Fatal(err)
				}
				want[id] = out
			case 1:
				if next > 0 {
					id := fmt.Sprint(rapid.IntRange(0, next-1).Draw(t, "pause"))
					if got[id] < want[id] && e.paused[id] == nil && e.Pause(id) == nil {
						paused = append(paused, id)
					}
				}
			case 2:
				if len(paused) > 0 {
					if err := e.Resume(paused[0]); err != nil {
						t.Fatal(err)
					}
					paused = paused[1:]
				}
			default:
				stepAndCheckTokens(t, e, got)
			}
			if e.UsedBlocks() < 0 || (e.UsedBlocks() > s.Blocks && e.BatchSize() > 1) {
				t.Fatalf("used %d of %d blocks", e.UsedBlocks(), s.Blocks)
			}
		}
		for _, id := range paused {
			if err := e.Resume(id); err != nil {
				t.Fatal(err)
			}
		}
		for i := 0; !e.Idle() && i < 100_000; i++ {
			stepAndCheckTokens(t, e, got)
		}
		for id, n := range want {
			if got[id] != n {
				t.Fatalf("stream %s has %d of %d tokens", id, got[id], n)
			}
		}
		if e.UsedBlocks() != 0 {
			t.Fatalf("%d blocks still in use after all streams ended", e.UsedBlocks())
		}
	})
}

func stepAndCheckTokens(t *rapid.T, e *Engine, got map[string]int) {
	_, tokens := e.Step()
	for _, k := range tokens {
		got[k.ID()]++
		if k.Position() != got[k.ID()] {
			t.Fatalf("stream %s: token at position %d has number %d", k.ID(), got[k.ID()], k.Position())
		}
	}
}

// TestCacheEventsCoverCachedBlocks guards against a cached block without an event. Two prompts share
// their first blocks, so the second prompt may add an event only for the block that is new.
func TestCacheEventsCoverCachedBlocks(t *testing.T) {
	e := New(DefaultSettings())
	if err := e.Submit(Job{ID: "a", Prompt: 64, Output: 2, Prefix: []uint64{1, 2, 3, 4}}); err != nil {
		t.Fatal(err)
	}
	e.Step()
	if err := e.Submit(Job{ID: "b", Prompt: 64, Output: 1, Prefix: []uint64{1, 2, 9}}); err != nil {
		t.Fatal(err)
	}
	e.Step()
	held := map[uint64]bool{}
	for _, c := range e.CacheEvents() {
		held[c.Hash()] = c.Stored()
	}
	hashes, last := e.CachedHashes()
	if len(hashes) != 5 || last != 5 {
		t.Errorf("hashes %v, last event %d, want 5 and 5", hashes, last)
	}
	for _, h := range hashes {
		if !held[h] {
			t.Errorf("block %d is cached but no event reported it", h)
		}
	}
}
