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

// script is a store that answers calls in turn and a follower of it.
type script struct {
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

func newScript(answers ...func() (platform.Snapshot, error)) *script {
	s := &script{at: time.Now(), answers: answers}
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
	s.Follower = New(Settings{Table: "t", Wait: time.Second, Slack: time.Second, PauseLeast: time.Millisecond, PauseMost: time.Millisecond, SettleFor: 2 * time.Second},
		store, func(snap platform.Snapshot, full bool) {
			s.applied = append(s.applied, snap)
			s.full = append(s.full, full)
		}, func(at time.Time) { s.confirm = at }, func() { s.lost++ }, events.Nop(), func() time.Time { return s.at })
	s.sleep = func(context.Context, time.Duration) {}
	return s
}

// play runs the follower until the script is over.
func (s *script) play(t *testing.T) {
	t.Helper()
	for len(s.answers) > 0 {
		if err := s.step(t.Context()); err != nil {
			s.failed(t.Context(), err)
		}
	}
}

func rows(version int64, names ...string) func() (platform.Snapshot, error) {
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
	s := newScript(rows(5, "a"), rows(5), rows(7, "b"))
	s.play(t)
	if s.lists != 1 || len(s.waits) != 2 {
		t.Errorf("%d lists and %d calls for changes, want 1 and 2", s.lists, len(s.waits))
	}
	if len(s.applied) != 2 || !s.full[0] || s.full[1] {
		t.Errorf("applied %d answers, full %v; want the whole table, then the change", len(s.applied), s.full)
	}
}

// TestPausesGrowWhileChangesCome: many upstreams that start one after another must
// not each cost a call; a change after a quiet time is taken up as before.
func TestPausesGrowWhileChangesCome(t *testing.T) {
	const least, most = 10 * time.Millisecond, 40 * time.Millisecond
	slow := func(version int64) func() (platform.Snapshot, error) { return rows(version, "late") }
	s := newScript(rows(1, "a"), rows(2, "b"), rows(3, "c"), rows(4, "d"), nil, rows(6, "f"))
	s.answers[4] = func() (platform.Snapshot, error) {
		s.at = s.at.Add(time.Second)
		return slow(5)()
	}
	s.settings.Gather, s.settings.GatherMost = least, most
	var pauses []time.Duration
	s.sleep = func(_ context.Context, d time.Duration) { pauses = append(pauses, d) }
	s.play(t)
	want := []time.Duration{least, 2 * least, most, most, least, 2 * least}
	if !slices.Equal(pauses, want) {
		t.Errorf("pauses %v, want %v", pauses, want)
	}
}

func TestFollowerAfterDroppedHistory(t *testing.T) {
	s := newScript(rows(5, "a"), fails(platform.ErrHistoryGone), rows(9, "b"))
	s.play(t)
	if s.lists != 2 || s.lost != 0 {
		t.Errorf("%d lists, lost %d times; want the table read anew and no outage", s.lists, s.lost)
	}
}

func TestFollowerAroundAnOutage(t *testing.T) {
	s := newScript(rows(5, "a"), fails(errDown), fails(errDown), rows(5), rows(5))
	s.play(t)
	if s.lost != 1 {
		t.Errorf("lost %d times, want once", s.lost)
	}
	settled, ok := s.Settled()
	if !ok || !settled.Equal(s.at.Add(2*time.Second)) {
		t.Errorf("settled in %s, answering %v; want in 2s, true", settled.Sub(s.at), ok)
	}
}

// Requests are refused while the routes are unconfirmed, so the first answer
// after an outage must not be held for changes.
func TestFirstCallAfterAnOutageIsNotHeld(t *testing.T) {
	s := newScript(rows(5, "a"), rows(5), fails(errDown), rows(5), rows(5))
	s.play(t)
	want := []time.Duration{time.Second, time.Second, 0, time.Second}
	for i, w := range s.waits {
		if w != want[i] {
			t.Errorf("call %d for changes is held for %s, want %s", i, w, want[i])
		}
	}
}

// TestPauseAfterAChangeShortensTheNextHold: others ask a follower for what it knows,
// which must not grow older than Wait although it pauses after answers with changes.
func TestPauseAfterAChangeShortensTheNextHold(t *testing.T) {
	const pause = 200 * time.Millisecond
	for _, tc := range []struct {
		name string
		age  time.Duration
		want time.Duration
	}{
		{"the answer was new", 0, time.Second - pause},
		{"the answer was old already", 400 * time.Millisecond, 600*time.Millisecond - pause},
		{"the answer was as old as the wait", time.Second, 250 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newScript(rows(1, "a"), nil, rows(2))
			s.answers[1] = func() (platform.Snapshot, error) {
				snap, err := rows(2, "b")()
				snap.Made = s.at.Add(-tc.age)
				return snap, err
			}
			s.sleep = func(context.Context, time.Duration) { s.at = s.at.Add(pause) }
			s.play(t)
			if got := s.waits[len(s.waits)-1]; got != tc.want {
				t.Errorf("the call after a pause of %s is held for %s, want %s", pause, got, tc.want)
			}
		})
	}
}

// TestWholeTableHasTimeForItsPages: a table of many pages takes longer than a call for
// changes; given up half-way it would be begun anew each time.
func TestWholeTableHasTimeForItsPages(t *testing.T) {
	s := newScript(rows(1, "a"), rows(2))
	s.settings.ListWithin = time.Minute
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
	s.play(t)
	if want := []time.Duration{time.Minute, 2 * time.Second}; !slices.Equal(within, want) {
		t.Errorf("calls are given up after %v, want %v", within, want)
	}
}

func TestConfirmationIsOfTheAnswer(t *testing.T) {
	made := time.Now().Add(-time.Minute)
	s := newScript(func() (platform.Snapshot, error) { return platform.Snapshot{Version: 1, Made: made}, nil })
	s.play(t)
	if !s.confirm.Equal(made) {
		t.Errorf("confirmed for %s, want for when the answer was made, %s", s.confirm, made)
	}
}
