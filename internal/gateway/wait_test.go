package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// waitObjective is the objective of the generations in these tests, a quarter of which they may wait.
const waitObjective = 2 * time.Second

// crowdedStream returns a long generation at a gateway whose engine has room only for urgent brief ones, and a
// function that frees the engine.
func (f *fixture) crowdedStream() (s *stream, free func()) {
	f.fleet.Update([]fleet.Record{{Name: "e", Service: "llm"}}, nil, true, time.Time{})
	engine := &routetable.Engine{Slots: 24, MemoryTokens: 27000, EventTokens: 4}
	request := func(c protocol.Call, priority int) *request {
		now := time.Now()
		return &request{run: newQuarantineRun(), caller: f.t.Context(), call: c, start: now, readAt: now, service: &routetable.Service{Name: "llm", Engine: engine},
			route: &routetable.Route{Kind: routetable.Stream, Objective: waitObjective, Priority: priority}}
	}
	for range 40 {
		f.gateway.recordArrival(request(protocol.Call{Prompt: 2200, MaxOutput: 12, Hint: 8}, 0))
	}
	claim := f.gateway.loads.add("e", gossip.Load{Running: 5, Held: 21000, Tokens: 22500})
	f.t.Cleanup(claim.release)
	return &stream{g: f.gateway, rq: request(protocol.Call{ID: "r", Prompt: 3000, MaxOutput: 1000, Hint: 700}, 1)}, claim.release
}

// TestWaitForRoom guards against refusing a generation that finds room a moment later, and against one that
// waits until its caller cannot be served in time any more.
func TestWaitForRoom(t *testing.T) {
	t.Run("room is freed", func(t *testing.T) {
		f := newFixture(t)
		s, free := f.crowdedStream()
		time.AfterFunc(100*time.Millisecond, free)
		if u, err := s.admitOrWait(t.Context(), f.gateway.generationOf(s.rq, s.rq.start)); err != nil || u.ID != "e" {
			t.Errorf("got %q, %v; want the engine", u.ID, err)
		}
	})
	t.Run("the body came late", func(t *testing.T) {
		f := newFixture(t)
		s, free := f.crowdedStream()
		s.rq.start = s.rq.readAt.Add(-2 * waitObjective)
		time.AfterFunc(100*time.Millisecond, free)
		if u, err := s.admitOrWait(t.Context(), f.gateway.generationOf(s.rq, s.rq.readAt)); err != nil || u.ID != "e" {
			t.Errorf("got %q, %v; want the engine", u.ID, err)
		}
	})
	t.Run("no room", func(t *testing.T) {
		f := newFixture(t)
		s, _ := f.crowdedStream()
		_, err := s.admitOrWait(t.Context(), f.gateway.generationOf(s.rq, s.rq.start))
		waited, most := time.Since(s.rq.start), placement.MaxWait(waitObjective)
		if !errors.Is(err, placement.ErrHeadroom) || waited < most || waited > most+waitObjective/4 {
			t.Errorf("got %v after %v, want ErrHeadroom after %v", err, waited, most)
		}
	})
	t.Run("the caller leaves", func(t *testing.T) {
		f := newFixture(t)
		s, _ := f.crowdedStream()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if _, err := s.admitOrWait(ctx, f.gateway.generationOf(s.rq, s.rq.start)); err == nil || time.Since(s.rq.start) > placement.MaxWait(waitObjective)/2 {
			t.Errorf("got %v after %v, want an error at once", err, time.Since(s.rq.start))
		}
		if f.gateway.line("llm").Ahead(s.rq.rank()) {
			t.Error("the generation still waits")
		}
	})
	t.Run("another one waits", func(t *testing.T) {
		f := newFixture(t)
		s, free := f.crowdedStream()
		free()
		first := f.gateway.line("llm").Join(s.rq.rank(), s.rq.start.Add(-time.Second))
		time.AfterFunc(100*time.Millisecond, func() { f.gateway.line("llm").Leave(first) })
		if _, err := s.admitOrWait(t.Context(), f.gateway.generationOf(s.rq, s.rq.start)); err != nil || time.Since(s.rq.start) < 100*time.Millisecond {
			t.Errorf("%v after %v, want room once the one before has it", err, time.Since(s.rq.start))
		}
	})
}

// TestLateBodyLeavesTimeToWait guards against refusing a request for the time that its body took.
func TestLateBodyLeavesTimeToWait(t *testing.T) {
	f, now := newFixture(t), time.Now()
	rq := &request{start: now.Add(-time.Minute), readAt: now, route: &routetable.Route{Objective: waitObjective}, service: &routetable.Service{Engine: &routetable.Engine{}}}
	if got := f.gateway.generationOf(rq, now).StartBy; got <= waitObjective/2 {
		t.Errorf("the generation has to start within %s, the objective is %s", got, waitObjective)
	}
	if got := rq.permitDeadline(); !got.After(now) {
		t.Errorf("the request waits for a permit until %s before its body arrived", now.Sub(got))
	}
}
