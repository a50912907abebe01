package pace

import (
	"math"
	"testing"
	"time"
)

const ms = time.Millisecond

// start is the time at which the tests begin.
var start = time.Unix(1000, 0)

// llm is the service of all engines but those called "unknown".
func llm(id string) string {
	if id == "unknown" {
		return ""
	}
	return "llm"
}

func newSet(t *testing.T) (*Set, *[]Change) {
	t.Helper()
	changes := &[]Change{}
	return New(func(c Change) { *changes = append(*changes, c) }), changes
}

// observe adds n segments of a stream at an engine, without pauses.
func observe(s *Set, id string, interval time.Duration, n int, now time.Time) {
	for range n {
		s.Add(Segment{Engine: id, Service: "llm", Interval: interval, Longest: interval, Bound: 180 * ms}, now)
	}
}

// TestPaceIgnoresSlowMoments guards against taking a slow moment, or prompts that are read beside a
// stream, for the lasting speed of an engine.
func TestPaceIgnoresSlowMoments(t *testing.T) {
	s, _ := newSet(t)
	for i := range 16 {
		interval := 30 * ms
		if i%3 == 0 {
			interval = 75 * ms
		}
		observe(s, "e", interval, 1, start)
	}
	if e, ok := s.Engine("e"); !ok || e.Interval != 30*ms {
		t.Errorf("pace %v (%v), want 30ms", e.Interval, ok)
	}
}

// TestReportsCountOnce guards against counting the repeated report of one entry as more observations:
// each entry weighs by its samples, however often its message arrives.
func TestReportsCountOnce(t *testing.T) {
	s, _ := newSet(t)
	observe(s, "e", 30*ms, 4, start)
	for range 10 {
		s.SetPeer("b", map[string]Report{"e": {Interval: 60 * ms, Samples: 4, At: start}}, llm, start)
	}
	if e, _ := s.Engine("e"); e.Interval != 45*ms || e.Samples != 8 || e.Entries != 2 {
		t.Errorf("got %+v, want 45ms from 8 samples of 2 entries", e)
	}
}

// TestInvalidReports guards against reports that cannot be true: each is dropped and counted, and
// changes nothing.
func TestInvalidReports(t *testing.T) {
	valid := Report{Interval: 60 * ms, Samples: 4, At: start}
	for name, r := range map[string]Report{
		"zero":           {Samples: 4, At: start},
		"negative":       {Interval: -ms, Samples: 4, At: start},
		"absurdly slow":  {Interval: time.Hour, Samples: 4, At: start},
		"overflow":       {Interval: math.MinInt64, Samples: 4, At: start},
		"no samples":     {Interval: 60 * ms, At: start},
		"many samples":   {Interval: 60 * ms, Samples: 1 << 30, At: start},
		"negative count": {Interval: 60 * ms, Samples: -4, At: start},
		"the future":     {Interval: 60 * ms, Samples: 4, At: start.Add(ms)},
		"too old":        {Interval: 60 * ms, Samples: 4, At: start.Add(-time.Hour)},
	} {
		s, _ := newSet(t)
		observe(s, "e", 30*ms, 4, start)
		before, _ := s.Engine("e")
		if n := s.SetPeer("b", map[string]Report{"e": r, "f": valid}, llm, start); n != 1 || s.Rejected() != 1 {
			t.Errorf("%s: %d rejected (%d in total), want 1", name, n, s.Rejected())
		}
		if after, _ := s.Engine("e"); after != before {
			t.Errorf("%s: changed %+v to %+v", name, before, after)
		}
		if _, ok := s.Engine("f"); !ok {
			t.Errorf("%s: the valid report beside it was dropped", name)
		}
	}
}

// TestUnknownEngineIsIgnored guards against keeping reports of engines that this entry does not know,
// and against complaining about them: other entries learn of a start earlier, or of an end later.
func TestUnknownEngineIsIgnored(t *testing.T) {
	s, _ := newSet(t)
	if n := s.SetPeer("b", map[string]Report{"unknown": {Interval: 60 * ms, Samples: 4, At: start}}, llm, start); n != 0 {
		t.Errorf("%d rejected, want none", n)
	}
	if len(s.List()) != 0 {
		t.Errorf("got %v, want nothing", s.List())
	}
}

