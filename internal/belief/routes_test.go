package belief

import (
	"errors"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestUnusableTableIsLoggedOncePerVersion checks that the last valid table stays in force when a
// row cannot be used, and that each version of such a row is logged once.
func TestUnusableTableIsLoggedOncePerVersion(t *testing.T) {
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
		{"invalid before any valid one", 1, "bad", 0, 1},
		{"same invalid row again", 1, "bad", 0, 1},
		{"valid", 2, "x", 1, 1},
		{"invalid", 3, "bad", 1, 2},
		{"same invalid row in the next answer", 3, "bad", 1, 2},
		{"another invalid version", 4, "bad", 1, 3},
		{"valid again", 5, "xx", 2, 3},
		{"invalid again", 6, "bad", 2, 4},
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
			t.Errorf("%s: version %d with %d log lines, want %d with %d", tc.name, got, lines, tc.inForce, tc.lines)
		}
	}
}
