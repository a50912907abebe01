package relay

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/platform"
)

// An entry that lost the store kept its old table although its peers had a later one: they had read the table
// after its version, for example since they had restarted, and so could not list the changes since then.
func TestEntryBehindTheHistoryOfItsPeersGetsTheirTable(t *testing.T) {
	d := newDeployment(t, "a", "b", "c")
	d.list()
	row := func(name string, version int64) platform.Record {
		return platform.Record{Name: name, Version: version, Value: []byte("2")}
	}
	for _, e := range d.entries[:2] {
		e.log.tables = map[string]*tableLog{}
		mustApply(t, e.log, platform.Snapshot{Version: 9, AsOf: time.Now(), Records: []platform.Record{row("b", 9)}}, true)
	}
	behind := d.entries[2]
	behind.store.down = true
	snap, err := behind.relayed.Changes(t.Context(), table, 5, 0)
	if err != nil {
		t.Fatal(err)
	}
	if !snap.Full || snap.Version != 9 || len(snap.Records) != 1 {
		t.Errorf("version %d with %d rows, whole table %t; want the whole table at version 9", snap.Version, len(snap.Records), snap.Full)
	}
	if a, _, err := behind.log.tableReply(table); err != nil || a.version != 9 {
		t.Errorf("version %d in the log, error %v, want 9", a.version, err)
	}
}

// A table that the peers read too long ago is not used in place of changes.
func TestEntryBehindTheHistoryOfStalePeersGetsNothing(t *testing.T) {
	d := newDeployment(t, "a", "b")
	d.list()
	d.entries[0].log.tables = map[string]*tableLog{}
	mustApply(t, d.entries[0].log, platform.Snapshot{Version: 9, AsOf: time.Now().Add(-time.Minute), Records: []platform.Record{{Name: "b", Version: 9}}}, true)
	behind := d.entries[1]
	behind.store.down = true
	if snap, err := behind.relayed.Changes(t.Context(), table, 5, 0); err == nil {
		t.Errorf("got version %d as of %s ago", snap.Version, time.Since(snap.AsOf))
	}
}