// TestEngineThatStartsAgainIsNew guards against believing of a new incarnation what was observed of the
// one before, which may have been another machine.
func TestEngineThatStartsAgainIsNew(t *testing.T) {
	s, _ := newSet(t)
	observe(s, "e~1", 30*ms, 8, start)
	observe(s, "f", 30*ms, 8, start)
	s.Keep(func(id string) bool { return id != "e~1" })
	if _, ok := s.Engine("e~1"); ok {
		t.Error("the ended incarnation is still known")
	}
	if s.Profile("llm", start).Known("e~2") {
		t.Error("the new incarnation is known")
	}
}

// TestOnlyRecentEstimatesAreReported guards against messages that grow with all engines ever seen.
func TestOnlyRecentEstimatesAreReported(t *testing.T) {
	s, _ := newSet(t)
	observe(s, "old", 30*ms, 1, start)
	now := start.Add(ReportFor + ms)
	observe(s, "new", 30*ms, 1, now)
	got := s.Reports(now)
	if _, ok := got["new"]; !ok || len(got) != 1 {
		t.Errorf("got %v, want the engine with a recent sample", got)
	}
}

// TestSlowEngineIsReported: an engine begins to count as slow well above the pace of the others, and
// ceases to only well below that, so that the log does not flap.
func TestSlowEngineIsReported(t *testing.T) {
	s, changes := newSet(t)
	for _, id := range []string{"a", "b", "c"} {
		observe(s, id, 30*ms, 4, start)
	}
	observe(s, "slow", 60*ms, 16, start.Add(time.Second))
	observe(s, "slow", 38*ms, 16, start.Add(2*time.Second))
	if len(*changes) != 1 {
		t.Errorf("got %+v, want the engine slow at 38ms as well, where it began at 60ms", *changes)
	}
	observe(s, "slow", 33*ms, 16, start.Add(3*time.Second))
	if len(*changes) != 2 || !(*changes)[0].Slow || (*changes)[1].Slow || (*changes)[0].Engine != "slow" {
		t.Errorf("got %+v, want that the engine became slow and no longer is", *changes)
	}
}

// TestRiskFollowsPace guards against sending long streams to engines that pause them for too long: where
// pauses of five times the pace occur, an engine at 28 ms stays below a bound of 180 ms and one at 47 ms does
// not. An engine that nobody has observed counts as the mean of the others.
func TestRiskFollowsPace(t *testing.T) {
	s, _ := newSet(t)
	for i := range 400 {
		seg := Segment{Engine: "mid", Service: "llm", Interval: 28 * ms, Longest: 30 * ms, Bound: 180 * ms, Reading: i%4 == 0}
		if i%20 == 0 {
			seg.Longest = 5 * seg.Interval
		}
		s.Add(seg, start)
	}
	observe(s, "slow", 47*ms, 4, start)
	p := s.Profile("llm", start.Add(time.Second))
	mid, slow, unseen := p.LateRisk("mid", 180*ms, 187), p.LateRisk("slow", 180*ms, 187), p.LateRisk("unseen", 180*ms, 187)
	if mid > 0.05 || slow < 0.6 || unseen <= mid || unseen >= slow {
		t.Errorf("risks: mid %.2f, slow %.2f, unseen %.2f", mid, slow, unseen)
	}
	if brief := p.LateRisk("slow", 180*ms, 3); brief > 0.05 {
		t.Errorf("risk of a short stream %.2f, want at most 0.05", brief)
	}
	if short, long := p.DelayRisk("slow", 180*ms, 100*ms), p.DelayRisk("slow", 180*ms, 400*ms); short >= long || long < 0.1 {
		t.Errorf("risk of delaying others: %.2f by a short prompt, %.2f by a long one", short, long)
	}
}

