package sidecar

import (
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"
)

// A caller's link breaks, and the time begins in which it may come back. It comes
// back, its link breaks again, and a second time begins. The end of the first time
// found a stream without a caller and ended it, although the second had just begun.
func TestEndOfAnEarlierGraceLeavesTheStream(t *testing.T) {
	b := newEngineBench(t, 3, true)
	var ends []func()
	b.server.after = func(_ time.Duration, f func()) { ends = append(ends, f) }
	g := newGeneration("u~i~1", "r", "a", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
	for sub := range int64(2) {
		d := &delivery{sub: sub}
		if !g.attach(d, 0) {
			t.Fatalf("receiver %d cannot attach", sub)
		}
		b.server.detach(heldStream{g: g, d: d})
	}
	ends[0]()
	if end, _ := g.ended(); end != nil {
		t.Errorf("the stream ended with %q in the time in which its caller may come back", end.Reason)
	}
	ends[1]()
	if end, _ := g.ended(); end == nil || end.Reason != reasonDetached {
		t.Errorf("the stream's end is %+v, want one for %q", end, reasonDetached)
	}
}

// One entry cancels a stream whose caller went away while the caller comes back
// through another entry. The cancel let go of the stream and ended it in two steps;
// a resume that came between them got a stream, and that was cut. What counts is
// who comes first: a resumed stream that had no end must not get one.
func TestResumeBesideACancelIsKept(t *testing.T) {
	const rounds = 5000
	b := newEngineBench(t, 0, true)
	b.server.Open(b.conn)
	raw, err := json.Marshal(cancelNote{Sub: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range rounds {
		g := newGeneration("u~i~1", "r", "a", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
		d := &delivery{sub: 1}
		hold(b.conn, g, d, 0)
		var cancelled sync.WaitGroup
		cancelled.Go(func() { _, _ = b.server.cancel(t.Context(), b.conn, raw) })
		for holderOf(g) == d {
			// The cancel has not let go of the stream yet.
		}
		g.attach(&delivery{sub: 2}, 0)
		before, _ := g.ended()
		cancelled.Wait()
		if after, _ := g.ended(); before == nil && after != nil {
			t.Fatalf("a resumed stream was cut: %s", after.Reason)
		}
	}
}

// An entry's question for a stream is handled late, when the connection that it came over
// has ended and the entry has asked again over another. The question took the stream away
// from the live connection: no more of it came, and no end.
func TestQuestionOfALostConnectionTakesNoStream(t *testing.T) {
	b := newEngineBench(t, 0, true)
	g := newGeneration("u~i~1", "r", "", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
	b.server.generations[g.id] = g
	live := &delivery{sub: 2}
	g.attach(live, 0)
	lost := closedConn(t)
	b.server.Open(lost)
	b.server.connLost(lost)
	raw, err := json.Marshal(resumeParams{Sub: 1, Generation: g.id})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := b.server.resume(t.Context(), lost, raw); !errors.Is(err, ErrNoGeneration) {
		t.Errorf("answer to the lost connection: %v, want %v", err, ErrNoGeneration)
	}
	if holderOf(g) != live {
		t.Error("the stream was taken away from the live connection")
	}
}

func holderOf(g *generation) *delivery {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holder
}
