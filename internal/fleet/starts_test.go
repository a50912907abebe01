package fleet

import (
	"maps"
	"slices"
	"testing"
	"time"
)

// start is a record of a start of an upstream.
func start(name string, born, version int64) Record {
	r := record(name)
	r.Born, r.Version = born, version
	return r
}

// startLeaving is such a record of an upstream a that leaves.
func startLeaving(born, version int64) Record {
	r := start("a", born, version)
	r.Leaving = true
	return r
}

// working returns the identifiers of the upstreams called name that take new work.
func (f *fixture) working(name string) []string {
	var out []string
	for _, u := range f.Of("llm") {
		if u.Name == name {
			out = append(out, u.ID)
		}
	}
	return out
}

// TestStartUnderAnEarlierName covers that a start gets work at the same moment, and is
// believed as well, as one under a new name, whatever was believed of the earlier one.
func TestStartUnderAnEarlierName(t *testing.T) {
	for _, tc := range []struct {
		name   string
		before func(f *fixture, id string)
	}{
		{"a new name", nil},
		{"it served", func(*fixture, string) {}},
		{"its record said that it leaves", func(f *fixture, _ string) {
			f.Update([]Record{startLeaving(100, 2)}, nil, false, time.Time{})
		}},
		{"its report said that it leaves", func(f *fixture, id string) { f.ReportedLeaving(id) }},
		{"it said so and its row went", func(f *fixture, id string) {
			f.ReportedLeaving(id)
			f.Update(nil, []Gone{{Name: "a", Version: 3}}, false, time.Time{})
		}},
		{"it left and was forgotten", func(f *fixture, id string) {
			f.ReportedLeaving(id)
			f.Update(nil, []Gone{{Name: "a", Version: 3}}, false, time.Time{})
			f.at = f.at.Add(keepGone)
			f.Sweep()
		}},
		{"another entry said that it leaves", func(f *fixture, id string) { f.MarkLeaving(id, "b") }},
		{"it lapsed during an outage", func(f *fixture, _ string) {
			f.Update([]Record{start("other", 1, 1)}, nil, true, f.at.Add(time.Minute))
		}},
		{"its lapse ended", func(f *fixture, _ string) {
			f.Update(nil, []Gone{{Name: "a", Version: 3}}, false, f.at.Add(time.Second))
			f.at = f.at.Add(2 * time.Second)
			f.Sweep()
		}},
		{"it was back after a lapse", func(f *fixture, _ string) {
			f.Update(nil, []Gone{{Name: "a", Version: 3}}, false, f.at.Add(time.Second))
			f.Update([]Record{start("a", 100, 4)}, nil, false, f.at.Add(time.Second))
		}},
		{"its connection broke", func(f *fixture, id string) { f.Note(id, Broken) }},
		{"it had a fault", func(f *fixture, id string) { f.Note(id, Faulty) }},
		{"another entry met a fault there", func(f *fixture, id string) { f.PeerFaults("b", map[string]time.Time{id: f.at}) }},
		{"it failed much", func(f *fixture, id string) {
			for range 9 {
				f.Note(id, Failed)
			}
			f.PeerFailures("b", map[string]int{id: 20})
		}},
		{"it was slow", func(f *fixture, _ string) {
			r := start("a", 100, 2)
			r.ColdFor = time.Hour
			f.Update([]Record{r}, nil, false, time.Time{})
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			records := []Record{start("other", 1, 1)}
			if tc.before != nil {
				records = append(records, start("a", 100, 1))
			}
			f.Update(records, nil, true, time.Time{})
			if tc.before != nil {
				tc.before(f, f.working("a")[0])
			}
			f.left = nil
			f.Update([]Record{start("a", 200, 9)}, nil, false, f.at.Add(time.Minute))
			got := f.working("a")
			if len(got) != 1 {
				t.Fatalf("work goes to %v, want one start", got)
			}
			u, _ := f.Get(got[0])
			if u.Born != 200 || u.State() != Serving || u.AvoidUntil().After(f.at) || u.Suspect(f.at) || u.FailureRate() != 0 || u.ColdUntil().After(f.at) {
				t.Errorf("%+v, want a start of which nothing bad is known", u)
			}
			if len(f.Failing("llm"))+len(f.Faults())+len(f.Failures())+len(f.KnownLeaving()) != 0 {
				t.Errorf("failing %v, faults %v, failures %v, leaving %v are told of the earlier start", f.Failing("llm"), f.Faults(), f.Failures(), f.KnownLeaving())
			}
			f.at = f.at.Add(2 * keepGone)
			f.Sweep()
			if now := f.working("a"); !slices.Equal(now, got) || len(f.left) != 0 {
				t.Errorf("work goes to %v some time later and %v left, want %v and none", now, f.left, got)
			}
		})
	}
}

