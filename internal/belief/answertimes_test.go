package belief

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// A store read its rows, paused or failed over to a process with another clock, and then read its clock for the
// answer, which made the table look confirmed after the read.
func TestAnswerOfPausedStoreIsNotTakenForNewer(t *testing.T) {
	for _, pause := range []time.Duration{0, 500 * time.Millisecond, 2 * time.Second, 3 * time.Second} {
		for _, clockJump := range []time.Duration{0, 300 * time.Millisecond, time.Hour, -time.Hour} {
			t.Run(fmt.Sprintf("%s clock jump %s", pause, clockJump), func(t *testing.T) {
				start := time.Now()
				now, pausedFor, jumped := start, time.Duration(0), time.Duration(0)
				var read time.Time
				answer := func(hold time.Duration) platform.Snapshot {
					now = now.Add(hold)
					read = now
					now = now.Add(pausedFor)
					return platform.Snapshot{Version: 1, Clock: now.Sub(start) + time.Hour + jumped}
				}
				direct := &platform.Store{
					List: func(context.Context, string) (platform.Snapshot, error) { return answer(0), nil },
					Changes: func(_ context.Context, _ string, _ int64, wait time.Duration) (platform.Snapshot, error) {
						return answer(wait), nil
					},
				}
				store := WithAnswerTimes(direct, func() time.Time { return now }, "routes")
				check := func(s platform.Snapshot, err error) {
					t.Helper()
					if late := s.AsOf.Sub(read); err != nil || late > 0 {
						t.Errorf("confirmed %s after the rows were read, error %v", late, err)
					}
				}
				check(store.List(t.Context(), "routes"))
				pausedFor = pause
				check(store.Changes(t.Context(), "routes", 1, time.Second))
				jumped = clockJump
				check(store.Changes(t.Context(), "routes", 1, time.Second))
				check(store.Changes(t.Context(), "routes", 1, 0))
			})
		}
	}
}
