package fleet

import (
	"slices"
	"testing"
	"time"
)

// Guards against new work for an upstream that reported its own leave. It got work again when its
// row lapsed and came back unchanged, and at entries that knew of the report only from another
// entry.
func TestSelfReportedLeaveIsFinal(t *testing.T) {
	removeRow := func(f *fixture, graceUntil time.Time) { f.Update(nil, []Removal{{Name: "a"}}, false, graceUntil) }
	for _, tc := range []struct {
		name   string
		report func(f *fixture)
	}{
		{"in an answer", func(f *fixture) { f.AnsweredLeaving("a") }},
		{"to another entry", func(f *fixture) { f.PeerReportedLeaving("b", []string{"a"}) }},
		{"in an answer, after its row lapsed", func(f *fixture) {
			removeRow(f, f.at.Add(time.Second))
			f.AnsweredLeaving("a")
		}},
		{"in an answer, after its row was removed", func(f *fixture) {
			removeRow(f, time.Time{})
			f.AnsweredLeaving("a")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
			tc.report(f)
			for range 4 {
				f.at = f.at.Add(removedRetention / 3)
				f.Sweep()
				f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
				if got := f.state(t); got != Leaving {
					t.Fatalf("state %d while its earlier row is there, want leaving", got)
				}
			}
			f.at = f.at.Add(2 * removedRetention)
			f.Sweep()
			f.Update([]Record{record("a")}, nil, false, time.Time{})
			if got := f.state(t); got != Leaving {
				t.Errorf("state %d some time later, want leaving", got)
			}
		})
	}
}

// An entry that starts while the store does not show a leave can learn of it only from other
// entries, so they keep listing it however old it is.
func TestUnrecordedLeaveStaysInGossip(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a"), record("b"), record("c")}, nil, true, time.Time{})
	f.AnsweredLeaving("a")
	f.Update([]Record{leavingRecord("b")}, nil, false, time.Time{})
	f.PeerReportedLeaving("other", []string{"c"})
	f.at = f.at.Add(time.Minute)
	got := f.KnownLeaving()
	slices.Sort(got)
	if want := []string{"a", "c"}; !slices.Equal(got, want) {
		t.Errorf("KnownLeaving returns %v, want %v", got, want)
	}
	f.Update([]Record{leavingRecord("a")}, nil, false, time.Time{})
	if got := f.KnownLeaving(); !slices.Equal(got, []string{"c"}) {
		t.Errorf("KnownLeaving returns %v once the record shows it, want c", got)
	}
}

func TestUnrecordedLeavesInGossipAreBounded(t *testing.T) {
	f := newFixture()
	var list []Record
	for i := range 4 * maxUnrecorded {
		list = append(list, record(string(rune('a'+i))))
	}
	f.Update(list, nil, true, time.Time{})
	for _, r := range list {
		f.AnsweredLeaving(r.Name)
	}
	f.at = f.at.Add(time.Minute)
	if n := len(f.KnownLeaving()); n != maxUnrecorded {
		t.Errorf("KnownLeaving returns %d upstreams, want %d", n, maxUnrecorded)
	}
}

// Guards against requests to an incarnation that reported its leave before its record was read. Its
// answers were attributed to the previous incarnation, so the report was lost when the record arrived.
func TestLeaveReportedBeforeTheRecordIsRead(t *testing.T) {
	for _, tc := range []struct {
		name string
		born time.Duration
		want bool
	}{{"by the later incarnation", -time.Millisecond, true}, {"by the earlier one", time.Millisecond, false}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{incarnationRecord("a", 100, 5), incarnationRecord("b", 100, 6)}, nil, true, time.Time{})
			f.AnsweredLeaving(f.eligible("a")[0])
			f.Update([]Record{incarnationRecord("a", f.at.Add(tc.born).UnixMilli(), 8)}, nil, false, time.Time{})
			u, _ := f.Get(f.eligible("a")[0])
			if got := u.AvoidUntil().After(f.at); got != tc.want {
				t.Errorf("the later incarnation is avoided until its own record can show the leave: %v, want %v", got, tc.want)
			}
			if f.at = f.at.Add(leavingRecordDelay); u.AvoidUntil().After(f.at) {
				t.Error("the later incarnation is avoided for longer than that")
			}
		})
	}
}
