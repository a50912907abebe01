package belief

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/standin"
)

// followed is a follower of a stand-in of the store, and what it took over.
type followed struct {
	*Follower
	rows  *standin.Rows
	known map[string]string
	at    time.Time
}

func newFollowed() *followed {
	f := &followed{rows: standin.NewRows(), known: map[string]string{}, at: time.Now()}
	f.Follower = New(Settings{Table: "t", Slack: time.Second, PauseLeast: time.Millisecond, PauseMost: time.Millisecond, SettleFor: 2 * time.Second},
		f.rows.Platform(), f.take, func(time.Time) {}, func() {}, events.Nop(), func() time.Time { return f.at })
	f.sleep = func(context.Context, time.Duration) {}
	return f
}

func (f *followed) take(s platform.Snapshot, full bool) {
	if full {
		clear(f.known)
	}
	for _, r := range s.Records {
		if r.Gone {
			delete(f.known, r.Name)
			continue
		}
		f.known[r.Name] = string(r.Value)
	}
}

// turns makes calls one after another.
func (f *followed) turns(t *testing.T, n int) {
	t.Helper()
	for range n {
		if err := f.step(t.Context()); err != nil {
			f.failed(t.Context(), err)
		}
	}
}

// differs tells a row of the store that is not known as it stands there, empty if there is none.
func (f *followed) differs(t *testing.T) string {
	t.Helper()
	s, err := f.rows.Platform().List(t.Context(), "t")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range s.Records {
		if f.known[r.Name] != string(r.Value) {
			return fmt.Sprintf("%s is %q in the store, %q here", r.Name, r.Value, f.known[r.Name])
		}
	}
	if len(f.known) != len(s.Records) {
		return fmt.Sprintf("%d rows in the store, %d here", len(s.Records), len(f.known))
	}
	return ""
}

// The store was restored from a copy, and what was written at versions that it gave out again was never
// read: a follower asked for what came after the version that it knew from before.
func TestRowsAtVersionsGivenOutAgainAreRead(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lost and before are the numbers of rows written after the copy, and after the return
		// before the follower asks again.
		lost, before int
	}{
		{"fewer than were lost", 5, 3},
		{"as many as were lost", 5, 5},
		{"more than were lost", 3, 5},
		{"none was lost", 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFollowed()
			for i := range 3 {
				f.rows.Put("t", fmt.Sprint("kept-", i), "1")
			}
			held := f.rows.Copy()
			for i := range tc.lost {
				f.rows.Put("t", fmt.Sprint("lost-", i), "1")
			}
			f.turns(t, 2)
			f.rows.ComeBack(held)
			f.turns(t, 2)
			for i := range tc.before {
				f.rows.Put("t", fmt.Sprint("again-", i), "2")
			}
			f.turns(t, 3)
			if d := f.differs(t); d != "" {
				t.Error(d)
			}
			f.rows.Put("t", "later", "3")
			f.turns(t, 2)
			if d := f.differs(t); d != "" {
				t.Errorf("later: %s", d)
			}
		})
	}
}

// Writes, copies, returns and reads in any order: once nothing is written any more, all is known as
// it stands in the store.
func TestFollowerOfAStoreThatIsRestoredAgainAndAgain(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFollowed()
		held := f.rows.Copy()
		for range 60 {
			name := fmt.Sprint("row-", rng.IntN(6))
			switch rng.IntN(9) {
			case 0:
				held = f.rows.Copy()
			case 1:
				f.rows.ComeBack(held)
			case 2:
				f.rows.Remove("t", name)
			case 3, 4, 5:
				f.rows.Put("t", name, fmt.Sprint(rng.IntN(1000)))
			default:
				f.turns(t, 1)
			}
		}
		f.at = f.at.Add(time.Minute)
		f.turns(t, 4)
		if d := f.differs(t); d != "" {
			t.Fatalf("seed %d: %s", seed, d)
		}
	}
}

// An answer of an epoch whose rows are not read yet confirmed what was known from before, and so did
// one made before the return.
func TestOnlyReadEpochsConfirm(t *testing.T) {
	answer := func(epoch, version int64) func() (platform.Snapshot, error) {
		return func() (platform.Snapshot, error) { return platform.Snapshot{Epoch: epoch, Version: version}, nil }
	}
	for _, tc := range []struct {
		name     string
		answers  []func() (platform.Snapshot, error)
		confirms int
		lists    int
	}{
		{"one epoch", []func() (platform.Snapshot, error){answer(1, 5), answer(1, 6)}, 2, 1},
		{"changes of a later epoch", []func() (platform.Snapshot, error){answer(1, 5), answer(2, 6)}, 1, 1},
		{"and its whole table", []func() (platform.Snapshot, error){answer(1, 5), answer(2, 6), answer(2, 6)}, 2, 2},
		{"changes of an earlier epoch", []func() (platform.Snapshot, error){answer(2, 5), answer(1, 9)}, 1, 1},
		{"the whole table of an earlier epoch", []func() (platform.Snapshot, error){answer(2, 5), errorOf(platform.ErrHistoryGone), answer(1, 9)}, 1, 2},
		{"a return during the read", []func() (platform.Snapshot, error){answer(1, 5), errorOf(platform.ErrHistoryGone), errorOf(platform.ErrRestored), answer(2, 4)}, 2, 3},
		{"a store that states no epoch", []func() (platform.Snapshot, error){answer(0, 5), answer(0, 6)}, 2, 1},
		{"an epoch that was not stated before", []func() (platform.Snapshot, error){answer(0, 5), answer(1, 6), answer(1, 6)}, 2, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, confirms := newScript(tc.answers...), 0
			s.Follower.confirm = func(time.Time) { confirms++ }
			s.play(t)
			if confirms != tc.confirms || s.lists != tc.lists {
				t.Errorf("confirmed %d times with %d whole tables, want %d with %d", confirms, s.lists, tc.confirms, tc.lists)
			}
		})
	}
}

func errorOf(err error) func() (platform.Snapshot, error) {
	return func() (platform.Snapshot, error) { return platform.Snapshot{}, err }
}

// Once rows had time to be written again, the whole table is read once more.
func TestTableIsReadOnceMoreAfterAReturn(t *testing.T) {
	f := newFollowed()
	f.settings.RestoreFor = 5 * time.Second
	f.rows.Put("t", "a", "1")
	f.turns(t, 2)
	f.rows.ComeBack(f.rows.Copy())
	lists, restored := 0, 0
	f.apply = func(s platform.Snapshot, full bool) {
		if full {
			lists++
		}
		if s.Restored {
			restored++
		}
	}
	f.turns(t, 5)
	if settled, ok := f.Settled(); lists != 1 || restored != 1 || !ok || settled.Sub(f.at) != 5*time.Second {
		t.Errorf("%d whole tables, %d of them of the return, settled in %s; want one that settles in 5 s", lists, restored, settled.Sub(f.at))
	}
	f.at = f.at.Add(5 * time.Second)
	f.turns(t, 5)
	if lists != 2 || restored != 1 {
		t.Errorf("%d whole tables, %d of them of the return, want one more", lists, restored)
	}
}
