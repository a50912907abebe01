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
