package relay

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// mustApply merges an answer into a log.
func mustApply(t testing.TB, l *Log, s platform.Snapshot, full bool) {
	t.Helper()
	if err := l.apply(table, s, full); err != nil {
		t.Error(err)
	}
}

// rowsAt returns rows with values that name their versions; a negative version stands for a removed row.
func rowsAt(versions map[string]int64) []platform.Record {
	var out []platform.Record
	for name, v := range versions {
		out = append(out, platform.Record{Name: name, Version: max(v, -v), Value: fmt.Append(nil, v), Removed: v < 0})
	}
	return out
}

// liveRows describes the rows that a log relays, with their versions.
func liveRows(l *Log) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := []string{}
	for _, r := range l.liveSnapshot(l.table(table)).Records {
		out = append(out, fmt.Sprintf("%s=%s", r.Name, r.Value))
	}
	slices.Sort(out)
	return out
}

// An entry that knew a later version relayed the rows of an older whole table under the later version and age.
func TestOlderWholeTableIsNotRelayedAsTheNewest(t *testing.T) {
	start := time.Now()
	later := platform.Snapshot{Epoch: 1, Version: 10, AsOf: start, Records: rowsAt(map[string]int64{"config": 10, "evacuate/z1": 9, "i-1": -7, "i-2": 6})}
	for _, tc := range []struct {
		name    string
		answer  platform.Snapshot
		err     error
		version int64
		rows    []string
	}{
		{"an older whole table", platform.Snapshot{Epoch: 1, Version: 8, Records: rowsAt(map[string]int64{"config": 4, "i-1": 3, "i-2": 6})}, ErrOlderTable, 10, []string{"config=10", "evacuate/z1=9", "i-2=6"}},
		{"an older whole table without an epoch", platform.Snapshot{Version: 8, Records: rowsAt(map[string]int64{"config": 4})}, ErrOlderTable, 10, []string{"config=10", "evacuate/z1=9", "i-2=6"}},
		{"the same version", platform.Snapshot{Epoch: 1, Version: 10, Records: rowsAt(map[string]int64{"config": 4, "i-1": 3, "i-2": 6})}, nil, 10, []string{"config=10", "i-2=6"}},
		{"a later whole table", platform.Snapshot{Epoch: 1, Version: 12, Records: rowsAt(map[string]int64{"config": 11, "i-1": 12})}, nil, 12, []string{"config=11", "i-1=12"}},
		{"a lower version of a later epoch", platform.Snapshot{Epoch: 2, Version: 8, Records: rowsAt(map[string]int64{"config": 4, "i-1": 3})}, nil, 8, []string{"config=4", "i-1=3"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l := NewLog(time.Now)
			for _, s := range []struct {
				snap platform.Snapshot
				full bool
			}{{platform.Snapshot{Epoch: 1, Version: 6, AsOf: start.Add(-time.Second), Records: rowsAt(map[string]int64{"config": 4, "i-1": 3, "i-2": 6})}, true}, {later, false}} {
				mustApply(t, l, s.snap, s.full)
			}
			tc.answer.AsOf = start.Add(time.Second)
			if err := l.apply(table, tc.answer, true); !errors.Is(err, tc.err) {
				t.Errorf("error %v, want %v", err, tc.err)
			}
			a, _, err := l.tableReply(table)
			if got := liveRows(l); err != nil || a.version != tc.version || !slices.Equal(got, tc.rows) {
				t.Errorf("rows %v at version %d, %v; want %v at version %d", got, a.version, err, tc.rows, tc.version)
			}
			if confirmed := a.asOf.Equal(tc.answer.AsOf); confirmed != (tc.err == nil) {
				t.Errorf("confirmed by the answer: %t", confirmed)
			}
		})
	}
}

// A store that states no epoch and was restored has lower versions than it had. Its whole table replaces what is
// known; that of a peer doesn't.
func TestWholeTableOfRestoredStoreWithoutEpoch(t *testing.T) {
	l := NewLog(time.Now)
	older := platform.Snapshot{Version: 8, Records: rowsAt(map[string]int64{"config": 4})}
	if err := l.applyStored(table, platform.Snapshot{Version: 10, Records: rowsAt(map[string]int64{"config": 10, "i-1": 9})}, true); err != nil {
		t.Fatal(err)
	}
	if err := l.apply(table, older, true); !errors.Is(err, ErrOlderTable) {
		t.Errorf("the older table of a peer: %v, want %v", err, ErrOlderTable)
	}
	if err := l.applyStored(table, older, true); err != nil {
		t.Error(err)
	}
	if a, _, err := l.tableReply(table); err != nil || a.version != 8 || !slices.Equal(liveRows(l), []string{"config=4"}) {
		t.Errorf("rows %v at version %d, %v; want those of the store at version 8", liveRows(l), a.version, err)
	}
}

