package gateway

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// A generation that ends while its memory is copied leaves a copy behind, which holds
// memory of its target until the answer to the order names it and it is released.
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
	// For so long the link waits for an answer whatever becomes of the request.
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

// TestMovable covers which generations are worth an order to copy.
func TestMovable(t *testing.T) {
	f := newFixture(t)
	for _, tc := range []struct {
		name               string
		most, events       int
		withoutMoves, want bool
	}{
		{"a long one that has begun", 1000, 3, false, true},
		{"one that has not begun", 1000, 0, false, false},
		{"a brief one", 32, 1, false, false},
		{"a long one near its bound", 1000, 245, false, false},
		{"one without a bound", 0, 3, false, true},
		{"an engine that cannot move it", 1000, 3, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			service := &routetable.Service{Name: "llm", Engine: &routetable.Engine{EventTokens: 4, Moves: !tc.withoutMoves}}
			s := &stream{g: f.gateway, events: tc.events, rq: &request{call: protocol.Call{MaxOutput: tc.most}, service: service}}
			if got := s.movable(); got != tc.want {
				t.Errorf("movable %v, want %v", got, tc.want)
			}
		})
	}
}
