package belief

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// A table that this program fails over ended each entry that read it, and again at its next
// start: decoders return errors for what they know, and a panic of one ended the process.
func TestTableThatEndsNoReader(t *testing.T) {
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

// A key that only an unusable table takes away was served for as long as that table stood: each
// answer of the store confirmed the one before it as the newest.
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
	r.ConfirmCurrent(start)
	expect("a good table", start)
	offer(2)
	r.ConfirmCurrent(start.Add(time.Second))
	expect("an unusable one", start)
	offer(3, 8)
	r.ConfirmCurrent(start.Add(2 * time.Second))
	expect("a good one again", start.Add(2*time.Second))
}
