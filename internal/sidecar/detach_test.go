package sidecar

import (
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"
)

// A caller disconnects and the grace period begins; it resumes, disconnects again, and a second
// period begins. The end of the first period then finds a stream without a receiver, but must not
// cut it while the second period runs.
func TestEndOfAnEarlierGracePeriodDoesNotEndTheStream(t *testing.T) {
	b := newEngineFixture(t, 3, true)
	var ends []func()
	b.server.after = func(_ time.Duration, f func()) { ends = append(ends, f) }
	g := newGeneration("u~i~1", "r", "a", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
	for sub := range int64(2) {
		d := &delivery{sub: sub}
		if !g.attach(d, 0) {
			t.Fatalf("receiver %d cannot attach", sub)
		}
		b.server.detach(subscription{g: g, d: d})
	}
	ends[0]()
	if end, _ := g.ended(); end != nil {
		t.Errorf("the stream ended with %q during the second grace period", end.Reason)
	}
	ends[1]()
	if end, _ := g.ended(); end == nil || end.Reason != reasonDetached {
		t.Errorf("the stream's end is %+v, want one for %q", end, reasonDetached)
	}
}

// One entry cancels a stream whose caller disconnected, while the caller resumes it through another
// entry. If the cancel detached and ended the stream in two steps, a resume between them would get
// a stream that is cut right after. Whichever comes first counts: a stream that had no end when it
// was resumed must not get one from the cancel.
func TestResumeRacingACancelIsNotCut(t *testing.T) {
	const rounds = 5000
	b := newEngineFixture(t, 0, true)
	b.server.Open(b.conn)
	raw, err := json.Marshal(cancelNote{Sub: 1})
	if err != nil {
		t.Fatal(err)
	}
	for range rounds {
		g := newGeneration("u~i~1", "r", "a", bufferLimits{unacked: 1 << 20, retained: 1 << 17})
		d := &delivery{sub: 1}
		subscribe(b.conn, g, d, 0)
		var cancelled sync.WaitGroup
		cancelled.Go(func() { _, _ = b.server.cancel(t.Context(), b.conn, raw) })
		for receiverOf(g) == d {
			// Wait until the cancel has detached the stream.
		}
		g.attach(&delivery{sub: 2}, 0)
		before, _ := g.ended()
		cancelled.Wait()
		if after, _ := g.ended(); before == nil && after != nil {
			t.Fatalf("a resumed stream was cut: %s", after.Reason)
		}
	}
}

// A resume is handled late, when its connection has ended and the entry has resumed the stream over
// another one. If the lost connection became the receiver, the live one would get no more of the
// stream and no end.
func TestResumeFromALostConnectionTakesNoStream(t *testing.T) {
	b := newEngineFixture(t, 0, true)
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
	if receiverOf(g) != live {
		t.Error("the live connection is no longer the receiver")
	}
}

func receiverOf(g *generation) *delivery {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.receiver
}
