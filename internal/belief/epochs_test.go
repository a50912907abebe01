package belief

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/standin"
)

// followerOfStandin is a follower of a simulated store, with the rows that it applied.
type followerOfStandin struct {
	*Follower
	store   *standin.RecordStore
	applied map[string]string
	at      time.Time
}

func newFollowerOfStandin() *followerOfStandin {
	f := &followerOfStandin{store: standin.NewRecordStore(), applied: map[string]string{}, at: time.Now()}
	f.Follower = New(Settings{Table: "t", CallSlack: time.Second, BackoffMin: time.Millisecond, BackoffMax: time.Millisecond, SettleFor: 2 * time.Second},
		f.store.Store(), f.applySnapshot, func(time.Time) {}, func() {}, events.Nop(), func() time.Time { return f.at })
	f.sleep = func(context.Context, time.Duration) {}
	return f
}

func (f *followerOfStandin) applySnapshot(s platform.Snapshot, full bool) {
	if full {
		clear(f.applied)
	}
	for _, r := range s.Records {
		if r.Removed {
			delete(f.applied, r.Name)
			continue
		}
		f.applied[r.Name] = string(r.Value)
	}
}

// polls makes n calls one after another.
func (f *followerOfStandin) polls(t *testing.T, n int) {
	t.Helper()
	for range n {
		if err := f.poll(t.Context()); err != nil {
			f.handleFailure(t.Context(), err)
		}
	}
}

// difference describes a row of the store that differs from the applied one; it is empty if none
// differs.
func (f *followerOfStandin) difference(t *testing.T) string {
	t.Helper()
	s, err := f.store.Store().List(t.Context(), "t")
	if err != nil {
		t.Fatal(err)
	}
	for _, r := range s.Records {
		if f.applied[r.Name] != string(r.Value) {
			return fmt.Sprintf("%s is %q in the store, %q in the follower", r.Name, r.Value, f.applied[r.Name])
		}
	}
	if len(f.applied) != len(s.Records) {
		return fmt.Sprintf("%d rows in the store, %d in the follower", len(s.Records), len(f.applied))
	}
	return ""
}

// TestRowsAtReusedVersionsAreRead guards against rows that are never read. A store restored from a
// backup assigns versions again that it had assigned before, so a follower that asks for changes
// after its known version would miss rows with reused versions.
func TestRowsAtReusedVersionsAreRead(t *testing.T) {
	for _, tc := range []struct {
		name string
		// lost is the number of rows written after the backup, and writtenAgain the number written
		// between the restore and the next call of the follower.
		lost, writtenAgain int
	}{
		{"fewer than were lost", 5, 3},
		{"as many as were lost", 5, 5},
		{"more than were lost", 3, 5},
		{"none was lost", 0, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFollowerOfStandin()
			for i := range 3 {
				f.store.Put("t", fmt.Sprint("kept-", i), "1")
			}
			backup := f.store.Backup()
			for i := range tc.lost {
				f.store.Put("t", fmt.Sprint("lost-", i), "1")
			}
			f.polls(t, 2)
			f.store.Restore(backup)
			f.polls(t, 2)
			for i := range tc.writtenAgain {
				f.store.Put("t", fmt.Sprint("again-", i), "2")
			}
			f.polls(t, 3)
			if d := f.difference(t); d != "" {
				t.Error(d)
			}
			f.store.Put("t", "later", "3")
			f.polls(t, 2)
			if d := f.difference(t); d != "" {
				t.Errorf("after a later write: %s", d)
			}
		})
	}
}

// TestFollowerConvergesAfterRepeatedRestores checks that after writes, backups, restores and reads
// in any order, a follower has the rows of the store once writes stop.
func TestFollowerConvergesAfterRepeatedRestores(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 1))
		f := newFollowerOfStandin()
		backup := f.store.Backup()
		for range 60 {
			name := fmt.Sprint("row-", rng.IntN(6))
			switch rng.IntN(9) {
			case 0:
				backup = f.store.Backup()
			case 1:
				f.store.Restore(backup)
			case 2:
				f.store.Remove("t", name)
			case 3, 4, 5:
				f.store.Put("t", name, fmt.Sprint(rng.IntN(1000)))
			default:
				f.polls(t, 1)
			}
		}
		f.at = f.at.Add(time.Minute)
		f.polls(t, 4)
		if d := f.difference(t); d != "" {
			t.Fatalf("seed %d: %s", seed, d)
		}
	}
}

