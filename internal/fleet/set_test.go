package fleet

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// fixture is a Set with a clock that tests advance and the IDs that were reported as leaving.
type fixture struct {
	*Set
	at       time.Time
	departed []string
}

func newFixture() *fixture {
	f := &fixture{at: time.Now()}
	f.Set = New(events.Nop(), func() time.Time { return f.at }, func(id string) { f.departed = append(f.departed, id) })
	return f
}

// state returns the state of the upstream called a.
func (f *fixture) state(t *testing.T) State {
	t.Helper()
	u, ok := f.Get("a")
	if !ok {
		t.Fatal("upstream a is not known")
	}
	return u.State()
}

func record(id string) Record { return Record{Name: id, Service: "llm", Address: "10.0.0.1:1"} }

func leavingRecord(id string) Record {
	r := record(id)
	r.Leaving = true
	return r
}

func TestLeavingUpstreamGetsNoWorkAndIsReportedOnce(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
	f.Update([]Record{leavingRecord("a")}, nil, false, time.Time{})
	f.Update(nil, []Removal{{Name: "a"}}, false, time.Time{})
	f.MarkLeaving("a", "another entry")
	if !slices.Equal(f.departed, []string{"a"}) {
		t.Errorf("reported %v, want a once", f.departed)
	}
	if got := f.Available("llm"); len(got) != 1 || got[0].ID != "b" {
		t.Errorf("new work goes to %v, want b only", got)
	}
}

// Guards against messages that grow with every upstream that left in the last seconds.
func TestLeavingUpstreamsStayInGossipOnlyForAWhile(t *testing.T) {
	f := newFixture()
	f.Update([]Record{leavingRecord("a"), record("b")}, nil, true, time.Time{})
	f.at = f.at.Add(time.Second)
	f.ReportedLeaving("a")
	f.ReportedLeaving("b")
	if got := f.KnownLeaving(); len(got) != 2 {
		t.Errorf("KnownLeaving returns %v, want a and b", got)
	}
	f.at = f.at.Add(leavingGossipTime - time.Second/2)
	if got := f.KnownLeaving(); !slices.Equal(got, []string{"b"}) {
		t.Errorf("KnownLeaving returns %v, want b only", got)
	}
}

func TestMissingUpstream(t *testing.T) {
	for _, tc := range []struct {
		name    string
		settled time.Duration
		want    State
	}{
		{"without an outage it leaves", 0, Leaving},
		{"around an outage it has a grace period", 2 * time.Second, Lapsed},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
			f.Update([]Record{record("b")}, nil, true, f.at.Add(tc.settled))
			if got := f.state(t); got != tc.want {
				t.Errorf("state %d, want %d", got, tc.want)
			}
		})
	}
}

func TestLapseEnds(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a")}, nil, true, time.Time{})
	f.Update(nil, []Removal{{Name: "a"}}, false, f.at.Add(2*time.Second))
	if got := f.Available("llm"); len(got) != 1 {
		t.Fatalf("a lapsed upstream is not used although there is no other")
	}
	f.at = f.at.Add(3 * time.Second)
	f.Sweep()
	if got := f.state(t); got != Leaving {
		t.Errorf("state %d after the lapse, want leaving", got)
	}
	if !slices.Equal(f.departed, []string{"a"}) {
		t.Errorf("reported %v, want a", f.departed)
	}
}

// An upstream whose row is back serves again, however long it was missing. Only its own report that
// it is leaving is final.
func TestUpstreamComesBack(t *testing.T) {
	for _, tc := range []struct {
		name  string
		leave func(f *fixture)
		want  State
	}{
		{"after a lapse", func(f *fixture) { f.Update(nil, []Removal{{Name: "a"}}, false, f.at.Add(time.Second)) }, Serving},
		{"after it counted as removed", func(f *fixture) { f.Update(nil, []Removal{{Name: "a"}}, false, time.Time{}) }, Serving},
		{"after another entry marked it as leaving", func(f *fixture) { f.MarkLeaving("a", "another entry") }, Serving},
		{"after its own report of a leave", func(f *fixture) { f.ReportedLeaving("a") }, Leaving},
		{"after its own record of a leave", func(f *fixture) { f.Update([]Record{leavingRecord("a")}, nil, false, time.Time{}) }, Leaving},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a")}, nil, true, time.Time{})
			tc.leave(f)
			f.at = f.at.Add(5 * time.Second)
			f.Sweep()
			f.Update([]Record{record("a")}, nil, false, time.Time{})
			if got := f.state(t); got != tc.want {
				t.Errorf("state %d, want %d", got, tc.want)
			}
			f.at = f.at.Add(2 * removedRetention)
			f.Sweep()
			if got := f.state(t); got != tc.want {
				t.Errorf("state %d some time later, want %d", got, tc.want)
			}
		})
	}
}