// Changes without the table that they belong to don't make a later whole table count as newer than it is.
func TestChangesOfAnUnreadTableConfirmNothing(t *testing.T) {
	l, start := NewLog(time.Now), time.Now()
	for _, s := range []struct {
		snap platform.Snapshot
		full bool
	}{
		{platform.Snapshot{Epoch: 1, Version: 9, AsOf: start}, false},
		{platform.Snapshot{Epoch: 1, Version: 10, AsOf: start.Add(time.Second), Records: rowsAt(map[string]int64{"i-1": 10})}, false},
		{platform.Snapshot{Epoch: 1, Version: 8, AsOf: start, Records: rowsAt(map[string]int64{"config": 4})}, true},
	} {
		mustApply(t, l, s.snap, s.full)
	}
	if a, _, err := l.tableReply(table); err != nil || a.version != 8 || !a.asOf.Equal(start) {
		t.Errorf("version %d, %s newer than it was read, %v", a.version, a.asOf.Sub(start), err)
	}
}

// The pages of a table may be of different moments, so rows may be later than the version of the table. A later read
// of the table at a version before them doesn't remove them.
func TestRowWrittenWhilePagesAreReadIsKept(t *testing.T) {
	l := NewLog(time.Now)
	for _, rows := range []map[string]int64{{"config": 4, "i-1": 9}, {"config": 4}} {
		mustApply(t, l, platform.Snapshot{Epoch: 1, Version: 8, Records: rowsAt(rows)}, true)
	}
	if got, want := liveRows(l), []string{"config=4", "i-1=9"}; !slices.Equal(got, want) {
		t.Errorf("rows %v, want %v", got, want)
	}
}

// An entry listed changes across a time of which it had read only the whole table at the end. Peers that knew a row
// from that time were not told that it had been removed.
func TestChangesAcrossAnUnfollowedTimeAreNotListed(t *testing.T) {
	l := NewLog(time.Now)
	read := func(version int64, full bool, rows map[string]int64) {
		mustApply(t, l, platform.Snapshot{Epoch: 1, Version: version, Records: rowsAt(rows)}, full)
	}
	read(5, true, map[string]int64{"config": 4})
	read(8, false, map[string]int64{"config": 8})
	read(8, true, map[string]int64{"config": 8})
	// evacuate/z1 was written at 10 and removed at 12.
	read(20, true, map[string]int64{"config": 8, "i-1": 15})
	read(22, false, map[string]int64{"i-1": 22})
	for after, want := range map[int64]error{4: errHistoryTooShort, 5: nil, 7: nil, 8: nil, 9: errHistoryTooShort, 11: errHistoryTooShort, 19: errHistoryTooShort, 20: nil, 21: nil, 22: nil} {
		if _, _, err := l.changesReply(table, after, 1); !errors.Is(err, want) || want == nil && err != nil {
			t.Errorf("changes after %d: %v, want %v", after, err, want)
		}
	}
	mustApply(t, l, platform.Snapshot{Epoch: 2, Version: 9, Records: rowsAt(map[string]int64{"config": 9})}, true)
	if _, _, err := l.changesReply(table, 9, 2); err != nil {
		t.Errorf("changes of the next epoch: %v", err)
	}
}

// An entry that read the whole table from a peer that is behind passed the older rows on, as the newest version, to
// an entry that started. That one asked for the changes after the version and never got the later rows.
func TestEntryThatStartsGetsNoOlderTableAsTheNewest(t *testing.T) {
	d := newDeployment(t, "behind", "ahead", "starts")
	behind, ahead, starts := d.entries[0], d.entries[1], d.entries[2]
	for _, e := range d.entries {
		e.store.down = true
	}
	apply := func(e *entryFixture, version int64, full bool, rows map[string]int64) {
		mustApply(t, e.log, platform.Snapshot{Epoch: 1, Version: version, AsOf: time.Now(), Records: rowsAt(rows)}, full)
	}
	for _, e := range d.entries[:2] {
		apply(e, 8, true, map[string]int64{"config": 4, "i-1": 3})
	}
	apply(ahead, 10, false, map[string]int64{"config": 10, "i-1": -9})
	if snap, err := ahead.relayed.List(t.Context(), table); err == nil {
		t.Errorf("the older table at version %d counts as the newest", snap.Version)
	}
	if ahead.source.OlderTables() == 0 {
		t.Error("no older table was counted")
	}
	behind.server.Close()
	snap, err := starts.relayed.List(t.Context(), table)
	if err != nil {
		t.Fatal(err)
	}
	if got := liveRows(starts.log); snap.Version != 10 || !slices.Equal(got, []string{"config=10"}) {
		t.Errorf("the entry that starts has %v at version %d, want the later rows", got, snap.Version)
	}
}
