package fleet

import (
	"testing"
	"time"
)

// TestClosedZoneGetsNothing: neither what serves there nor what comes there, in calm or
// around an outage, until the zone is open again.
func TestClosedZoneGetsNothing(t *testing.T) {
	f := newFixture()
	in := func(id, zone string) Record {
		r := record(id)
		r.Zone = zone
		return r
	}
	check := func(when string, want int) {
		t.Helper()
		some, _ := f.Some("llm", 1, func(int) int { return 0 })
		if got := len(f.Of("llm")); got != want || len(some) != min(want, 1) {
			t.Errorf("%s: %d upstreams and %d of a draw take work, want %d", when, got, len(some), want)
		}
	}
	f.Update([]Record{in("a", "z1"), in("b", "z1"), in("c", "z2"), in("d", "z2")}, nil, true, time.Time{})
	check("all open", 4)
	f.CloseZones(map[string]bool{"z1": true})
	check("one closed", 2)
	f.Update([]Record{in("e", "z1")}, nil, false, time.Time{})
	check("another upstream comes there", 2)
	f.Update(nil, []Gone{{Name: "a"}}, false, f.at.Add(time.Second))
	check("one there lapses", 2)
	f.CloseZones(map[string]bool{"z1": true, "z2": true, "nowhere": true})
	check("all closed", 0)
	f.CloseZones(nil)
	check("all open again", 4)
	if len(f.left) != 0 {
		t.Errorf("%v were taken as leaving", f.left)
	}
}