func TestRemovedUpstreamIsDropped(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a")}, nil, true, time.Time{})
	f.Update(nil, []Removal{{Name: "a"}}, false, time.Time{})
	f.at = f.at.Add(removedRetention - time.Second)
	f.Sweep()
	if got := f.state(t); got != Leaving {
		t.Errorf("state %d while its streams may still move, want leaving", got)
	}
	f.at = f.at.Add(2 * time.Second)
	f.Sweep()
	if _, known := f.Get("a"); known {
		t.Errorf("still known after %s", removedRetention)
	}
}

// Entries pass on only leaves that the upstream reported itself. Otherwise two entries that took an
// upstream as removed would keep confirming it to each other.
func TestOnlySelfReportedLeavesAreGossiped(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("missing"), record("told"), record("reported"), record("recorded")}, nil, true, time.Time{})
	f.Update([]Record{leavingRecord("recorded")}, []Removal{{Name: "missing"}}, false, time.Time{})
	f.MarkLeaving("told", "another entry")
	f.ReportedLeaving("reported")
	got := f.KnownLeaving()
	slices.Sort(got)
	if want := []string{"recorded", "reported"}; !slices.Equal(got, want) {
		t.Errorf("KnownLeaving returns %v, want %v", got, want)
	}
}

func TestHealthFromOutcomes(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a")}, nil, true, time.Time{})
	f.RecordOutcome("a", Broken)
	u, _ := f.Get("a")
	if !u.AvoidUntil().After(f.at) {
		t.Error("an upstream whose connection broke is not avoided")
	}
	f.RecordOutcome("a", Served)
	u, _ = f.Get("a")
	if u.AvoidUntil().After(f.at) {
		t.Error("an upstream that serves again is still avoided")
	}
	for range 40 {
		f.RecordOutcome("a", Failed)
	}
	u, _ = f.Get("a")
	if u.FailureRate() < 0.9 {
		t.Errorf("failure rate %.2f after 40 failures, want near 1", u.FailureRate())
	}
}

func TestFaultOfAnEngine(t *testing.T) {
	tests := []struct {
		name        string
		note        func(f *fixture)
		after       time.Duration
		wantSuspect bool
		wantAvoided bool
	}{
		{"a request of this entry failed", func(f *fixture) { f.RecordOutcome("a", Faulty) }, 0, true, true},
		{"another entry's request failed", func(f *fixture) { f.PeerFaults("b", map[string]time.Time{"a": f.at}) }, 0, true, true},
		{"a good answer does not clear the suspicion", func(f *fixture) { f.RecordOutcome("a", Faulty); f.RecordOutcome("a", Served) }, 0, true, true},
		{"repeatable requests go to it again soon", func(f *fixture) { f.RecordOutcome("a", Faulty) }, avoidFaulty, true, false},
		{"the fault expires", func(f *fixture) { f.RecordOutcome("a", Faulty) }, suspectFor, false, false},
		{"another entry reports an expired fault", func(f *fixture) { f.PeerFaults("b", map[string]time.Time{"a": f.at.Add(-suspectFor)}) }, 0, false, false},
		{"a full upstream is not faulty", func(f *fixture) { f.RecordOutcome("a", Busy) }, avoidBusy, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture()
			f.Update([]Record{record("a")}, nil, true, time.Time{})
			tt.note(f)
			f.at = f.at.Add(tt.after)
			u, _ := f.Get("a")
			if got := u.Suspect(f.at); got != tt.wantSuspect {
				t.Errorf("suspect is %v, want %v", got, tt.wantSuspect)
			}
			if got := f.at.Before(u.AvoidUntil()); got != tt.wantAvoided {
				t.Errorf("avoided is %v, want %v", got, tt.wantAvoided)
			}
		})
	}
}

// Entries pass on only faults that they saw themselves. Otherwise a fault would circulate forever.
func TestFaultsFromPeersAreNotForwarded(t *testing.T) {
	f := newFixture()
	f.Update([]Record{record("a"), record("b")}, nil, true, time.Time{})
	f.PeerFaults("other", map[string]time.Time{"a": f.at})
	f.RecordOutcome("b", Faulty)
	if got := f.Faults(); len(got) != 1 || !got["b"].Equal(f.at) {
		t.Errorf("Faults returns %v, want b only", got)
	}
	f.at = f.at.Add(suspectFor)
	if got := f.Faults(); len(got) != 0 {
		t.Errorf("Faults returns %v, want none after they expired", got)
	}
}

// BenchmarkOf measures Of for a service with 4 upstreams beside 870 engines of another one.
func BenchmarkOf(b *testing.B) {
	s := New(events.Nop(), time.Now, func(string) {})
	var records []Record
	for i := range 870 {
		records = append(records, Record{Name: fmt.Sprintf("engine-%d", i), Service: "llm", Zone: "a"})
	}
	for i := range 4 {
		records = append(records, Record{Name: fmt.Sprintf("plain-%d", i), Service: "app", Zone: "a"})
	}
	s.Update(records, nil, true, time.Time{})
	for b.Loop() {
		if len(s.Available("app")) != 4 {
			b.Fatal("Of does not return all upstreams")
		}
	}
}
