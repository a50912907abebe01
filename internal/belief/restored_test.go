package belief

import (
	"strconv"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestOperatorsRowsAfterTheStoreWasRestored covers a restore from a backup with an older route
// table or none, and without changes to closed zones since. The later table stays in force, and
// zones closed since the backup stay closed until the table is read once more.
func TestOperatorsRowsAfterTheStoreWasRestored(t *testing.T) {
	restored := func(records ...platform.Record) platform.Snapshot {
		return platform.Snapshot{Records: records, Restored: true}
	}
	for _, tc := range []struct {
		name string
		read platform.Snapshot
		want routetable.Version
	}{
		{"an older table", restored(platform.Record{Name: "config", Version: 3, Value: []byte("5")}), 7},
		{"no table", restored(), 7},
		{"the same table", restored(platform.Record{Name: "config", Version: 9, Value: []byte("7")}), 7},
		{"a later table", restored(platform.Record{Name: "config", Version: 4, Value: []byte("8")}), 8},
		{"an older table that is written after the restore", platform.Snapshot{Records: []platform.Record{{Name: "config", Version: 5, Value: []byte("6")}}}, 7},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRoutes("config", decodeVersion, events.Nop(), time.Now)
			r.Apply(platform.Snapshot{Records: []platform.Record{{Name: "config", Version: 9, Value: []byte("7")}}}, true)
			r.Apply(tc.read, true)
			if table, _ := r.Current(); table.Version() != tc.want {
				t.Errorf("version %d is in force, want %d", table.Version(), tc.want)
			}
		})
	}
	var closed map[string]bool
	z := NewZones(func(row string) (string, bool) { return row, true }, func(c map[string]bool) { closed = c })
	z.Apply(platform.Snapshot{Records: []platform.Record{{Name: "since"}}}, true)
	z.Apply(restored(platform.Record{Name: "before"}), true)
	if !closed["since"] || !closed["before"] {
		t.Errorf("closed are %v, want both until the table is read once more", closed)
	}
	z.Apply(platform.Snapshot{Records: []platform.Record{{Name: "before"}}}, true)
	if closed["since"] {
		t.Error("a zone whose row was not written again stays closed")
	}
}

func decodeVersion(value []byte) (*routetable.Table, error) {
	n, err := strconv.Atoi(string(value))
	if err != nil {
		return nil, err
	}
	return routetable.New(routetable.Version(n), nil, nil, routetable.Limits{}, nil), nil
}
