package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// incarnationRecord returns a record of one incarnation of an upstream.
func incarnationRecord(name string, born, version int64) Record {
	r := record(name)
	r.Born, r.Version = born, version
	return r
}

// leavingIncarnationRecord returns a record of an incarnation of upstream a that is leaving.
func leavingIncarnationRecord(born, version int64) Record {
	r := incarnationRecord("a", born, version)
	r.Leaving = true
	return r
}

// eligible returns the IDs of the upstreams with the given name that take new work.
func (f *fixture) eligible(name string) []string {
	var out []string
	for _, u := range f.Available("llm") {
		if u.Name == name {
			out = append(out, u.ID)
		}
	}
	return out
}

// TestRestartUnderTheSameName checks that a restarted upstream gets work at once and with a clean
// history, as under a new name, whatever was known about its previous incarnation.
func TestRestartUnderTheSameName(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *fixture, id string)
	}{
		{"no previous incarnation", nil},
		{"it was serving", func(*fixture, string) {}},
		{"its record showed that it was leaving", func(f *fixture, _ string) {
			f.Update([]Record{leavingIncarnationRecord(100, 2)}, nil, false, time.Time{})
		}},
		{"it reported that it was leaving", func(f *fixture, id string) { f.ReportedLeaving(id) }},
		{"it reported that it was leaving and its row was removed", func(f *fixture, id string) {
			f.ReportedLeaving(id)
			f.Update(nil, []Removal{{Name: "a", Version: 3}}, false, time.Time{})
		}},
		{"it left and was no longer kept", func(f *fixture, id string) {
			f.ReportedLeaving(id)
			f.Update(nil, []Removal{{Name: "a", Version: 3}}, false, time.Time{})
			f.at = f.at.Add(removedRetention)
			f.Sweep()
		}},
		{"another entry marked it as leaving", func(f *fixture, id string) { f.MarkLeaving(id, "b") }},
		{"it lapsed during an outage", func(f *fixture, _ string) {
			f.Update([]Record{incarnationRecord("other", 1, 1)}, nil, true, f.at.Add(time.Minute))
		}},
		{"its lapse ended", func(f *fixture, _ string) {
			f.Update(nil, []Removal{{Name: "a", Version: 3}}, false, f.at.Add(time.Second))
			f.at = f.at.Add(2 * time.Second)
			f.Sweep()
		}},
		{"it was back after a lapse", func(f *fixture, _ string) {
			f.Update(nil, []Removal{{Name: "a", Version: 3}}, false, f.at.Add(time.Second))
			f.Update([]Record{incarnationRecord("a", 100, 4)}, nil, false, f.at.Add(time.Second))
		}},
		{"its connection broke", func(f *fixture, id string) { f.RecordOutcome(id, Broken) }},
		{"it had a fault", func(f *fixture, id string) { f.RecordOutcome(id, Faulty) }},
		{"another entry saw a fault", func(f *fixture, id string) { f.PeerFaults("b", map[string]time.Time{id: f.at}) }},
		{"it failed many requests", func(f *fixture, id string) {
			for range 9 {
				f.RecordOutcome(id, Failed)
			}
			f.PeerFailures("b", map[string]int{id: 20})
		}},
		{"it was cold", func(f *fixture, _ string) {
			r := incarnationRecord("a", 100, 2)
			r.ColdFor = time.Hour
			f.Update([]Record{r}, nil, false, time.Time{})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			records := []Record{incarnationRecord("other", 1, 1)}
			if tc.before != nil {
				records = append(records, incarnationRecord("a", 100, 1))
			}
			f.Update(records, nil, true, time.Time{})
			if tc.before != nil {
				tc.before(f, f.eligible("a")[0])
			}
			f.departed = nil
			f.Update([]Record{incarnationRecord("a", 200, 9)}, nil, false, f.at.Add(time.Minute))
			got := f.eligible("a")
			if len(got) != 1 {
				t.Fatalf("work goes to %v, want one incarnation", got)
			}
			u, _ := f.Get(got[0])
			if u.Born != 200 || u.State() != Serving || u.AvoidUntil().After(f.at) || u.Suspect(f.at) || u.FailureRate() != 0 || u.ColdUntil().After(f.at) {
				t.Errorf("%+v, want an incarnation with a clean history", u)
			}
			if len(f.Failing("llm"))+len(f.Faults())+len(f.Failures())+len(f.KnownLeaving()) != 0 {
				t.Errorf("failing %v, faults %v, failures %v, leaving %v are left from the earlier incarnation", f.Failing("llm"), f.Faults(), f.Failures(), f.KnownLeaving())
			}
			f.at = f.at.Add(2 * removedRetention)
			f.Sweep()
			if now := f.eligible("a"); !slices.Equal(now, got) || len(f.departed) != 0 {
				t.Errorf("work goes to %v some time later and %v left, want %v and none", now, f.departed, got)
			}
		})
	}
}