// A whole list that comes after an outage may hold the later start of an upstream and lack
// others: only those lapse, and a start that is missing in the next list lapses by itself.
func TestStartDuringAnOutageOfTheStore(t *testing.T) {
	f := newFixture()
	f.Update([]Record{start("a", 100, 1), start("b", 100, 2)}, nil, true, time.Time{})
	settled := f.at.Add(10 * time.Second)
	f.Update([]Record{start("a", 200, 5)}, nil, true, settled)
	a := f.working("a")
	if len(a) != 1 || len(f.working("b")) != 0 {
		t.Fatalf("work goes to %v and %v, want the later start of a only", a, f.working("b"))
	}
	f.Update([]Record{start("b", 100, 2)}, nil, true, settled)
	if u, known := f.Get(a[0]); !known || u.State() != Lapsed {
		t.Errorf("known %v, state %d; want that the later start has time to come back", known, u.State())
	}
	f.Update([]Record{start("a", 200, 6)}, nil, false, settled)
	if got := f.working("a"); !slices.Equal(got, a) || len(f.left) != 0 {
		t.Errorf("work goes to %v, left %v; want the later start, back", got, f.left)
	}
}

// TestNewsOfAnEarlierStart covers that nothing that is learnt late of an earlier start
// changes what is believed of the later one.
func TestNewsOfAnEarlierStart(t *testing.T) {
	for _, tc := range []struct {
		name string
		// first and later are the two starts, news what is learnt after both.
		first, later Record
		news         func(f *fixture, first string)
	}{
		{"its record", start("a", 100, 5), start("a", 200, 8), func(f *fixture, _ string) {
			f.Update([]Record{start("a", 100, 5)}, nil, false, time.Time{})
		}},
		{"its record that it leaves", start("a", 100, 5), start("a", 200, 8), func(f *fixture, _ string) {
			f.Update([]Record{startLeaving(100, 7)}, nil, false, time.Time{})
		}},
		{"its record without a version", start("a", 100, 0), start("a", 200, 0), func(f *fixture, _ string) {
			f.Update([]Record{startLeaving(100, 0)}, nil, false, time.Time{})
		}},
		{"its record in a whole list", start("a", 100, 5), start("a", 200, 8), func(f *fixture, _ string) {
			f.Update([]Record{startLeaving(100, 7), start("other", 1, 1)}, nil, true, time.Time{})
		}},
		{"its record, after the clock of the later one jumped back", start("a", 200, 5), start("a", 100, 8), func(f *fixture, _ string) {
			f.Update([]Record{startLeaving(200, 7)}, nil, false, time.Time{})
		}},
		{"the removal of its row", start("a", 100, 5), start("a", 200, 8), func(f *fixture, _ string) {
			f.Update(nil, []Gone{{Name: "a", Version: 7}}, false, time.Time{})
		}},
		{"its late report", start("a", 100, 5), start("a", 200, 8), func(f *fixture, first string) { f.ReportedLeaving(first) }},
		{"its late answers", start("a", 100, 5), start("a", 200, 8), func(f *fixture, first string) {
			f.Note(first, Broken)
			f.Note(first, Faulty)
			f.MarkLeaving(first, "another upstream has its address")
		}},
		{"another entry's word", start("a", 100, 5), start("a", 200, 8), func(f *fixture, first string) {
			f.MarkLeaving(first, "b")
			f.PeerFaults("b", map[string]time.Time{first: f.at})
			f.PeerFailures("b", map[string]int{first: 20})
		}},
		{"the sweep of the earlier one", start("a", 100, 5), start("a", 200, 8), func(f *fixture, _ string) {
			f.at = f.at.Add(2 * keepGone)
			f.Sweep()
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{tc.first, start("other", 1, 1)}, nil, true, time.Time{})
			first := f.working("a")[0]
			f.Update([]Record{tc.later}, nil, false, time.Time{})
			later := f.working("a")
			if len(later) != 1 || later[0] == first {
				t.Fatalf("work goes to %v, want the start after %s", later, first)
			}
			want, _ := f.Get(later[0])
			tc.news(f, first)
			got, known := f.Get(later[0])
			if !known || got != want || !slices.Equal(f.working("a"), later) {
				t.Errorf("%+v, want %+v as before", got, want)
			}
			if _, known := f.Get(first); known || len(f.left) != 0 || len(f.Failing("llm")) != 0 {
				t.Errorf("the earlier start is known: %v; left %v, failing %v", known, f.left, slices.Collect(maps.Keys(f.Failing("llm"))))
			}
		})
	}
}

