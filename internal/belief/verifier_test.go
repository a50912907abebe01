package belief

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// What was applied counted as the newest although the store had not said so since the given time.
func TestOutdatedStateIsVerified(t *testing.T) {
	const timeout = 50 * time.Millisecond
	changed := platform.Snapshot{Version: 8, Records: []platform.Record{{Name: "b", Version: 8}}}
	for _, tc := range []struct {
		name   string
		answer platform.Snapshot
		err    error
		// apply is set if the follower reads the change meanwhile.
		apply bool
		want  error
	}{
		{"nothing has changed", platform.Snapshot{Version: 9}, nil, false, nil},
		{"a change is not applied", changed, nil, false, context.DeadlineExceeded},
		{"a change is applied meanwhile", changed, nil, true, nil},
		{"the store does not answer", platform.Snapshot{}, errDown, false, errDown},
		{"the store was restored", platform.Snapshot{Version: 5, Epoch: 1}, nil, false, platform.ErrRestored},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScriptedFollower(answerWith(5, "a"))
			s.run(t)
			s.confirm = time.Time{}
			calls := 0
			store := &platform.Store{Changes: func(_ context.Context, _ string, after int64, wait time.Duration) (platform.Snapshot, error) {
				if calls++; after != 5 || wait != 0 {
					t.Errorf("changes after %d are asked for and held for %v, want 5 and none", after, wait)
				}
				if tc.apply {
					s.answers = append(s.answers, answerWith(8, "b"))
					s.run(t)
				}
				return tc.answer, tc.err
			}}
			v := NewVerifier(VerifierSettings{Timeout: timeout, RetryAfter: time.Hour, Spacing: noSpacing}, s.Follower, store, time.Now)
			after := time.Now()
			if err := v.Verify(t.Context(), after); !errors.Is(err, tc.want) {
				t.Errorf("%v, want %v", err, tc.want)
			}
			if verified := tc.want == nil; verified == s.confirm.Before(after) {
				t.Errorf("confirmed as of %v after the request, want verified: %v", s.confirm.Sub(after), verified)
			}
			if err := v.Verify(t.Context(), after); !errors.Is(err, tc.want) || calls != 1 {
				t.Errorf("%v after %d calls, want %v after 1", err, calls, tc.want)
			}
		})
	}
}

func noSpacing() time.Duration { return 0 }

// Requests that came one after another each made a call to the store.
func TestVerificationsShareCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newScriptedFollower(answerWith(5, "a"))
		s.run(t)
		var mu sync.Mutex
		calls := 0
		store := &platform.Store{Changes: func(context.Context, string, int64, time.Duration) (platform.Snapshot, error) {
			mu.Lock()
			defer mu.Unlock()
			calls++
			return platform.Snapshot{Version: 5}, nil
		}}
		v := NewVerifier(VerifierSettings{Timeout: time.Second, Spacing: func() time.Duration { return 20 * time.Millisecond }}, s.Follower, store, time.Now)
		var requests sync.WaitGroup
		for range 100 {
			requests.Go(func() {
				if err := v.Verify(t.Context(), time.Now()); err != nil {
					t.Error(err)
				}
			})
			time.Sleep(time.Millisecond)
		}
		requests.Wait()
		if calls > 6 {
			t.Errorf("%d calls in 100 ms, want one for each 20 ms", calls)
		}
	})
}

func TestTableThatWasNotReadIsNotVerified(t *testing.T) {
	v := NewVerifier(VerifierSettings{Timeout: time.Second, Spacing: noSpacing}, newScriptedFollower().Follower, &platform.Store{}, time.Now)
	if err := v.Verify(t.Context(), time.Now()); !errors.Is(err, errNotSynced) {
		t.Errorf("%v, want %v", err, errNotSynced)
	}
}
