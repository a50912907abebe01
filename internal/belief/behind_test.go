package belief

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestEntryStartedAfterARestoreLearnsTheLaterTable guards against an entry that starts after the
// store was restored with an older route table. Unless it learns the later table from the other
// entries, it uses the older one until the later one is written again.
func TestEntryStartedAfterARestoreLearnsTheLaterTable(t *testing.T) {
	row := func(version int64, text string) platform.Record {
		return platform.Record{Name: "config", Version: version, Value: []byte(text)}
	}
	whole := func(rows ...platform.Record) platform.Snapshot { return platform.Snapshot{Records: rows} }
	newRoutes := func(s platform.Snapshot) *Routes {
		r := NewRoutes("config", decodeVersion, events.Nop(), time.Now)
		r.Apply(s, true)
		return r
	}
	up := newRoutes(whole(row(9, "59")))
	if _, ok := up.NewerThanStore(); ok {
		t.Error("a row is kept although the store holds it")
	}
	up.Apply(platform.Snapshot{Restored: true, Records: []platform.Record{row(5, "52")}}, true)
	kept, ok := up.NewerThanStore()
	if !ok || string(kept.Value) != "59" {
		t.Fatalf("kept is %q, %v; want the later table", kept.Value, ok)
	}
	started := newRoutes(whole(row(5, "52")))
	started.Adopt("up", []platform.Record{kept})
	if table, _ := started.Current(); table.Version() != 59 {
		t.Errorf("version %d is in force, want 59", table.Version())
	}
	if kept, ok := started.NewerThanStore(); !ok || string(kept.Value) != "59" {
		t.Error("the entry that learned the later table does not keep its row")
	}
	started.Adopt("other", []platform.Record{row(5, "52"), row(6, "x"), {Name: "other", Value: []byte("70")}})
	if table, _ := started.Current(); table.Version() != 59 {
		t.Errorf("version %d is in force after older and invalid tables, want 59", table.Version())
	}
	for _, r := range []*Routes{up, started} {
		r.Apply(whole(row(8, "59")), false)
		if _, ok := r.NewerThanStore(); ok {
			t.Error("a row is kept although the store holds it again")
		}
	}
}

func TestStaleTableIsReportedOnlyAfterADelay(t *testing.T) {
	var b StaleTableDetector
	at := time.Now()
	for _, tc := range []struct {
		name       string
		own, heard int
		after      time.Duration
		// unconfirmed is how long ago the store last confirmed the version in force as the newest.
		unconfirmed time.Duration
		want        bool
	}{
		{"same version", 5, 5, 0, 0, false},
		{"later version", 5, 6, 0, 0, false},
		{"later version before the delay has passed", 5, 6, askDelay / 2, 0, false},
		{"the store is still delivering the change", 5, 6, askDelay, 2 * askDelay, false},
		{"after the delay", 5, 7, 0, 0, true},
		{"directly after it was asked for", 5, 7, 0, 0, false},
		{"older version", 5, 4, askDelay, 0, false},
		{"after another delay", 5, 7, askDelay, 0, true},
		{"behind again after catching up", 7, 8, askDelay, 0, false},
	} {
		at = at.Add(tc.after)
		if got := b.Observe(routetable.Version(tc.own), routetable.Version(tc.heard), at.Add(-tc.unconfirmed), at); got != tc.want {
			t.Errorf("%s: asks %v, want %v", tc.name, got, tc.want)
		}
	}
}