// TestOnlyReadEpochsConfirm checks that an answer confirms nothing if it is of an epoch whose rows
// have not been read yet, or from before a restore. The rows applied so far may be outdated then.
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
		{"whole table of a later epoch", []func() (platform.Snapshot, error){answer(1, 5), answer(2, 6), answer(2, 6)}, 2, 2},
		{"changes of an earlier epoch", []func() (platform.Snapshot, error){answer(2, 5), answer(1, 9)}, 1, 1},
		{"the whole table of an earlier epoch", []func() (platform.Snapshot, error){answer(2, 5), errorOf(platform.ErrHistoryGone), answer(1, 9)}, 1, 2},
		{"a restore during the read", []func() (platform.Snapshot, error){answer(1, 5), errorOf(platform.ErrHistoryGone), errorOf(platform.ErrRestored), answer(2, 4)}, 2, 3},
		{"a store that states no epoch", []func() (platform.Snapshot, error){answer(0, 5), answer(0, 6)}, 2, 1},
		{"a store that states its epoch later", []func() (platform.Snapshot, error){answer(0, 5), answer(1, 6), answer(1, 6)}, 2, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, confirms := newScriptedFollower(tc.answers...), 0
			s.Follower.confirm = func(time.Time) { confirms++ }
			s.run(t)
			if confirms != tc.confirms || s.lists != tc.lists {
				t.Errorf("confirmed %d times with %d whole tables, want %d with %d", confirms, s.lists, tc.confirms, tc.lists)
			}
		})
	}
}

func errorOf(err error) func() (platform.Snapshot, error) {
	return func() (platform.Snapshot, error) { return platform.Snapshot{}, err }
}

// TestTableIsReadAgainAfterARestore checks that the whole table is read once more after the time in
// which lost rows are written again.
func TestTableIsReadAgainAfterARestore(t *testing.T) {
	f := newFollowerOfStandin()
	f.settings.RestoreFor = 5 * time.Second
	f.store.Put("t", "a", "1")
	f.polls(t, 2)
	f.store.Restore(f.store.Backup())
	lists, restored := 0, 0
	f.apply = func(s platform.Snapshot, full bool) {
		if full {
			lists++
		}
		if s.Restored {
			restored++
		}
	}
	f.polls(t, 5)
	if settled, ok := f.Settled(); lists != 1 || restored != 1 || !ok || settled.Sub(f.at) != 5*time.Second {
		t.Errorf("%d whole tables, %d of them marked as restored, settled in %s; want one that settles in 5 s", lists, restored, settled.Sub(f.at))
	}
	f.at = f.at.Add(5 * time.Second)
	f.polls(t, 5)
	if lists != 2 || restored != 1 {
		t.Errorf("%d whole tables, %d of them marked as restored, want one more", lists, restored)
	}
}

// An older whole table was applied while the follower kept the later version, so the rows in between were never read.
func TestOlderWholeTableIsNotApplied(t *testing.T) {
	answer := func(epoch, version int64) func() (platform.Snapshot, error) {
		return func() (platform.Snapshot, error) {
			return platform.Snapshot{Epoch: epoch, Version: version, Records: []platform.Record{{Name: "a", Version: version}}}, nil
		}
	}
	full := func(version int64) func() (platform.Snapshot, error) {
		return func() (platform.Snapshot, error) {
			s, err := answer(1, version)()
			s.Full = true
			return s, err
		}
	}
	for _, tc := range []struct {
		name     string
		answers  []func() (platform.Snapshot, error)
		applied  []int64
		after    int64
		failures int
	}{
		{"an older table after history is gone", []func() (platform.Snapshot, error){answer(1, 10), errorOf(platform.ErrHistoryGone), answer(1, 8), answer(1, 10)}, []int64{10, 10}, 10, 1},
		{"an older table in place of changes", []func() (platform.Snapshot, error){answer(1, 10), full(8), full(11)}, []int64{10, 11}, 11, 1},
		{"a later epoch", []func() (platform.Snapshot, error){answer(1, 10), errorOf(platform.ErrHistoryGone), answer(2, 8)}, []int64{10, 8}, 8, 0},
		{"a store that states no epoch", []func() (platform.Snapshot, error){answer(0, 10), errorOf(platform.ErrHistoryGone), answer(0, 8)}, []int64{10, 8}, 8, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, confirms := newScriptedFollower(tc.answers...), 0
			s.Follower.confirm = func(time.Time) { confirms++ }
			s.run(t)
			var applied []int64
			for _, snap := range s.applied {
				applied = append(applied, snap.Version)
			}
			if !slices.Equal(applied, tc.applied) || s.version != tc.after || s.lost != tc.failures || confirms != len(tc.applied) {
				t.Errorf("applied versions %v with %d confirmations and %d failures, changes are asked for after %d; want %v, %d failures, after %d", applied, confirms, s.lost, s.version, tc.applied, tc.failures, tc.after)
			}
		})
	}
}
