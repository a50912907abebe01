package fleet

import (
	"testing"
	"time"
)

// The latest of the times of rest that an upstream asked for was given up for an earlier one, and
// for any good answer.
func TestLatestRestHolds(t *testing.T) {
	for _, tc := range []struct {
		name string
		news func(f *fixture)
		want time.Duration
	}{
		{"alone", func(*fixture) {}, 3 * time.Second},
		{"before a shorter one", func(f *fixture) { f.BackOff("a", f.at.Add(time.Second)) }, 3 * time.Second},
		{"before a longer one", func(f *fixture) { f.BackOff("a", f.at.Add(4*time.Second)) }, 4 * time.Second},
		{"before a good answer", func(f *fixture) { f.Note("a", Served) }, 3 * time.Second},
		{"before its row", func(f *fixture) { f.Update([]Record{record("a")}, nil, true, time.Time{}) }, 3 * time.Second},
		{"before a time that cannot be meant", func(f *fixture) { f.BackOff("a", f.at.Add(1000*time.Hour)) }, mostBackOff},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
			begun := f.at
			f.BackOff("a", begun.Add(3*time.Second))
			tc.news(f)
			u, _ := f.Get("a")
			if got := u.BackOffUntil().Sub(begun); got != tc.want {
				t.Errorf("rests for %s, want %s", got, tc.want)
			}
			f.at = begun.Add(tc.want)
			if u.InBackOff(f.at) || f.AnyBackOff() {
				t.Error("still rests at the end of the time")
			}
		})
	}
}

func TestRestEndsWithTheStart(t *testing.T) {
	f := newFixture()
	f.Update([]Record{start("a", 100, 5)}, nil, true, time.Time{})
	first := f.working("a")[0]
	f.Update([]Record{start("a", 200, 8)}, nil, false, time.Time{})
	f.BackOff(first, f.at.Add(time.Minute))
	for _, u := range f.Of("llm") {
		if u.InBackOff(f.at) {
			t.Errorf("%s rests by the word of the start before", u.ID)
		}
	}
}

func TestOneRequestDuringARest(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a")}, nil, true, time.Time{})
	f.BackOff("a", f.at.Add(time.Second))
	if !f.TakeDuringBackOff("a") || f.TakeDuringBackOff("a") {
		t.Error("not exactly one request may go")
	}
	f.BackOff("a", f.at.Add(2*time.Second))
	if f.TakeDuringBackOff("a") {
		t.Error("another one may go once the rest was put off")
	}
	f.at = f.at.Add(3 * time.Second)
	for range 2 {
		if !f.TakeDuringBackOff("a") {
			t.Error("a request may not go after the rest")
		}
	}
	f.BackOff("a", f.at.Add(time.Second))
	if !f.TakeDuringBackOff("a") {
		t.Error("none may go in the next rest")
	}
}

// A start that asked for back-off before its record was read got requests again once that was read: the
// time had been kept for the start before.
func TestBackOffAskedBeforeTheRecordIsRead(t *testing.T) {
	for _, tc := range []struct {
		name string
		born time.Duration
		want bool
	}{{"by the later start", -time.Millisecond, true}, {"by the earlier one", time.Millisecond, false}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{start("a", 100, 5)}, nil, true, time.Time{})
			f.BackOff(f.working("a")[0], f.at.Add(time.Second))
			f.Update([]Record{start("a", f.at.Add(tc.born).UnixMilli(), 8)}, nil, false, time.Time{})
			u, _ := f.Get(f.working("a")[0])
			if got := u.InBackOff(f.at); got != tc.want {
				t.Errorf("the later start is in back-off: %v, want %v", got, tc.want)
			}
		})
	}
}