// A complete table that is read after a store outage may have the later incarnation of one upstream and
// lack other upstreams. Only those lapse, and an incarnation that the next table lacks lapses by itself.
func TestRestartDuringAStoreOutage(t *testing.T) {
	f := newFixture()
	f.Update([]Record{incarnationRecord("a", 100, 1), incarnationRecord("b", 100, 2)}, nil, true, time.Time{})
	settled := f.at.Add(10 * time.Second)
	f.Update([]Record{incarnationRecord("a", 200, 5)}, nil, true, settled)
	a := f.eligible("a")
	if len(a) != 1 || len(f.eligible("b")) != 0 {
		t.Fatalf("work goes to %v and %v, want the later incarnation of a only", a, f.eligible("b"))
	}
	f.Update([]Record{incarnationRecord("b", 100, 2)}, nil, true, settled)
	if u, known := f.Get(a[0]); !known || u.State() != Lapsed {
		t.Errorf("known %v, state %d; want the later incarnation known and lapsed", known, u.State())
	}
	f.Update([]Record{incarnationRecord("a", 200, 6)}, nil, false, settled)
	if got := f.eligible("a"); !slices.Equal(got, a) || len(f.departed) != 0 {
		t.Errorf("work goes to %v, left %v; want the later incarnation again and none", got, f.departed)
	}
}

// TestLateInformationAboutAnEarlierIncarnation checks that nothing that arrives late about an earlier
// incarnation changes the state of the later one.
func TestLateInformationAboutAnEarlierIncarnation(t *testing.T) {
	for _, tc := range []struct {
		name string
		// first and later are the two incarnations; change applies the late information.
		first, later Record
		change       func(f *fixture, first string)
	}{
		{"its record", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, _ string) {
			f.Update([]Record{incarnationRecord("a", 100, 5)}, nil, false, time.Time{})
		}},
		{"its record as leaving", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, _ string) {
			f.Update([]Record{leavingIncarnationRecord(100, 7)}, nil, false, time.Time{})
		}},
		{"its record without a version", incarnationRecord("a", 100, 0), incarnationRecord("a", 200, 0), func(f *fixture, _ string) {
			f.Update([]Record{leavingIncarnationRecord(100, 0)}, nil, false, time.Time{})
		}},
		{"its record in a complete table", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, _ string) {
			f.Update([]Record{leavingIncarnationRecord(100, 7), incarnationRecord("other", 1, 1)}, nil, true, time.Time{})
		}},
		{"its record, with a clock that jumped back before the later incarnation", incarnationRecord("a", 200, 5), incarnationRecord("a", 100, 8), func(f *fixture, _ string) {
			f.Update([]Record{leavingIncarnationRecord(200, 7)}, nil, false, time.Time{})
		}},
		{"the removal of its row", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, _ string) {
			f.Update(nil, []Removal{{Name: "a", Version: 7}}, false, time.Time{})
		}},
		{"its report that it is leaving", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, first string) { f.ReportedLeaving(first) }},
		{"outcomes of its requests", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, first string) {
			f.RecordOutcome(first, Broken)
			f.RecordOutcome(first, Faulty)
			f.MarkLeaving(first, "another upstream has its address")
		}},
		{"reports of another entry", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, first string) {
			f.MarkLeaving(first, "b")
			f.PeerFaults("b", map[string]time.Time{first: f.at})
			f.PeerFailures("b", map[string]int{first: 20})
		}},
		{"the sweep after its retention", incarnationRecord("a", 100, 5), incarnationRecord("a", 200, 8), func(f *fixture, _ string) {
			f.at = f.at.Add(2 * removedRetention)
			f.Sweep()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{tc.first, incarnationRecord("other", 1, 1)}, nil, true, time.Time{})
			first := f.eligible("a")[0]
			f.Update([]Record{tc.later}, nil, false, time.Time{})
			later := f.eligible("a")
			if len(later) != 1 || later[0] == first {
				t.Fatalf("work goes to %v, want the incarnation after %s", later, first)
			}
			want, _ := f.Get(later[0])
			tc.change(f, first)
			got, known := f.Get(later[0])
			if !known || got != want || !slices.Equal(f.eligible("a"), later) {
				t.Errorf("%+v, want %+v unchanged", got, want)
			}
			if _, known := f.Get(first); known || len(f.departed) != 0 || len(f.Failing("llm")) != 0 {
				t.Errorf("the earlier incarnation is known: %v; left %v, failing %v", known, f.departed, slices.Collect(maps.Keys(f.Failing("llm"))))
			}
		})
	}
}

