package belief

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestPanickingDecoderKeepsTheLastTable checks that a panic of the decoder counts as an invalid
// table. Otherwise such a table would crash each entry that reads it, and again after each restart.
func TestPanickingDecoderKeepsTheLastTable(t *testing.T) {
	r := NewRoutes("config", func(value []byte) (*routetable.Table, error) {
		return routetable.New(routetable.Version(value[0]), nil, nil, routetable.Limits{}, nil), nil
	}, events.Nop(), time.Now)
	for i, value := range [][]byte{{7}, {}} {
		r.Apply(platform.Snapshot{Records: []platform.Record{{Name: "config", Version: int64(i + 1), Value: value}}}, true)
	}
	if table, _ := r.Current(); table == nil || table.Version() != 7 {
		t.Errorf("%v is in force, want the last good table", table)
	}
}

// TestUnusableTableConfirmsNothing checks that answers of the store do not confirm the table in
// force while a later one cannot be used. Otherwise a key that only the unusable table revokes
// would be accepted for as long as that table is stored.
func TestUnusableTableConfirmsNothing(t *testing.T) {
	r := NewRoutes("config", func(value []byte) (*routetable.Table, error) {
		return routetable.New(routetable.Version(value[0]), nil, nil, routetable.Limits{}, nil), nil
	}, events.Nop(), time.Now)
	start := time.Now()
	offer := func(row int64, value ...byte) {
		r.Apply(platform.Snapshot{Records: []platform.Record{{Name: "config", Version: row, Value: value}}}, true)
	}
	expect := func(what string, want time.Time) {
		t.Helper()
		if _, confirmed := r.Current(); !confirmed.Equal(want) {
			t.Errorf("%s: confirmed %s after the start, want %s", what, confirmed.Sub(start), want.Sub(start))
		}
	}
	offer(1, 7)
	r.ConfirmCurrent(start, Evidence{})
	expect("a valid table", start)
	offer(2)
	r.ConfirmCurrent(start.Add(time.Second), Evidence{})
	expect("an unusable table", start)
	offer(3, 8)
	r.ConfirmCurrent(start.Add(2*time.Second), Evidence{})
	expect("a valid table again", start.Add(2*time.Second))
}
