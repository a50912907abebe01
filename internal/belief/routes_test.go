package belief

import (
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestTableThatCannotBeUsed: the last good one stays, and each version of the row is told
// once.
func TestTableThatCannotBeUsed(t *testing.T) {
	errBad := errors.New("bad")
	decode := func(value []byte) (*routetable.Table, error) {
		if string(value) == "bad" {
			return nil, errBad
		}
		return routetable.New(routetable.Version(len(value)), nil, nil, routetable.Limits{}, nil), nil
	}
	rec := events.Nop()
	r := NewRoutes("config", decode, rec, time.Now)
	for _, tc := range []struct {
		name    string
		version int64
		value   string
		inForce routetable.Version
		lines   int
	}{
		{"before any", 1, "bad", 0, 1},
		{"the same again", 1, "bad", 0, 1},
		{"a good one", 2, "x", 1, 1},
		{"turned bad", 3, "bad", 1, 2},
		{"in the next answer too", 3, "bad", 1, 2},
		{"another bad one", 4, "bad", 1, 3},
		{"good again", 5, "xx", 2, 3},
		{"bad once more", 6, "bad", 2, 4},
	} {
		r.Apply(platform.Snapshot{Records: []platform.Record{
			{Name: "other", Value: []byte("bad")}, {Name: "config", Version: tc.version, Value: []byte(tc.value)},
		}}, true)
		var got routetable.Version
		if table, _ := r.Current(); table != nil {
			got = table.Version()
		}
		lines := 0
		for _, e := range rec.Select("") {
			if e.Event == events.RoutesRejected {
				lines++
			}
		}
		if got != tc.inForce || lines != tc.lines {
			t.Errorf("%s: version %d with %d lines, want %d with %d", tc.name, got, lines, tc.inForce, tc.lines)
		}
	}
}
