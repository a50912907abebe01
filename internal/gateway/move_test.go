package gateway

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
)

// A generation that ends while its memory is being copied leaves a copy behind, which occupies
// memory of its target. Only the answer to the copy command names the copy, so the gateway has
// to wait for that answer to release the copy.
func TestCopyThatOutlastsItsGenerationIsReleased(t *testing.T) {
	f := newFixture(t)
	a, b := f.addEngine("a"), f.addEngine("b")
	for _, e := range []*engine{a, b} {
		e.copies, e.copyWait = []protocol.CopyResult{{Handle: "h1"}}, make(chan struct{})
	}
	result := make(chan answer, 1)
	go func() { result <- f.ask(pathStream) }()
	source, target := a, b
	if f.waitRunning() == "b" {
		source, target = b, a
	}
	time.Sleep(5 * time.Millisecond)
	f.leave(source.id)
	if got := <-result; got.err != nil || got.body != wholeStream() {
		t.Fatalf("%v, %q; want every event once", got.err, got.body)
	}
	// A command that was cancelled with its request would be given up by the link by now.
	time.Sleep(2 * testHeadWithin)
	close(source.copyWait)
	deadline := time.Now().Add(5 * time.Second)
	for target.released() == 0 {
		if time.Now().After(deadline) {
			t.Fatal("the copy is not released at its target")
		}
		time.Sleep(time.Millisecond)
	}
}

// TestMovable covers which generations are worth a copy command.
func TestMovable(t *testing.T) {
	f := newFixture(t)
	for _, tc := range []struct {
		name               string
		maxOutput, events  int
		withoutMoves, want bool
	}{
		{"a long generation that has begun", 1000, 3, false, true},
		{"a generation that has not begun", 1000, 0, false, false},
		{"a short generation", 32, 1, false, false},
		{"a long generation near its maximum output", 1000, 245, false, false},
		{"a generation without a maximum output", 0, 3, false, true},
		{"an engine that does not support moves", 1000, 3, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := &routetable.Service{Name: "llm", Engine: &routetable.Engine{EventTokens: 4, Moves: !tc.withoutMoves}}
			s := &stream{g: f.gateway, events: tc.events, rq: &request{call: protocol.Call{MaxOutput: tc.maxOutput}, service: service}}
			if got := s.movable(); got != tc.want {
				t.Errorf("movable %v, want %v", got, tc.want)
			}
		})
	}
}

// TestUnusedCopyIsReleased guards against a copy that stays in the memory of an engine because the generation may not be
// resumed from it.
func TestUnusedCopyIsReleased(t *testing.T) {
	next := func(s *stream) { _, _ = s.nextAfterBreak(s.rq.caller, nil) }
	for _, tc := range []struct {
		name   string
		forbid func(f *fixture)
		resume func(s *stream)
	}{
		{"no permit", func(f *fixture) { f.gateway.limits.NoteLimit("e", 0.1) }, next},
		{"quarantined", func(f *fixture) { f.suspect(pathStream, 3) }, next},
		{"quarantined while it waited", func(*fixture) {}, func(s *stream) {
			defer func() { _ = recover() }()
			held, _ := s.takeCopy()
			s.refuseAttempt(s.rq.caller, step{at: held.at, from: &held.copy}, quarantine.ErrQuarantined)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			e := f.addEngine("e")
			e.copies = []protocol.CopyResult{{}}
			at, _ := f.fleet.Get("e")
			run, err := f.gateway.quarantine.Enter(t.Context(), usualRequest(pathStream), 0)
			if err != nil {
				t.Fatal(err)
			}
			rq := &request{caller: t.Context(), run: run, route: &routetable.Route{}, service: &routetable.Service{Name: "llm", Engine: &routetable.Engine{EventTokens: 4}}}
			s := &stream{g: f.gateway, rq: rq, headSent: true, copies: []heldCopy{{at: at, copy: protocol.Copy{Handle: "h"}}}}
			tc.forbid(f)
			tc.resume(s)
			s.end()
			for deadline := time.Now().Add(signalTimeout); e.released() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("the copy is not released")
				}
			}
		})
	}
}

// TestCopyIsLostWhileResumptionWaits guards against resuming from a copy whose engine started again while the generation
// waited for its next attempt.
func TestCopyIsLostWhileResumptionWaits(t *testing.T) {
	f := newFixture(t)
	f.addEngine("e")
	at, _ := f.fleet.Get("e")
	f.gateway.limits.NoteLimit("e", 2)
	for f.gateway.limits.Take(t.Context(), "e") == nil {
	}
	rq := &request{caller: t.Context(), run: newQuarantineRun(), start: time.Now(), readAt: time.Now(), route: &routetable.Route{}, service: &routetable.Service{Name: "llm", Engine: &routetable.Engine{EventTokens: 4}}}
	s := &stream{g: f.gateway, rq: rq, headSent: true, copies: []heldCopy{{at: at, copy: protocol.Copy{Handle: "h"}}}}
	time.AfterFunc(100*time.Millisecond, func() { f.restart("e", 200) })
	if st, ok := s.nextAfterBreak(t.Context(), nil); ok {
		t.Errorf("the generation is resumed at %q", st.at.ID)
	}
	if !s.attemptTaken {
		t.Error("the attempt is lost")
	}
}
