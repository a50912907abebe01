package fleet

import (
	"strconv"
	"testing"
	"time"
)

// TestClosedZoneGetsNoNewWork checks that neither the upstreams of a closed zone nor new ones there
// get work, with or without an outage, until the zone is open again.
func TestClosedZoneGetsNoNewWork(t *testing.T) {
	f := newFixture()
	recordIn := func(id, zone string) Record {
		r := record(id)
		r.Zone = zone
		return r
	}
	check := func(when string, want int) {
		t.Helper()
		some, _ := f.Sample("llm", 1, func(int) int { return 0 })
		if got := len(f.Available("llm")); got != want || len(some) != min(want, 1) {
			t.Errorf("%s: Of returns %d upstreams and Some %d, want %d", when, got, len(some), want)
		}
	}
	f.Update([]Record{recordIn("a", "z1"), recordIn("b", "z1"), recordIn("c", "z2"), recordIn("d", "z2")}, nil, true, time.Time{})
	check("all open", 4)
	f.CloseZones(map[string]bool{"z1": true})
	check("one closed", 2)
	f.Update([]Record{recordIn("e", "z1")}, nil, false, time.Time{})
	check("another upstream joins there", 2)
	f.Update(nil, []Removal{{Name: "a"}}, false, f.at.Add(time.Second))
	check("one there lapses", 2)
	f.CloseZones(map[string]bool{"z1": true, "z2": true, "nowhere": true})
	check("all closed", 0)
	f.CloseZones(nil)
	check("all open again", 4)
	if len(f.departed) != 0 {
		t.Errorf("%v were reported as leaving", f.departed)
	}
}

// Guards against work that grows with the product of the closed zones and the upstreams: both are rows that others
// write.
func TestManyClosedZonesTakeNoLongerThanManyUpstreams(t *testing.T) {
	const n = 4000
	f, records, closed := newFixture(), make([]Record, n), map[string]bool{}
	for i := range records {
		records[i] = record(strconv.Itoa(i))
		closed[strconv.Itoa(i)] = true
	}
	began := time.Now()
	f.Update(records, nil, true, time.Time{})
	joined := time.Since(began)
	least := time.Hour
	for range 5 {
		began = time.Now()
		f.CloseZones(closed)
		least = min(least, time.Since(began))
		f.CloseZones(nil)
	}
	if least > 2*joined {
		t.Errorf("%d zones closed in %s, as many upstreams joined in %s", n, least, joined)
	}
}
