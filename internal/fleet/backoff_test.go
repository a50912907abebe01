package fleet

import (
	"testing"
	"time"
)

// Guards against an earlier end, or a good answer, replacing the latest backoff that an upstream
// asked for.
func TestLatestBackOffApplies(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(f *fixture)
		want   time.Duration
	}{
		{"no other change", func(*fixture) {}, 3 * time.Second},
		{"before a shorter one", func(f *fixture) { f.BackOff("a", f.at.Add(time.Second)) }, 3 * time.Second},
		{"before a longer one", func(f *fixture) { f.BackOff("a", f.at.Add(4*time.Second)) }, 4 * time.Second},
		{"before a good answer", func(f *fixture) { f.RecordOutcome("a", Served) }, 3 * time.Second},
		{"before its row is read again", func(f *fixture) { f.Update([]Record{record("a")}, nil, true, time.Time{}) }, 3 * time.Second},
		{"before an implausibly late one", func(f *fixture) { f.BackOff("a", f.at.Add(1000*time.Hour)) }, maxBackOff},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
			begun := f.at
			f.BackOff("a", begun.Add(3*time.Second))
			tc.change(f)
			u, _ := f.Get("a")
			if got := u.BackOffUntil().Sub(begun); got != tc.want {
				t.Errorf("backoff lasts %s, want %s", got, tc.want)
			}
			f.at = begun.Add(tc.want)
			if u.InBackOff(f.at) || f.AnyBackOff() {
				t.Error("still in backoff at the end of the time")
			}
		})
	}
}

func TestBackoffEndsWithItsIncarnation(t *testing.T) {
	f := newFixture()
	f.Update([]Record{incarnationRecord("a", 100, 5)}, nil, true, time.Time{})
	first := f.eligible("a")[0]
	f.Update([]Record{incarnationRecord("a", 200, 8)}, nil, false, time.Time{})
	f.BackOff(first, f.at.Add(time.Minute))
	for _, u := range f.Available("llm") {
		if u.InBackOff(f.at) {
			t.Errorf("%s is in backoff because of the previous incarnation", u.ID)
		}
	}
}

func TestOneProbePerBackOff(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a")}, nil, true, time.Time{})
	f.BackOff("a", f.at.Add(time.Second))
	if !f.TakeDuringBackOff("a") || f.TakeDuringBackOff("a") {
		t.Error("want exactly one request during a backoff")
	}
	f.BackOff("a", f.at.Add(2*time.Second))
	if f.TakeDuringBackOff("a") {
		t.Error("another request may go after the backoff was extended")
	}
	f.at = f.at.Add(3 * time.Second)
	for range 2 {
		if !f.TakeDuringBackOff("a") {
			t.Error("a request may not go after the backoff")
		}
	}
	f.BackOff("a", f.at.Add(time.Second))
	if !f.TakeDuringBackOff("a") {
		t.Error("no request may go in the next backoff")
	}
}

// Guards against requests to an incarnation that asked for backoff before its record was read. Its answers
// were attributed to the previous incarnation, so its backoff was lost when the record arrived.
func TestBackOffAskedBeforeTheRecordIsRead(t *testing.T) {
	for _, tc := range []struct {
		name string
		born time.Duration
		want bool
	}{{"by the later incarnation", -time.Millisecond, true}, {"by the earlier one", time.Millisecond, false}} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{incarnationRecord("a", 100, 5)}, nil, true, time.Time{})
			f.BackOff(f.eligible("a")[0], f.at.Add(time.Second))
			f.Update([]Record{incarnationRecord("a", f.at.Add(tc.born).UnixMilli(), 8)}, nil, false, time.Time{})
			u, _ := f.Get(f.eligible("a")[0])
			if got := u.InBackOff(f.at); got != tc.want {
				t.Errorf("the later incarnation is in backoff: %v, want %v", got, tc.want)
			}
		})
	}
}
