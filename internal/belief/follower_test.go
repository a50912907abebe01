package belief

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
)

// scriptedFollower is a follower of a store that gives the listed answers in turn.
type scriptedFollower struct {
	*Follower
	at      time.Time
	answers []func() (platform.Snapshot, error)
	lists   int
	waits   []time.Duration
	applied []platform.Snapshot
	full    []bool
	confirm time.Time
	lost    int
}

func newScriptedFollower(answers ...func() (platform.Snapshot, error)) *scriptedFollower {
	s := &scriptedFollower{at: time.Now(), answers: answers}
	next := func() (platform.Snapshot, error) {
		a := s.answers[0]
		s.answers = s.answers[1:]
		return a()
	}
	store := &platform.Store{
		List: func(context.Context, string) (platform.Snapshot, error) {
			s.lists++
			return next()
		},
		Changes: func(_ context.Context, _ string, _ int64, wait time.Duration) (platform.Snapshot, error) {
			s.waits = append(s.waits, wait)
			return next()
		},
	}
	s.Follower = New(Settings{Table: "t", HoldTime: time.Second, CallSlack: time.Second, BackoffMin: time.Millisecond, BackoffMax: time.Millisecond, SettleFor: 2 * time.Second},
		store, func(snap platform.Snapshot, full bool) {
			s.applied = append(s.applied, snap)
			s.full = append(s.full, full)
		}, func(at time.Time) { s.confirm = at }, func() { s.lost++ }, events.Nop(), func() time.Time { return s.at })
	s.sleep = func(context.Context, time.Duration) {}
	return s
}

// run polls until all answers are used.
func (s *scriptedFollower) run(t *testing.T) {
	t.Helper()
	for len(s.answers) > 0 {
		if err := s.poll(t.Context()); err != nil {
			s.handleFailure(t.Context(), err)
		}
	}
}

func answerWith(version int64, names ...string) func() (platform.Snapshot, error) {
	return func() (platform.Snapshot, error) {
		s := platform.Snapshot{Version: version}
		for _, n := range names {
			s.Records = append(s.Records, platform.Record{Name: n, Version: version})
		}
		return s, nil
	}
}

var errDown = errors.New("down")

func fails(err error) func() (platform.Snapshot, error) {
	return func() (platform.Snapshot, error) { return platform.Snapshot{}, err }
}

func TestFollowerReadsAllThenChanges(t *testing.T) {
	s := newScriptedFollower(answerWith(5, "a"), answerWith(5), answerWith(7, "b"))
	s.run(t)
	if s.lists != 1 || len(s.waits) != 2 {
		t.Errorf("%d lists and %d calls for changes, want 1 and 2", s.lists, len(s.waits))
	}
	if len(s.applied) != 2 || !s.full[0] || s.full[1] {
		t.Errorf("applied %d answers, full %v; want the whole table, then the change", len(s.applied), s.full)
	}
}

// TestPausesGrowWhileChangesCome checks that many upstreams that start one after another do not
// cost a call each, and that a change after a quiet time is read as soon as before.
func TestPausesGrowWhileChangesCome(t *testing.T) {
	const least, most = 10 * time.Millisecond, 40 * time.Millisecond
	slow := func(version int64) func() (platform.Snapshot, error) { return answerWith(version, "late") }
	s := newScriptedFollower(answerWith(1, "a"), answerWith(2, "b"), answerWith(3, "c"), answerWith(4, "d"), nil, answerWith(6, "f"))
	s.answers[4] = func() (platform.Snapshot, error) {
		s.at = s.at.Add(time.Second)
		return slow(5)()
	}
	s.settings.GatherDelay, s.settings.GatherDelayMax = least, most
	var pauses []time.Duration
	s.sleep = func(_ context.Context, d time.Duration) { pauses = append(pauses, d) }
	s.run(t)
	want := []time.Duration{least, 2 * least, most, most, least, 2 * least}
	if !slices.Equal(pauses, want) {
		t.Errorf("pauses %v, want %v", pauses, want)
	}
}

func TestFollowerAfterDroppedHistory(t *testing.T) {
	s := newScriptedFollower(answerWith(5, "a"), fails(platform.ErrHistoryGone), answerWith(9, "b"))
	s.run(t)
	if s.lists != 2 || s.lost != 0 {
		t.Errorf("%d lists, lost %d times; want the whole table read again and no outage", s.lists, s.lost)
	}
}

