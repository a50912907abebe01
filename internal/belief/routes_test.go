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
		lines := countEvents(rec, events.RoutesRejected)
		if got != tc.inForce || lines != tc.lines {
			t.Errorf("%s: version %d with %d log lines, want %d with %d", tc.name, got, lines, tc.inForce, tc.lines)
		}
	}
}

func TestEvidenceOfConfirmations(t *testing.T) {
	start := time.Now()
	rec := events.Nop()
	r := NewRoutes("config", decodeVersion, rec, func() time.Time { return start })
	r.Apply(platform.Snapshot{Records: []platform.Record{{Name: "config", Version: 1, Value: []byte("7")}}}, true)
	for _, step := range []struct {
		at         time.Duration
		by         Evidence
		want       string
		onlyGossip int
	}{
		{0, Evidence{Source: FromStore}, "store", 0},
		{time.Second, Evidence{FromRelay, "e1"}, "relay e1", 0},
		{2 * time.Second, Evidence{FromGossip, "e2"}, "gossip e2", 0},
		{4 * time.Second, Evidence{FromGossip, "e2"}, "gossip e2", 1},
		{5 * time.Second, Evidence{FromGossip, "e3"}, "gossip e3", 1},
		{4500 * time.Millisecond, Evidence{Source: FromStore}, "gossip e3", 1},
		{6 * time.Second, Evidence{FromRelay, "e1"}, "relay e1", 1},
		{9 * time.Second, Evidence{FromGossip, "e2"}, "gossip e2", 2},
	} {
		if step.by.Source == FromGossip {
			r.Confirm(7, start.Add(step.at), step.by.Entry)
		} else {
			r.ConfirmCurrent(start.Add(step.at), step.by)
		}
		if got := r.Read().Evidence.String(); got != step.want {
			t.Errorf("confirmed by %q at %s, want %q", got, step.at, step.want)
		}
		if got := countEvents(rec, events.RoutesOnlyGossip); got != step.onlyGossip {
			t.Errorf("%d times only by gossip at %s, want %d", got, step.at, step.onlyGossip)
		}
	}
	if got, want := r.Confirmations(), [Sources]int{1, 2, 4}; got != want {
		t.Errorf("confirmations by source %v, want %v", got, want)
	}
}

func countEvents(rec *events.Recorder, id events.ID) (n int) {
	for _, e := range rec.Select("") {
		if e.Event == id {
			n++
		}
	}
	return n
}
