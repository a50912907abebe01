package fleet

import (
	"testing"
	"time"
)

// An older row of an upstream replaced what a later one had said, under the later version.
func TestOlderRowKeepsWhatALaterOneSaid(t *testing.T) {
	later := Record{Name: "a", Version: 9, Service: "llm", Address: "10.0.0.1:1", Slots: 4, Software: "v2"}
	older := Record{Name: "a", Version: 6, Service: "llm", Address: "10.0.0.2:1", Slots: 2, Software: "v1", ColdFor: time.Minute}
	leaves := older
	leaves.Leaving = true
	for _, tc := range []struct {
		name     string
		row      Record
		restored bool
		want     Record
		state    State
	}{
		{"an older row", older, false, later, Serving},
		{"an older row that says that it leaves", leaves, false, later, Leaving},
		{"an older row of a restored store", older, true, older, Serving},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{later}, nil, true, time.Time{})
			if tc.restored {
				f.ApplyRestored([]Record{tc.row}, nil, time.Time{})
			} else {
				f.Update([]Record{tc.row}, nil, true, time.Time{})
			}
			got, _ := f.Get("a")
			tc.want.ID = got.ID
			if got.Record != tc.want || got.State() != tc.state {
				t.Errorf("%+v in state %v, want %+v in state %v", got.Record, got.State(), tc.want, tc.state)
			}
			if cold := got.coldUntil.After(f.at); cold != tc.restored {
				t.Errorf("cold: %t", cold)
			}
		})
	}
}