func TestFollowerAroundAnOutage(t *testing.T) {
	s := newScriptedFollower(answerWith(5, "a"), fails(errDown), fails(errDown), answerWith(5), answerWith(5))
	s.run(t)
	if s.lost != 1 {
		t.Errorf("lost %d times, want once", s.lost)
	}
	settled, ok := s.Settled()
	if !ok || !settled.Equal(s.at.Add(2*time.Second)) {
		t.Errorf("settled in %s, ok %v; want in 2s, true", settled.Sub(s.at), ok)
	}
}

// TestWholeTableInPlaceOfChanges checks that an answer with the whole table replaces the rows although changes were
// asked for.
func TestWholeTableInPlaceOfChanges(t *testing.T) {
	s := newScriptedFollower(answerWith(5, "a", "b"), func() (platform.Snapshot, error) {
		snap, err := answerWith(9, "b")()
		snap.Full = true
		return snap, err
	}, answerWith(9))
	s.run(t)
	if !slices.Equal(s.full, []bool{true, true}) {
		t.Errorf("answers applied as whole tables: %v, want both", s.full)
	}
}

// TestFirstCallAfterAnOutageIsNotHeld checks that the first call after an outage is not held for
// changes, because requests are refused while the routes are unconfirmed.
func TestFirstCallAfterAnOutageIsNotHeld(t *testing.T) {
	s := newScriptedFollower(answerWith(5, "a"), answerWith(5), fails(errDown), answerWith(5), answerWith(5))
	s.run(t)
	want := []time.Duration{time.Second, time.Second, 0, time.Second}
	for i, w := range s.waits {
		if w != want[i] {
			t.Errorf("call %d for changes is held for %s, want %s", i, w, want[i])
		}
	}
}

// TestPauseAfterAChangeShortensTheNextHold checks that the state that a follower serves to others
// does not grow older than HoldTime although it pauses after answers with changes.
func TestPauseAfterAChangeShortensTheNextHold(t *testing.T) {
	const pause = 200 * time.Millisecond
	for _, tc := range []struct {
		name string
		age  time.Duration
		want time.Duration
	}{
		{"the answer was new", 0, time.Second - pause},
		{"the answer was 400 ms old", 400 * time.Millisecond, 600*time.Millisecond - pause},
		{"the answer was as old as the wait", time.Second, 250 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScriptedFollower(answerWith(1, "a"), nil, answerWith(2))
			s.answers[1] = func() (platform.Snapshot, error) {
				snap, err := answerWith(2, "b")()
				snap.AsOf = s.at.Add(-tc.age)
				return snap, err
			}
			s.sleep = func(context.Context, time.Duration) { s.at = s.at.Add(pause) }
			s.run(t)
			if got := s.waits[len(s.waits)-1]; got != tc.want {
				t.Errorf("the call after a pause of %s is held for %s, want %s", pause, got, tc.want)
			}
		})
	}
}

// TestWholeTableReadHasItsOwnTimeout checks that a read of the whole table gets more time than a
// call for changes. A table of many pages takes longer, and a read that is cancelled half-way would
// start from the beginning each time.
func TestWholeTableReadHasItsOwnTimeout(t *testing.T) {
	s := newScriptedFollower(answerWith(1, "a"), answerWith(2))
	s.settings.ListTimeout = time.Minute
	var within []time.Duration
	list, changes := s.store.List, s.store.Changes
	note := func(ctx context.Context) {
		deadline, _ := ctx.Deadline()
		within = append(within, deadline.Sub(s.at))
	}
	s.store.List = func(ctx context.Context, table string) (platform.Snapshot, error) {
		note(ctx)
		return list(ctx, table)
	}
	s.store.Changes = func(ctx context.Context, table string, after int64, wait time.Duration) (platform.Snapshot, error) {
		note(ctx)
		return changes(ctx, table, after, wait)
	}
	s.run(t)
	if want := []time.Duration{time.Minute, 2 * time.Second}; !slices.Equal(within, want) {
		t.Errorf("calls time out after %v, want %v", within, want)
	}
}

func TestConfirmationTimeIsWhenTheAnswerWasMade(t *testing.T) {
	made := time.Now().Add(-time.Minute)
	s := newScriptedFollower(func() (platform.Snapshot, error) { return platform.Snapshot{Version: 1, AsOf: made}, nil })
	s.run(t)
	if !s.confirm.Equal(made) {
		t.Errorf("confirmed as of %s, want the time at which the answer was produced, %s", s.confirm, made)
	}
}
