package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
)

// An answer that the store held proves only that the copy was up to date when the call was sent. Without a second
// call, routes would count as up to 1.4 s older than they are.
func TestHeldAnswerIsRechecked(t *testing.T) {
	const hold, roundTrip = 1400 * time.Millisecond, 10 * time.Millisecond
	changed := []platform.Record{{Name: "a", Version: 6}}
	for _, tc := range []struct {
		name string
		// changes holds the records of each answer of the store; after is when those of a held call change.
		changes [][]platform.Record
		after   time.Duration
		// fails is the index of an answer that fails, -1 for none, and slow how much longer calls take.
		fails int
		slow  time.Duration
		waits []time.Duration
		ages  []time.Duration
	}{
		{"no changes", [][]platform.Record{nil, nil}, 0, -1, 0, []time.Duration{hold, 0}, []time.Duration{roundTrip}},
		{"changes at once", [][]platform.Record{changed}, 0, -1, 0, []time.Duration{hold}, []time.Duration{roundTrip}},
		{"changes after a time", [][]platform.Record{changed, nil}, time.Second, -1, 0, []time.Duration{hold, 0}, []time.Duration{time.Second + roundTrip, roundTrip}},
		{"changes after a time, and then again", [][]platform.Record{changed, changed, nil, nil}, time.Second, -1, 0, []time.Duration{hold, 0, hold, 0}, []time.Duration{time.Second + roundTrip, roundTrip, roundTrip}},
		{"the second call fails", [][]platform.Record{nil, nil}, 0, 1, 0, []time.Duration{hold, 0}, []time.Duration{hold + roundTrip}},
		{"the held call fails", [][]platform.Record{nil, nil}, 0, 0, 0, []time.Duration{hold, 0}, []time.Duration{roundTrip}},
		{"a slow store", [][]platform.Record{nil, nil, nil, nil}, 0, -1, 600 * time.Millisecond, []time.Duration{hold, 0, hold - 600*time.Millisecond - roundTrip, 0}, []time.Duration{600*time.Millisecond + roundTrip, 600*time.Millisecond + roundTrip}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var waits, ages []time.Duration
				answered := 0
				direct := belief.WithAnswerTimes(&platform.Store{Changes: func(_ context.Context, _ string, _ int64, wait time.Duration) (platform.Snapshot, error) {
					i := len(waits)
					waits = append(waits, wait)
					held := wait
					if len(tc.changes[i]) > 0 {
						held = min(wait, tc.after)
					}
					time.Sleep(held + roundTrip + tc.slow)
					answered++
					if i == tc.fails {
						return platform.Snapshot{}, errDown
					}
					return platform.Snapshot{Version: 6, Records: tc.changes[i]}, nil
				}}, time.Now, table)
				s := New(Settings{Name: "e", Delegates: 1, Rechecked: []string{table}, RecheckAge: 500 * time.Millisecond, StoreSlack: time.Second}, direct, NewLog(time.Now), func() []Peer { return nil }, closedChannel(), events.Nop(), time.Now)
				for answered < len(tc.changes) {
					snap, err := s.changes(t.Context(), table, 5, hold)
					if err != nil {
						t.Fatal(err)
					}
					ages = append(ages, time.Since(snap.AsOf))
				}
				if !slices.Equal(waits, tc.waits) || !slices.Equal(ages, tc.ages) {
					t.Errorf("calls held for %v, answers %v old; want %v and %v", waits, ages, tc.waits, tc.ages)
				}
			})
		})
	}
}

// A peer whose store is slow may have had a change for longer than MaxAge when it answers. The entry that asked
// must not wait for the next answer.
func TestOldAnswerWithChangesIsUsed(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	a, b := d.entries[0], d.entries[1]
	a.store.down = true
	mustApply(t, a.log, platform.Snapshot{Version: 6, AsOf: time.Now().Add(-time.Minute), Records: []platform.Record{{Name: "a", Version: 6, Value: []byte("2")}}}, false)
	a.log.table(table).asOf = time.Now().Add(-time.Minute)
	b.store.down = true
	snap, err := b.relayed.Changes(t.Context(), table, 5, 0)
	if err != nil || len(snap.Records) != 1 {
		t.Fatalf("%d changes, error %v, want the change", len(snap.Records), err)
	}
	if age := time.Since(snap.AsOf); age < time.Minute {
		t.Errorf("the change counts as %s old, want a minute at least", age)
	}
	if _, err := b.relayed.Changes(t.Context(), table, 6, 0); err == nil {
		t.Error("an old answer without changes is used")
	}
}