// tell gives one entry's knowledge to another one, as their messages do.
func (f *fixture) tell(other *fixture) {
	other.PeerFaults("peer", f.Faults())
	other.PeerFailures("peer", f.Failures())
	for _, id := range f.KnownLeaving() {
		other.MarkLeaving(id, "peer")
	}
}

// TestEntriesThatSeeTwoStartsInOppositeOrder covers two entries whose sources tell them
// of two starts in opposite order, and that tell each other what they met at each of them
// after every step: both end with the later start, of which nothing bad is known.
func TestEntriesThatSeeTwoStartsInOppositeOrder(t *testing.T) {
	for _, tc := range []struct {
		name           string
		earlier, later Record
	}{
		{"clocks that go on", startLeaving(100, 5), start("a", 200, 8)},
		{"a clock that jumped back", startLeaving(200, 5), start("a", 100, 8)},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ahead, behind := newFixture(), newFixture()
			behind.at = ahead.at
			serving := tc.earlier
			serving.Leaving = false
			serving.Version = 1
			for _, f := range []*fixture{ahead, behind} {
				f.Update([]Record{serving, start("other", 1, 1)}, nil, true, time.Time{})
				for range 9 {
					f.Note(f.working("a")[0], Failed)
				}
				f.Note(f.working("a")[0], Faulty)
			}
			for _, news := range [][2]Record{{tc.later, tc.earlier}, {tc.earlier, tc.later}} {
				ahead.Update([]Record{news[0]}, nil, false, time.Time{})
				behind.Update([]Record{news[1]}, nil, false, time.Time{})
				ahead.tell(behind)
				behind.tell(ahead)
			}
			for i, f := range []*fixture{ahead, behind} {
				got := f.working("a")
				if len(got) != 1 {
					t.Fatalf("entry %d: work goes to %v, want the later start", i, got)
				}
				u, _ := f.Get(got[0])
				if u.Born != tc.later.Born || u.Suspect(f.at) || u.AvoidUntil().After(f.at) || len(f.Failing("llm")) != 0 {
					t.Errorf("entry %d: %+v, failing %v; want the later start of which nothing bad is known", i, u, f.Failing("llm"))
				}
			}
		})
	}
}

// TestStartIdentifiers: two starts that shared an identifier would share what is believed
// of them.
func TestStartIdentifiers(t *testing.T) {
	seen := map[string]string{}
	for _, tc := range []struct {
		name, upstream string
		born           int64
	}{
		{"one that does not tell its birth", "a", 0},
		{"a start", "a", 36},
		{"a later start", "a", 37},
		{"a birth before the epoch", "a", -36},
		{"a birth far in the future", "a", 1 << 62},
		{"another upstream", "b", 36},
		{"a name that looks like a start", "a@10", 0},
		{"a name that looks like one without a birth", "a@", 0},
		{"a start under a name that looks like a start", "a@10", 36},
	} {
		t.Run(tc.name, func(t *testing.T) {
			id := startID(tc.upstream, tc.born)
			if other, taken := seen[id]; taken {
				t.Errorf("%q is also the identifier of %s", id, other)
			}
			seen[id] = tc.name
		})
	}
}

// A record without a birth tells of no other start: what is believed stays.
func TestRecordWithoutABirthIsOfTheKnownStart(t *testing.T) {
	f := newFixture()
	f.Update([]Record{start("a", 100, 1)}, nil, true, time.Time{})
	id := f.working("a")[0]
	f.Note(id, Faulty)
	f.Update([]Record{start("a", 0, 2)}, nil, false, time.Time{})
	if got := f.working("a"); !slices.Equal(got, []string{id}) {
		t.Fatalf("work goes to %v, want %s as before", got, id)
	}
	if u, _ := f.Get(id); !u.Suspect(f.at) || u.Version != 2 {
		t.Errorf("%+v, want the newer row and what was believed", u)
	}
}

// Two upstreams may be listed with one address while one of them is gone: an answer that
// tells so of one must not take the other away.
func TestTwoUpstreamsWithOneAddress(t *testing.T) {
	f := newFixture()
	f.Update([]Record{start("a", 100, 1), start("b", 200, 2)}, nil, true, time.Time{})
	f.MarkLeaving(f.working("a")[0], "another upstream has its address")
	if a, b := f.working("a"), f.working("b"); len(a) != 0 || len(b) != 1 {
		t.Errorf("work goes to %v and %v, want b only", a, b)
	}
}
