package quarantine

import (
	"errors"
	"strings"
	"testing"
	"time"
)

// reportOf returns a peer's report about a request. crashes lists the crashed incarnations, separated by
// a bar into those of ordinary runs and those of trial runs.
func reportOf(name, crashes string, at time.Time) Report {
	ordinary, trial, _ := strings.Cut(crashes, "|")
	w := Report{
		Request: request(name), Crashes: map[string]time.Time{},
		OrdinaryRuns: strings.Fields(ordinary), TrialRuns: strings.Fields(trial),
	}
	for incarnation := range strings.FieldsSeq(strings.Replace(crashes, "|", " ", 1)) {
		w.Crashes[incarnation] = at
	}
	return w
}

// quarantinedOf returns which of the given requests are quarantined.
func (f *fixture) quarantinedOf(names ...string) string {
	f.t.Helper()
	f.Sweep(func(string) bool { return false })
	var quarantined []string
	for _, name := range names {
		r, err := f.Enter(f.t.Context(), request(name), 0)
		if errors.Is(err, ErrQuarantined) {
			quarantined = append(quarantined, name)
		}
		if r != nil {
			r.Leave()
		}
	}
	return strings.Join(quarantined, " ")
}

// TestHarmlessRequestCoveredByPoisonRequestIsNotQuarantined guards against quarantining a harmless
// request together with the poison request that explains all its crashes. When no crash was
// distinctive for any request, all requests with five crashes were quarantined, including those
// that had run only beside the poison request.
func TestHarmlessRequestCoveredByPoisonRequestIsNotQuarantined(t *testing.T) {
	f := newTestSet(t)
	f.Merge("other", []Report{
		reportOf("poison", "1 | 2 3 4 5 6", f.clock), reportOf("harmless", "1 | 2 3 4 5", f.clock),
		reportOf("bystander", "1 | 6", f.clock),
	})
	f.clock = f.clock.Add(confirmTimeout)
	if quarantined := f.quarantinedOf("poison", "harmless", "bystander"); quarantined != "poison" {
		t.Errorf("quarantined %q, want only the poison request", quarantined)
	}
}

// TestNoQuarantineBeforePeerReportsArrive guards against quarantining a harmless request as soon as
// its third crash is known. A peer may report only 0.7 s later that it had sent the poison request
// to the same upstreams.
func TestNoQuarantineBeforePeerReportsArrive(t *testing.T) {
	f := newTestSet(t)
	f.Merge("other", nil)
	for _, incarnation := range []string{"1", "2", "3"} {
		f.crashUnder("harmless", incarnation)
		f.clock = f.clock.Add(localReportTime)
	}
	if quarantined := f.quarantinedOf("harmless"); quarantined != "" {
		t.Error("quarantined before peers can have reported other requests that ran there")
	}
	f.Merge("other", []Report{reportOf("poison", "1 | 2 3 4 5", f.clock)})
	f.clock = f.clock.Add(peerReportTime)
	if quarantined := f.quarantinedOf("harmless", "poison"); quarantined != "poison" {
		t.Errorf("quarantined %q, want only the poison request", quarantined)
	}
}

// TestBystandersDoNotDelayQuarantine guards against a poison request escaping quarantine after four
// crashes and reaching a fifth upstream. Harmless requests that ran beside it at two of the crashes
// were taken for further possible poison requests, which raised the number of distinctive crashes
// needed.
func TestBystandersDoNotDelayQuarantine(t *testing.T) {
	f := newTestSet(t)
	f.Merge("other", []Report{
		reportOf("poison", "1 | 2 3 4", f.clock), reportOf("harmless", "2 | 3", f.clock),
		reportOf("another harmless one", "1 | 2", f.clock),
	})
	f.clock = f.clock.Add(confirmTimeout)
	if quarantined := f.quarantinedOf("poison", "harmless", "another harmless one"); quarantined != "poison" {
		t.Errorf("quarantined %q, want only the poison request", quarantined)
	}
}

// TestHarmlessRequestReleasedOncePoisonRequestsAreKnown guards against refusing a harmless request
// for ten minutes although the poison requests beside which it ran are quarantined. Other suspects
// ran at all crashes, so the requests were quarantined by their number of crashes, and no poison
// request alone explained all crashes of the harmless one.
func TestHarmlessRequestReleasedOncePoisonRequestsAreKnown(t *testing.T) {
	f := newTestSet(t)
	reports := []Report{
		reportOf("harmless", "1 2 | 3 4 5", f.clock), reportOf("first poison", "1 | 3 6 7 8", f.clock),
		reportOf("second poison", "2 | 4 5 9 10 11", f.clock),
	}
	for _, incarnation := range []string{"3", "4", "5", "6", "7", "8", "9", "10", "11"} {
		reports = append(reports, reportOf("bystander at "+incarnation, "| "+incarnation, f.clock))
	}
	f.Merge("other", reports)
	f.clock = f.clock.Add(confirmTimeout)
	if quarantined := f.quarantinedOf("first poison", "harmless", "second poison"); quarantined != "first poison second poison" {
		t.Errorf("quarantined %q, want only the poison requests", quarantined)
	}
	if run := f.enter("harmless"); !run.Suspected() {
		t.Error("released without a trial")
	}
}

// TestIndistinguishableRequestsStayQuarantined guards against releasing one of two requests that
// ran at the same crashes: either may be the cause.
func TestIndistinguishableRequestsStayQuarantined(t *testing.T) {
	f := newTestSet(t)
	f.Merge("other", []Report{
		reportOf("a", "1 2 | 3 4 5", f.clock), reportOf("b", "1 2 | 3 4 5", f.clock),
	})
	f.clock = f.clock.Add(confirmTimeout)
	if quarantined := f.quarantinedOf("a", "b"); quarantined != "a b" {
		t.Errorf("quarantined %q, want both", quarantined)
	}
}
