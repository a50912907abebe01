package fleet

import (
	"slices"
	"testing"
	"time"
)

// An upstream that said itself that it leaves got work again: after its row lapsed and came back as
// it was before, or where only another entry had heard it.
func TestUpstreamThatSaidItLeavesNeverGetsWorkAgain(t *testing.T) {
	missing := func(f *fixture, settled time.Time) { f.Update(nil, []Gone{{Name: "a"}}, false, settled) }
	for _, tc := range []struct {
		name string
		said func(f *fixture)
	}{
		{"in an answer", func(f *fixture) { f.AnsweredLeaving("a") }},
		{"to another entry", func(f *fixture) { f.PeerLeaving("b", []string{"a"}) }},
		{"in an answer, after its row lapsed", func(f *fixture) {
			missing(f, f.at.Add(time.Second))
			f.AnsweredLeaving("a")
		}},
		{"in an answer, after it was taken as gone", func(f *fixture) {
			missing(f, time.Time{})
			f.AnsweredLeaving("a")
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
			tc.said(f)
			for range 4 {
				f.at = f.at.Add(keepGone / 3)
				f.Sweep()
				f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
				if got := f.state(t); got != Leaving {
					t.Fatalf("state %d beside its earlier row, want leaving", got)
				}
			}
			f.at = f.at.Add(2 * keepGone)
			f.Sweep()
			f.Update([]Record{record("a")}, nil, false, time.Time{})
			if got := f.state(t); got != Leaving {
				t.Errorf("state %d some time later, want leaving", got)
			}
		})
	}
}

// An entry that starts while the store cannot tell of a leave hears of it from the others, however
// long ago the upstream said so.
func TestLeaveThatNoRecordTellsIsToldOn(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a"), record("b"), record("c")}, nil, true, time.Time{})
	f.AnsweredLeaving("a")
	f.Update([]Record{leaving("b")}, nil, false, time.Time{})
	f.PeerLeaving("other", []string{"c"})
	f.at = f.at.Add(time.Minute)
	got := f.KnownLeaving()
	slices.Sort(got)
	if want := []string{"a", "c"}; !slices.Equal(got, want) {
		t.Errorf("others are told of %v, want %v", got, want)
	}
	f.Update([]Record{leaving("a")}, nil, false, time.Time{})
	if got := f.KnownLeaving(); !slices.Equal(got, []string{"c"}) {
		t.Errorf("others are told of %v once its record says so, want c", got)
	}
}

func TestToldLeavesAreBounded(t *testing.T) {
	f := newFixture()
	var list []Record
	for i := range 4 * mostUnwritten {
		list = append(list, record(string(rune('a'+i))))
	}
	f.Update(list, nil, true, time.Time{})
	for _, r := range list {
		f.AnsweredLeaving(r.Name)
	}
	f.at = f.at.Add(time.Minute)
	if n := len(f.KnownLeaving()); n != mostUnwritten {
		t.Errorf("others are told of %d upstreams, want %d", n, mostUnwritten)
	}
}

// A start that said that it leaves before its record was read got requests again once that was read: the
// word had been kept for the start before.
func TestLeaveSaidBeforeTheRecordIsRead(t *testing.T) {
	for _, tc := range []struct {
		name string
		born time.Duration
		want bool
	}{{"by the later start", -time.Millisecond, true}, {"by the earlier one", time.Millisecond, false}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{start("a", 100, 5), start("b", 100, 6)}, nil, true, time.Time{})
			f.AnsweredLeaving(f.working("a")[0])
			f.Update([]Record{start("a", f.at.Add(tc.born).UnixMilli(), 8)}, nil, false, time.Time{})
			u, _ := f.Get(f.working("a")[0])
			if got := u.AvoidUntil().After(f.at); got != tc.want {
				t.Errorf("the later start is avoided until its own record can say it: %v, want %v", got, tc.want)
			}
			if f.at = f.at.Add(recordWithin); u.AvoidUntil().After(f.at) {
				t.Error("it is avoided for longer")
			}
		})
	}
}
