package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/routetable"
)

// staleLoadSim simulates many entries that place generations at the engines of several zones, each
// with a load report that is delay old. One gateway makes all decisions, and its load tracker holds
// the loads of that earlier time.
type staleLoadSim struct {
	f       *fixture
	now     time.Time
	delay   time.Duration
	zones   []string
	engines []string
	// readBy is when each engine will have read all prompts sent to it.
	readBy map[string]time.Time
	// running are the generations at each engine.
	running map[string][]simGeneration
	history []loadSnapshot
	// late counts the generations that began late, and otherZone those that were placed outside
	// the zone of their entry.
	late, otherZone int
}

type simGeneration struct{ read, ends time.Time }

type loadSnapshot struct {
	at    time.Time
	loads map[string]gossip.Load
}

const (
	simPrompt     = 3000
	simOutput     = 400
	simReadTime   = 400 * time.Millisecond
	simOutputTime = 4 * time.Second
	simObjective  = 1800 * time.Millisecond
)

func newStaleLoadSim(t *testing.T, delay time.Duration) *staleLoadSim {
	o := &staleLoadSim{f: newFixture(t), now: time.Now(), delay: delay, readBy: map[string]time.Time{}, running: map[string][]simGeneration{}}
	var records []fleet.Record
	for z := range 6 {
		o.zones = append(o.zones, fmt.Sprintf("z%d", z))
		for i := range 24 {
			id := fmt.Sprintf("e%d-%d", z, i)
			o.engines = append(o.engines, id)
			records = append(records, fleet.Record{Name: id, Service: "llm", Zone: o.zones[z], Slots: 24})
		}
	}
	o.f.fleet.Update(records, nil, true, time.Time{})
	g := o.f.gateway
	g.now = func() time.Time { return o.now }
	g.loads = newLoadTracker(g.now)
	g.peers.Delay = func(string, bool) time.Duration { return delay }
	return o
}

// loads drops the generations that have ended and returns the load of each engine now.
func (o *staleLoadSim) loads() map[string]gossip.Load {
	out := map[string]gossip.Load{}
	for id, list := range o.running {
		kept := list[:0]
		var l gossip.Load
		for _, r := range list {
			if !o.now.Before(r.ends) {
				continue
			}
			kept = append(kept, r)
			l = l.Add(gossip.Load{Running: 1, Tokens: simPrompt + simOutput, Held: simPrompt})
			if o.now.Before(r.read) {
				l.Prefill += simPrompt
			}
		}
		o.running[id] = kept
		out[id] = l
	}
	return out
}

// place places one generation as an entry of a random zone.
func (o *staleLoadSim) place(t *testing.T) {
	t.Helper()
	o.f.gateway.settings.Zone = o.zones[rand.IntN(len(o.zones))]
	route := &routetable.Route{Kind: routetable.Stream, Objective: simObjective}
	service := &routetable.Service{Name: "llm", Engine: &routetable.Engine{Slots: 24, MemoryTokens: 34000, EventTokens: 4}}
	rq := &request{run: newQuarantineRun(), route: route, service: service, start: o.now, readAt: o.now}
	rq.call.Prompt, rq.call.MaxOutput = simPrompt, 2*simOutput
	u, err := o.f.gateway.admitEngine(&stream{g: o.f.gateway, rq: rq}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if u.Zone != o.f.gateway.settings.Zone {
		o.otherZone++
	}
	start := o.now
	if o.readBy[u.ID].After(start) {
		start = o.readBy[u.ID]
	}
	read := start.Add(simReadTime)
	o.readBy[u.ID] = read
	o.running[u.ID] = append(o.running[u.ID], simGeneration{read: read, ends: read.Add(simOutputTime)})
	if read.Sub(o.now) > simObjective {
		o.late++
	}
}

// applyReports gives the gateway the loads as they were delay ago.
func (o *staleLoadSim) applyReports() {
	o.history = append(o.history, loadSnapshot{at: o.now, loads: o.loads()})
	for len(o.history) > 1 && !o.now.Before(o.history[1].at.Add(o.delay)) {
		o.history = o.history[1:]
	}
	if !o.now.Before(o.history[0].at.Add(o.delay)) {
		o.f.gateway.SetPeerLoad("others", o.history[0].loads)
	}
}

// Entries that learn of each other's placements with a delay must not all choose the same
// engine. 190 requests per second are the load of 103 entries, and half of what 144 engines can
// read.
func TestStaleLoadsDoNotCrowdEngines(t *testing.T) {
	const step, rate, simDuration = 5 * time.Millisecond, 190.0, 40 * time.Second
	for _, tc := range []struct {
		delay time.Duration
		// maxLate is the largest share of the generations that may begin late.
		maxLate float64
	}{
		{10 * time.Millisecond, 0.001},
		{50 * time.Millisecond, 0.005},
		{100 * time.Millisecond, 0.005},
		{350 * time.Millisecond, 0.01},
	} {
		t.Run(tc.delay.String(), func(t *testing.T) {
			o := newStaleLoadSim(t, tc.delay)
			placed, due := 0, 0.0
			for end := o.now.Add(simDuration); o.now.Before(end); o.now = o.now.Add(step) {
				o.applyReports()
				for due += rate * step.Seconds(); due >= 1; due-- {
					o.place(t)
					placed++
				}
			}
			t.Logf("%d of %d late, %d in another zone", o.late, placed, o.otherZone)
			if share := float64(o.late) / float64(placed); share > tc.maxLate {
				t.Errorf("%d of %d generations began late with loads %s old, want a share of at most %v", o.late, placed, tc.delay, tc.maxLate)
			}
		})
	}
}