// TestEqualPacesChangeNothing guards against a preference among engines of one speed, whose paces differ
// by measurement and by the number of their streams only.
func TestEqualPacesChangeNothing(t *testing.T) {
	s, _ := newSet(t)
	for id, interval := range map[string]time.Duration{"a": 30 * ms, "b": 33 * ms, "c": 28 * ms} {
		observe(s, id, interval, 100, start)
	}
	p := s.Profile("llm", start.Add(time.Second))
	for _, id := range []string{"b", "c", "unseen"} {
		if p.Slowdown(id) != 1 || p.LateRisk(id, 180*ms, 187) != p.LateRisk("a", 180*ms, 187) || p.DelayRisk(id, 180*ms, 300*ms) != p.DelayRisk("a", 180*ms, 300*ms) {
			t.Errorf("%s differs from a: slowdown %v", id, p.Slowdown(id))
		}
	}
}

// TestNoBoundKnowsNothing: without streams whose pauses the operator bounds there is no profile, and a
// missing profile treats all engines alike.
func TestNoBoundKnowsNothing(t *testing.T) {
	s, _ := newSet(t)
	p := s.Profile("llm", start)
	if p != nil || p.Bound() != 0 || p.Known("e") || p.Slowdown("e") != 1 || p.LateRisk("e", 180*ms, 187) != 0 || p.DelayRisk("e", 180*ms, 300*ms) != 0 || p.StartRisk(time.Second, 2*time.Second) != 0 {
		t.Errorf("got %+v, want a profile that knows nothing", p)
	}
}

// TestFirstPromptShowsPace: the time that an engine's first prompt takes is used until a stream has shown the
// pace, and not beside it.
func TestFirstPromptShowsPace(t *testing.T) {
	s, _ := newSet(t)
	observe(s, "a", 30*ms, 8, start)
	s.AddFirst("new", "llm", 1.6, start)
	if e, _ := s.Engine("new"); e.Interval != 48*ms || e.Samples != 1 {
		t.Errorf("got %+v, want 48ms from the first prompt", e)
	}
	observe(s, "new", 20*ms, 1, start)
	s.AddFirst("new", "llm", 1.6, start)
	if e, _ := s.Engine("new"); e.Interval != 20*ms || e.Samples != 1 {
		t.Errorf("got %+v, want the 20ms of the stream alone", e)
	}
	s.AddFirst("a", "llm", math.Inf(1), start)
	if e, _ := s.Engine("a"); e.Interval != 30*ms {
		t.Errorf("got %+v, want the observed pace", e)
	}
}

// TestFirstPromptIsBounded guards against an engine that counts as many times faster or slower than all others
// because its first prompt was cached, or waited behind others.
func TestFirstPromptIsBounded(t *testing.T) {
	for slowdown, want := range map[float64]time.Duration{0.001: 7500 * time.Microsecond, 0.5: 15 * ms, 2: 60 * ms, 1000: 120 * ms} {
		s, _ := newSet(t)
		observe(s, "a", 30*ms, 8, start)
		s.AddFirst("new", "llm", slowdown, start)
		if e, _ := s.Engine("new"); e.Interval != want {
			t.Errorf("got %v from a prompt that took %v times as long as usual, want %v", e.Interval, slowdown, want)
		}
	}
}

// TestStartRiskFollowsReading: the more of its limit the reading of prompts usually takes, the likelier a
// generation begins late.
func TestStartRiskFollowsReading(t *testing.T) {
	s, _ := newSet(t)
	observe(s, "a", 30*ms, 8, start)
	for i := range 200 {
		s.AddStart("llm", time.Duration(1+i%3)*100*ms, 100*ms)
	}
	p := s.Profile("llm", start.Add(time.Second))
	if low, high := p.StartRisk(200*ms, 1200*ms), p.StartRisk(500*ms, 1200*ms); low > 0.05 || high < 0.2 {
		t.Errorf("risk %.2f with a sixth of the limit and %.2f with half of it", low, high)
	}
}

func BenchmarkProfile(b *testing.B) {
	s := New(func(Change) {})
	for i := range 620 {
		s.Add(Segment{Engine: string(rune('a' + i)), Service: "llm", Interval: time.Duration(20+i%30) * ms, Longest: 40 * ms, Bound: 180 * ms}, start)
	}
	now := start
	for b.Loop() {
		now = now.Add(profileAge)
		s.Profile("llm", now)
	}
}
