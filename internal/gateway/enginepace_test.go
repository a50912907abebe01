package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

const maxTestPause = 180 * time.Millisecond

// TestSegmentMeter guards against samples that depend on when single events were passed on: a sample spans
// several events, and events that arrive together count as many.
func TestSegmentMeter(t *testing.T) {
	var m segmentMeter
	at := time.Unix(1000, 0)
	if _, _, ok := m.add(1, at); ok {
		t.Fatal("the first event completes a segment")
	}
	for i, n := range []int{2, 1, 3} {
		at = at.Add(time.Duration(n) * 30 * time.Millisecond)
		if _, _, ok := m.add(n, at); ok {
			t.Fatalf("write %d completes a segment", i)
		}
	}
	at = at.Add(60 * time.Millisecond)
	interval, longest, ok := m.add(2, at)
	if !ok || interval != 30*time.Millisecond || longest != 90*time.Millisecond {
		t.Errorf("got %v and %v (%v), want 30ms and 90ms", interval, longest, ok)
	}
}

// boundedStream returns a long stream at an engine, on a route that bounds its pauses.
func (f *fixture) boundedStream(at string) *stream {
	f.t.Helper()
	u, _ := f.fleet.Get(at)
	rq := &request{
		call: protocol.Call{ID: "r", Prompt: 3000, MaxOutput: 2000, Hint: 800}, caller: f.t.Context(), run: newQuarantineRun(), start: time.Now(),
		route:   &routetable.Route{Kind: routetable.Stream, MaxPause: maxTestPause},
		service: &routetable.Service{Name: "llm", Engine: &routetable.Engine{Slots: 8, MemoryTokens: 100000, Moves: true, EventTokens: 4}},
	}
	s := &stream{g: f.gateway, rq: rq, at: u, events: 10}
	s.claim = f.gateway.loads.add(at, gossip.Load{Running: 1, Tokens: s.expectedTokens(), Held: s.heldTokens()})
	return s
}

// observePaces makes the entry observe a pace at each engine, with a pause of five times the pace in each
// twentieth segment.
func (f *fixture) observePaces(paces map[string]time.Duration) {
	for id, interval := range paces {
		for i := range 100 {
			longest := interval
			if i%20 == 0 {
				longest = 5 * interval
			}
			f.gateway.paces.Add(pace.Segment{Engine: id, Service: "llm", Interval: interval, Longest: longest, Bound: maxTestPause}, f.gateway.now())
		}
	}
}

// relayEvents makes a stream pass on events until it has measured a segment.
func relayEvents(s *stream, interval time.Duration) {
	at := time.Now()
	for range pace.SegmentEvents + 1 {
		at = at.Add(interval)
		s.lastAt = at
		s.measurePace(s.at, 1, at)
	}
}

// TestStreamLeavesSlowEngine guards against a stream that stays on an engine which is known to pause it for
// too long, while another one has room.
func TestStreamLeavesSlowEngine(t *testing.T) {
	for _, tt := range []struct {
		name   string
		change func(f *fixture, s *stream)
		want   bool
	}{
		{"slow engine", func(*fixture, *stream) {}, true},
		{"the stream is late already", func(_ *fixture, s *stream) { s.longestPause = 2 * maxTestPause }, false},
		{"the route bounds no pauses", func(_ *fixture, s *stream) { s.rq.route.MaxPause = 0 }, false},
		{"the engine leaves, so the stream moves anyway", func(f *fixture, _ *stream) { f.leave("slow") }, false},
		{"another stream is being relocated", func(f *fixture, _ *stream) { f.gateway.relocating.Store(true) }, false},
		{"the retry budget is needed for failures", func(f *fixture, _ *stream) {
			for f.gateway.takeExtra("llm", relocationReserve) {
			}
		}, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			for _, id := range []string{"slow", "fast"} {
				f.addEngine(id).copies = []protocol.CopyResult{{Outcome: protocol.Copied, Handle: "h"}, {Outcome: protocol.Copied, Handle: "h2"}}
			}
			f.observePaces(map[string]time.Duration{"slow": 47 * time.Millisecond, "fast": 20 * time.Millisecond})
			s := f.boundedStream("slow")
			defer s.end()
			tt.change(f, s)
			relayEvents(s, 47*time.Millisecond)
			if !tt.want {
				time.Sleep(20 * time.Millisecond)
				if s.moving() || s.attemptTaken {
					t.Error("the stream is relocated")
				}
				return
			}
			f.waitUntil("the stream is relocated", s.moving)
			if !s.takeReservedAttempt() || s.takeReservedAttempt() {
				t.Error("the attempt is not taken from the retry budget exactly once")
			}
		})
	}
}

