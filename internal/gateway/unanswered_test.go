package gateway

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/routetable"
)

// TestCrowdIsGivenUpInTime guards against a planned stop that gives up more requests at its end than it can still
// answer, because many are in flight or the process hardly runs.
func TestCrowdIsGivenUpInTime(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name     string
		requests int
		// tickGap is the time between two moments in which the process runs.
		tickGap time.Duration
		left    time.Duration
		kept    int
	}{
		{"calm, few requests at the end", 640, ms, 0, 640},
		{"calm, many requests early", 2000, ms, 100 * ms, 2000},
		{"calm, many requests late", 2000, ms, 50 * ms, 1500},
		{"calm, many requests at the end", 2000, ms, 0, 1000},
		{"starved, early", 64, 25 * ms, 200 * ms, 64},
		{"starved, late", 64, 25 * ms, 102 * ms, 32},
		{"starved, at the end", 64, 25 * ms, 0, 0},
		{"a pause may repeat", 64, 50 * ms, 50 * ms, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, now := newFixture(t), time.Now()
			f.gateway.now = func() time.Time { return now }
			tickFor(&f.gateway.running, now, 2*runWindow, tc.tickGap)
			var ctxs []context.Context
			for range tc.requests {
				ctx, _, release := f.gateway.untilStop(t.Context())
				defer release()
				ctxs = append(ctxs, ctx)
			}
			f.gateway.giveUpInTime(now.Add(tc.left))
			kept := 0
			for i, ctx := range ctxs {
				switch {
				case ctx.Err() == nil && i == kept:
					kept++
				case ctx.Err() == nil:
					t.Fatalf("request %d goes on, though request %d was given up", i, kept)
				case !errors.Is(context.Cause(ctx), errStopped):
					t.Fatalf("request %d ended with %v", i, context.Cause(ctx))
				}
			}
			if kept != tc.kept {
				t.Errorf("%d of %d requests go on, want %d", kept, tc.requests, tc.kept)
			}
			if givenUp, _ := f.gateway.unanswered.counts(); givenUp != tc.requests-tc.kept {
				t.Errorf("%d requests are counted as given up, want %d", givenUp, tc.requests-tc.kept)
			}
		})
	}
}

// TestNoAnswerBeginsAfterEarlyGiveUp guards against an answer that begins although its request was given up
// before the others.
func TestNoAnswerBeginsAfterEarlyGiveUp(t *testing.T) {
	f := newFixture(t)
	_, beginEarlier, releaseEarlier := f.gateway.untilStop(t.Context())
	defer releaseEarlier()
	ctx, beginAnswer, release := f.gateway.untilStop(t.Context())
	defer release()
	if !beginEarlier() || f.gateway.unanswered.len() != 1 {
		t.Errorf("%d requests have no answer, want the one whose answer has not begun", f.gateway.unanswered.len())
	}
	f.gateway.unanswered.keepOldest(0)
	if beginAnswer() || ctx.Err() == nil {
		t.Error("an answer may begin after its request was given up")
	}
	f.gateway.giveUpUnanswered()
	if givenUp, _ := f.gateway.unanswered.counts(); givenUp != 1 {
		t.Errorf("%d requests are counted as given up, want the one without an answer", givenUp)
	}
}

// TestStarvedStopRefusesRequests guards against a stopping entry that takes requests which it cannot answer in
// time because it hardly runs.
func TestStarvedStopRefusesRequests(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name     string
		inFlight int
		tickGap  time.Duration
		refused  bool
	}{
		{"a calm process", 300, ms, false},
		{"a starved process with few requests in flight", 4, 25 * ms, false},
		{"a starved process with many requests in flight", 300, 25 * ms, true},
		{"a process that pauses for long", 4, 200 * ms, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, now := newFixture(t), time.Now()
			f.gateway.now = func() time.Time { return now }
			tickFor(&f.gateway.running, now, 2*runWindow, tc.tickGap)
			for range tc.inFlight {
				_, _, release := f.gateway.untilStop(t.Context())
				defer release()
			}
			f.gateway.lastAnswer.Store(now.Add(plainCallTime + 100*ms))
			if got := f.gateway.stopsBefore(&request{service: &routetable.Service{}}, plainCallTime, forecast{}); got != tc.refused {
				t.Errorf("refused %t, want %t", got, tc.refused)
			}
		})
	}
}