// gossipTo sends the state of this entry to another one, as gossip messages do.
func (f *fixture) gossipTo(other *fixture) {
	other.PeerFaults("peer", f.Faults())
	other.PeerFailures("peer", f.Failures())
	for _, id := range f.KnownLeaving() {
		other.MarkLeaving(id, "peer")
	}
}

// TestEntriesThatReadTwoIncarnationsInOppositeOrder checks two entries that read two incarnations in opposite
// order and exchange their state after every step: both end with the later incarnation and nothing
// held against it.
func TestEntriesThatReadTwoIncarnationsInOppositeOrder(t *testing.T) {
	for _, tc := range []struct {
		name           string
		earlier, later Record
	}{
		{"a monotonic clock", leavingIncarnationRecord(100, 5), incarnationRecord("a", 200, 8)},
		{"a clock that jumped back", leavingIncarnationRecord(200, 5), incarnationRecord("a", 100, 8)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ahead, behind := newFixture(), newFixture()
			behind.at = ahead.at
			serving := tc.earlier
			serving.Leaving = false
			serving.Version = 1
			for _, f := range []*fixture{ahead, behind} {
				f.Update([]Record{serving, incarnationRecord("other", 1, 1)}, nil, true, time.Time{})
				for range 9 {
					f.RecordOutcome(f.eligible("a")[0], Failed)
				}
				f.RecordOutcome(f.eligible("a")[0], Faulty)
			}
			for _, records := range [][2]Record{{tc.later, tc.earlier}, {tc.earlier, tc.later}} {
				ahead.Update([]Record{records[0]}, nil, false, time.Time{})
				behind.Update([]Record{records[1]}, nil, false, time.Time{})
				ahead.gossipTo(behind)
				behind.gossipTo(ahead)
			}
			for i, f := range []*fixture{ahead, behind} {
				got := f.eligible("a")
				if len(got) != 1 {
					t.Fatalf("entry %d: work goes to %v, want the later incarnation", i, got)
				}
				u, _ := f.Get(got[0])
				if u.Born != tc.later.Born || u.Suspect(f.at) || u.AvoidUntil().After(f.at) || len(f.Failing("llm")) != 0 {
					t.Errorf("entry %d: %+v, failing %v; want the later incarnation with a clean history", i, u, f.Failing("llm"))
				}
			}
		})
	}
}

// TestIncarnationIdentifiers checks that no two incarnations share an identifier, since they would share all
// state.
func TestIncarnationIdentifiers(t *testing.T) {
	seen := map[string]string{}
	for _, tc := range []struct {
		name, upstream string
		born           int64
	}{
		{"no start time", "a", 0},
		{"an incarnation", "a", 36},
		{"a later incarnation", "a", 37},
		{"a start time before the epoch", "a", -36},
		{"a start time far in the future", "a", 1 << 62},
		{"another upstream", "b", 36},
		{"a name that looks like an incarnation", "a@10", 0},
		{"a name that looks like one without a start time", "a@", 0},
		{"an incarnation under a name that looks like an incarnation", "a@10", 36},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := incarnationID(tc.upstream, tc.born)
			if other, taken := seen[id]; taken {
				t.Errorf("%q is also the identifier of %s", id, other)
			}
			seen[id] = tc.name
		})
	}
}

// A record without a start time is no sign of another incarnation, so the existing state stays.
func TestRecordWithoutAStartTimeBelongsToTheKnownIncarnation(t *testing.T) {
	f := newFixture()
	f.Update([]Record{incarnationRecord("a", 100, 1)}, nil, true, time.Time{})
	id := f.eligible("a")[0]
	f.RecordOutcome(id, Faulty)
	f.Update([]Record{incarnationRecord("a", 0, 2)}, nil, false, time.Time{})
	if got := f.eligible("a"); !slices.Equal(got, []string{id}) {
		t.Fatalf("work goes to %v, want %s as before", got, id)
	}
	if u, _ := f.Get(id); !u.Suspect(f.at) || u.Version != 2 {
		t.Errorf("%+v, want the newer row and the existing state", u)
	}
}

// Two upstreams may be listed with one address while one of them has left. An answer that shows that
// one has left must not remove the other.
func TestTwoUpstreamsWithOneAddress(t *testing.T) {
	f := newFixture()
	f.Update([]Record{incarnationRecord("a", 100, 1), incarnationRecord("b", 200, 2)}, nil, true, time.Time{})
	f.MarkLeaving(f.eligible("a")[0], "another upstream has its address")
	if a, b := f.eligible("a"), f.eligible("b"); len(a) != 0 || len(b) != 1 {
		t.Errorf("work goes to %v and %v, want b only", a, b)
	}
}
