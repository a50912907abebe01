package quarantine

import (
	"errors"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// TestRequestSentRightAfterCrash guards against counting one crash as two. A request that is sent
// on an open connection just after the upstream crashed did not run at a later incarnation.
func TestRequestSentRightAfterCrash(t *testing.T) {
	f := newTestSet(t)
	f.crashIncarnation("1", f.startRuns("a"))
	f.clock = f.clock.Add(minDowntime / 2)
	f.crashUnder("b", "1")
	for _, v := range f.List() {
		if !slices.Equal(v.Crashes, []string{"1"}) {
			t.Errorf("crashes %v, want only that of incarnation 1", v.Crashes)
		}
	}
}

// TestCrashesExplainedByTwoRequests covers a request whose crashes only two quarantined requests
// together explain: it may be a poison request as well, so it still runs once at a time. A single
// quarantined request that explains all crashes lifts this restriction.
func TestCrashesExplainedByTwoRequests(t *testing.T) {
	for _, tc := range []struct {
		name string
		// beside maps each other request to the incarnations at which the bystander runs beside it.
		beside     map[string][]string
		restricted bool
	}{
		{"one request explains both crashes", map[string][]string{"x": {"1", "2"}}, false},
		{"two requests explain one crash each", map[string][]string{"x": {"1"}, "y": {"4"}}, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newTestSet(t)
			for name, incarnations := range tc.beside {
				for _, incarnation := range incarnations {
					f.crashIncarnation(incarnation, f.startRuns(name, "bystander"))
				}
			}
			f.clock = f.clock.Add(confirmTimeout)
			for name := range tc.beside {
				err := error(nil)
				for i := len(tc.beside[name]); i < ambiguousThreshold && !errors.Is(err, ErrQuarantined); i++ {
					f.crashUnder(name, name+strconv.Itoa(i))
					f.clock = f.clock.Add(peerReportTime)
					var r *Run
					if r, err = f.Enter(t.Context(), request(name), 0); err == nil {
						r.Leave()
					}
				}
				if !errors.Is(err, ErrQuarantined) {
					t.Fatalf("%s: %v, want %v", name, err, ErrQuarantined)
				}
			}
			f.enter("bystander")
			if _, err := f.Enter(t.Context(), request("bystander"), 0); errors.Is(err, ErrOnTrial) != tc.restricted {
				t.Errorf("during another run: %v, want restricted %v", err, tc.restricted)
			}
		})
	}
}

// TestEntriesTakeTurns covers that entries take turns in trying a request with three crashes.
// Otherwise all of them would try it at once.
func TestEntriesTakeTurns(t *testing.T) {
	const entries = 4
	clock := time.Now()
	var sets []*Set
	for i := range entries {
		s := New(events.Nop(), func() time.Time { return clock }, func() {})
		s.SetName("entry-" + strconv.Itoa(i))
		sets = append(sets, s)
	}
	report := Report{Request: request("a"), Crashes: map[string]time.Time{}}
	for _, incarnation := range []string{"1", "2", "3"} {
		report.Crashes[incarnation] = clock
		report.OrdinaryRuns = append(report.OrdinaryRuns, incarnation)
	}
	tried := map[int]int{}
	for clock = clock.Add(peerReportTime); len(tried) < entries && clock.Before(report.Crashes["1"].Add(time.Minute)); clock = clock.Add(100 * time.Millisecond) {
		trying := 0
		for i, s := range sets {
			for j := range sets {
				if j != i {
					s.Merge("entry-"+strconv.Itoa(j), nil)
				}
			}
			s.Merge("entry-"+strconv.Itoa((i+1)%entries), []Report{report, {Request: request("b"), Crashes: report.Crashes, OrdinaryRuns: report.OrdinaryRuns}})
			if r, err := s.Enter(t.Context(), request("a"), 0); err == nil {
				trying++
				tried[i]++
				r.Leave()
			}
		}
		if trying > 1 {
			t.Fatalf("%d entries try the request at once", trying)
		}
	}
	if len(tried) < entries {
		t.Errorf("entries %v got a turn in a minute, want all", tried)
	}
}

// TestTrialsAreGossiped covers that entries report at which upstreams suspects run, so that others
// keep their suspects away, and how requests ran at crashes.
func TestTrialsAreGossiped(t *testing.T) {
	a, b := newTestSet(t), newTestSet(t)
	a.crashUnder("s", "1")
	run := a.enter("s")
	run.SentTo("up")
	reports := a.Reports()
	messages, runs := Encode(reports, a.clock), EncodeRuns(reports)
	received := Decode(messages, b.clock)
	AddRuns(received, runs)
	b.Merge("a", received)
	if trials := b.Trials(); !trials["up"] || len(trials) != 1 {
		t.Errorf("trials %v, want one at up", trials)
	}
	if kind := b.suspects[named("s")].crashes["1"].kind; kind != ordinaryRun {
		t.Errorf("run kind %d, want %d", kind, ordinaryRun)
	}
	if got := run.Isolation(); got != ApartIfPossible {
		t.Errorf("isolation %d after one crash, want %d", got, ApartIfPossible)
	}
	run.ResponseLost("up")
	a.ConfirmCrash("up")
	run.Leave()
	if got := a.enter("s").Isolation(); got != Apart {
		t.Errorf("isolation %d after two crashes, want %d", got, Apart)
	}
	if len(a.Trials()) != 0 {
		t.Errorf("trials %v after the run", a.Trials())
	}
}

// TestRunKindsMergeInAnyOrder covers reports of one crash that differ in the kind of run: from an
// entry of the previous release that does not send it, and from entries where the request was on
// trial or not yet a suspect.
func TestRunKindsMergeInAnyOrder(t *testing.T) {
	crashReport := func(first, tried []string) Report {
		return Report{Request: request("a"), Crashes: map[string]time.Time{"1": time.Now()}, OrdinaryRuns: first, TrialRuns: tried}
	}
	reports := []Report{crashReport(nil, nil), crashReport(nil, []string{"1"}), crashReport([]string{"1"}, nil)}
	for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {1, 0, 2}} {
		f := newTestSet(t)
		for _, i := range order {
			f.Merge("peer", []Report{reports[i]})
		}
		if kind := f.suspects[named("a")].crashes["1"].kind; kind != ordinaryRun {
			t.Errorf("reports in order %v: kind %d, want %d", order, kind, ordinaryRun)
		}
	}
}