// TestRelocationTakesOneAttempt guards against relocations that use up the retry budget: one that failed may be
// tried again with the attempt that was taken for it, and a generation that is being moved stays with that move.
func TestRelocationTakesOneAttempt(t *testing.T) {
	for _, tt := range []struct {
		name   string
		moving bool
		// want is the number of copy commands and attempts after two segments.
		wantCommands, wantAttempts int
	}{
		{"the copies fail", false, 2, 1},
		{"the generation is being moved", true, 0, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			slow := f.addEngine("slow")
			slow.copies = []protocol.CopyResult{{Outcome: protocol.CopyFailed}}
			f.addEngine("fast")
			f.observePaces(map[string]time.Duration{"slow": 47 * time.Millisecond, "fast": 20 * time.Millisecond})
			s := f.boundedStream("slow")
			defer s.end()
			if tt.moving {
				s.handover = make(chan struct{})
			}
			for range 2 {
				relayEvents(s, 47*time.Millisecond)
				f.waitUntil("the relocation has ended", func() bool { return !f.gateway.relocating.Load() })
			}
			slow.mu.Lock()
			defer slow.mu.Unlock()
			if got := f.gateway.budget("llm").Use().Extra; got != tt.wantAttempts || slow.commandCount != tt.wantCommands {
				t.Errorf("%d attempts and %d copy commands, want %d and %d", got, slow.commandCount, tt.wantAttempts, tt.wantCommands)
			}
		})
	}
}

// TestSlowCallerDoesNotSlowEngine guards against blaming an engine for a caller that reads slowly: behind it,
// events arrive when there is room for them.
func TestSlowCallerDoesNotSlowEngine(t *testing.T) {
	f := newFixture(t)
	f.addEngine("e")
	s := f.boundedStream("e")
	at := time.Now()
	for range 4 * pace.SegmentEvents {
		arrived := at
		at = at.Add(300 * time.Millisecond)
		s.lastAt = at
		s.measurePace(s.at, 1, arrived)
	}
	if e, ok := f.gateway.paces.Engine("e"); ok {
		t.Errorf("the engine has the pace %v, want none", e.Interval)
	}
}

// TestWaitingEventsDoNotSpeedEngine guards against taking the events that waited for a slow caller, and are passed
// on at once when it reads again, for those of a fast engine. The pace is measured again once an event had to be
// waited for.
func TestWaitingEventsDoNotSpeedEngine(t *testing.T) {
	f := newFixture(t)
	f.addEngine("e")
	s := f.boundedStream("e")
	at := time.Now()
	pass := func(n int, wait, write time.Duration) {
		for range n {
			arrived := at.Add(wait)
			at = arrived.Add(write)
			s.lastAt = at
			s.measurePace(s.at, 1, arrived)
		}
	}
	const interval, soon = 30 * time.Millisecond, 20 * time.Microsecond
	pass(1, interval, time.Second)
	pass(4*pace.SegmentEvents, soon, soon)
	if e, ok := f.gateway.paces.Engine("e"); ok {
		t.Errorf("the engine has the pace %v by events that waited, want none", e.Interval)
	}
	pass(pace.SegmentEvents+1, interval, 0)
	if e, ok := f.gateway.paces.Engine("e"); !ok || e.Interval != interval {
		t.Errorf("the engine has the pace %v (%v), want %v", e.Interval, ok, interval)
	}
}

// TestPeerPaces: reports of other entries count for known engines, and invalid ones are logged.
func TestPeerPaces(t *testing.T) {
	f := newFixture(t)
	f.addEngine("e")
	report := pace.Report{Interval: 30 * time.Millisecond, Samples: 4, At: f.gateway.now()}
	f.gateway.SetPeerPaces("other", map[string]pace.Report{"e": report, "gone": report})
	if got := f.gateway.KnownPaces(); len(got) != 1 || got["e"].Interval != report.Interval {
		t.Errorf("got %v, want the pace of e", got)
	}
	if f.recorded(events.PaceRejected) {
		t.Error("a valid report is logged as rejected")
	}
	f.gateway.SetPeerPaces("other", map[string]pace.Report{"e": {Interval: -1, Samples: 4, At: f.gateway.now()}})
	if !f.recorded(events.PaceRejected) {
		t.Error("an invalid report is not logged")
	}
}

// TestUnknownUpstreamHasNoService covers engines of which another entry heard first.
func TestUnknownUpstreamHasNoService(t *testing.T) {
	f := newFixture(t)
	f.fleet.Update([]fleet.Record{{Name: "e", Service: "llm"}}, nil, true, time.Time{})
	if got := f.gateway.engineService("e"); got != "llm" {
		t.Errorf("service %q, want llm", got)
	}
	if got := f.gateway.engineService("gone"); got != "" {
		t.Errorf("service %q of an unknown upstream", got)
	}
}

// TestPaceMetrics: operators see the pace of each engine, who observed it, and rejected reports.
func TestPaceMetrics(t *testing.T) {
	f := newFixture(t)
	f.addEngine("e")
	f.observePaces(map[string]time.Duration{"e": 30 * time.Millisecond})
	reg := prometheus.NewRegistry()
	reg.MustRegister(newPaceCollector(f.gateway.paces))
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	got := map[string]float64{}
	for _, family := range families {
		got[family.GetName()] = family.GetMetric()[0].GetGauge().GetValue()
	}
	if got["sparshore_gateway_engine_event_seconds"] != 0.03 || got["sparshore_gateway_engine_observers"] != 1 || len(got) != 3 {
		t.Errorf("got %v", got)
	}
}
