package fleet

import (
	"slices"
	"testing"
	"time"
)

// After a restore from a backup, the versions of the store are lower than those already seen.
// Guards against a restarted upstream that gets no work, an upstream that keeps its work without a
// row, and rows of the backup that bring back upstreams that had left.
func TestFleetAfterTheStoreWasRestored(t *testing.T) {
	const grace = 5 * time.Second
	restore := func(f *fixture, records ...Record) { f.ApplyRestored(records, nil, f.at.Add(grace)) }
	writeRows := func(f *fixture, records ...Record) { f.Update(records, nil, false, f.at.Add(grace)) }
	readTable := func(f *fixture, records ...Record) {
		f.at = f.at.Add(grace)
		f.Sweep()
		f.Update(records, nil, true, f.at)
	}
	other := incarnationRecord("other", 1, 1)
	for _, tc := range []struct {
		name string
		// before is applied before the restore; nil for nothing.
		before func(f *fixture)
		after  func(f *fixture)
		// servingBorn is the start time of the incarnation of a that gets new work; 0 if none does.
		servingBorn int64
	}{
		{"it serves as before", nil, func(f *fixture) { restore(f, other, incarnationRecord("a", 100, 30)) }, 100},
		{"it restarts after the restore", nil, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			writeRows(f, incarnationRecord("a", 200, 37))
		}, 200},
		{"it restarted before the table was read", nil, func(f *fixture) { restore(f, other, incarnationRecord("a", 200, 37)) }, 200},
		{"it restarts with a clock that jumped back", nil, func(f *fixture) {
			restore(f, other)
			writeRows(f, incarnationRecord("a", 60, 38))
		}, 60},
		{"it restarted with a clock that jumped back before the table was read", nil, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 60, 37))
			readTable(f, other, incarnationRecord("a", 60, 37))
		}, 60},
		{"it restarts after its clock jumped back and the backup has the previous incarnation", func(f *fixture) { writeRows(f, incarnationRecord("a", 60, 52)) }, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			writeRows(f, incarnationRecord("a", 60, 38))
		}, 60},
		{"its row is removed", nil, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			f.Update(nil, []Removal{{Name: "a", Version: 38}}, false, time.Time{})
		}, 0},
		{"its row shows again that it is leaving", nil, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			writeRows(f, leavingIncarnationRecord(100, 38))
		}, 0},
		{"the backup has an earlier incarnation", nil, func(f *fixture) { restore(f, other, incarnationRecord("a", 50, 30)) }, 100},
		{"the backup predates the leave in its row", func(f *fixture) { writeRows(f, leavingIncarnationRecord(100, 51)) }, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			readTable(f, other, incarnationRecord("a", 100, 30))
		}, 0},
		{"the backup predates the leave in its answer", func(f *fixture) { f.AnsweredLeaving(f.eligible("a")[0]) }, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			writeRows(f, incarnationRecord("a", 100, 38))
		}, 0},
		{"the backup predates the removal of its row", func(f *fixture) { f.Update(nil, []Removal{{Name: "a", Version: 51}}, false, time.Time{}) }, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
		}, 0},
		{"the backup predates the removal of its row, which is written again", func(f *fixture) { f.Update(nil, []Removal{{Name: "a", Version: 51}}, false, time.Time{}) }, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			writeRows(f, incarnationRecord("a", 100, 38))
		}, 100},
		{"the backup predates the removal of its row, and a later table has it", func(f *fixture) { f.Update(nil, []Removal{{Name: "a", Version: 51}}, false, time.Time{}) }, func(f *fixture) {
			restore(f, other, incarnationRecord("a", 100, 30))
			readTable(f, other, incarnationRecord("a", 100, 30))
		}, 100},
		{"the backup predates its start", nil, func(f *fixture) { restore(f, other) }, 0},
		{"the backup predates its start, and its row is written again", nil, func(f *fixture) {
			restore(f, other)
			writeRows(f, incarnationRecord("a", 100, 38))
		}, 100},
		{"the backup predates its start, and its row is not written again", nil, func(f *fixture) {
			restore(f, other)
			readTable(f, other)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{other, incarnationRecord("a", 100, 50)}, nil, true, time.Time{})
			if tc.before != nil {
				tc.before(f)
			}
			tc.after(f)
			var want []string
			if tc.servingBorn != 0 {
				want = []string{incarnationID("a", tc.servingBorn)}
			}
			if got := f.eligible("a"); !slices.Equal(got, want) {
				t.Errorf("work goes to %v, want %v", got, want)
			}
			if u, _ := f.Get(incarnationID("other", 1)); u.State() != Serving {
				t.Error("the other upstream does not serve")
			}
		})
	}
}

// Guards against a service without upstreams after a restore: an upstream that started after the
// backup was made gets work while no other can take it.
func TestUpstreamMissingFromTheBackupServesIfNoOtherDoes(t *testing.T) {
	f := newFixture()
	f.Update([]Record{incarnationRecord("a", 100, 50)}, nil, true, time.Time{})
	f.ApplyRestored(nil, nil, f.at.Add(5*time.Second))
	if got := f.eligible("a"); len(got) != 1 {
		t.Errorf("work goes to %v, want the upstream that is there", got)
	}
}
