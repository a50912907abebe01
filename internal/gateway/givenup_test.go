package gateway

import (
	"context"
	"runtime"
	"testing"
)

// TestGivenUpRequestIsCancelledAtOnce guards against a request that goes on after beginAnswer has told it that it
// is given up: it is answered as if its engine had failed, and may be sent to another engine.
func TestGivenUpRequestIsCancelledAtOnce(t *testing.T) {
	const requests = 100
	f := newFixture(t)
	// On one processor, the goroutines that cancel requests run only after this one.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	var ctxs []context.Context
	var begins []func() bool
	for range requests {
		ctx, beginAnswer, release := f.gateway.untilStop(t.Context())
		defer release()
		ctxs, begins = append(ctxs, ctx), append(begins, beginAnswer)
	}
	f.gateway.giveUpUnanswered()
	running := 0
	for i, beginAnswer := range begins {
		if !beginAnswer() && ctxs[i].Err() == nil {
			running++
		}
	}
	if running > 0 {
		t.Errorf("%d of %d requests that were given up go on", running, requests)
	}
}

// TestNoAnswerBeginsAfterGiveUp guards against an answer that begins after the end of a planned stop and is cut at
// once.
func TestNoAnswerBeginsAfterGiveUp(t *testing.T) {
	f := newFixture(t)
	_, beginAnswer, release := f.gateway.untilStop(t.Context())
	defer release()
	f.gateway.GiveUp()
	if beginAnswer() {
		t.Error("an answer may begin after all requests were given up")
	}
}
