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

// oldNews plays many entries that place generations at the engines of some zones while
// each knows the loads of a moment ago only; all of them decide by one gateway, whose
// ledger holds the loads of that moment.
type oldNews struct {
	f       *fixture
	now     time.Time
	delay   time.Duration
	zones   []string
	engines []string
	// readBy is when an engine has read the prompts that it got.
	readBy map[string]time.Time
	// running are the generations at each engine.
	running map[string][]running
	history []snapshot
	// late are the generations that began late, and away those placed in another zone
	// than their entry's.
	late, away int
}

type running struct{ read, ends time.Time }

type snapshot struct {
	at    time.Time
	loads map[string]gossip.Load
}

const (
	oldNewsPrompt = 3000
	oldNewsOutput = 400
	oldNewsReads  = 400 * time.Millisecond
	oldNewsRuns   = 4 * time.Second
	oldNewsAim    = 1800 * time.Millisecond
)

func newOldNews(t *testing.T, delay time.Duration) *oldNews {
	o := &oldNews{f: newFixture(t), now: time.Now(), delay: delay, readBy: map[string]time.Time{}, running: map[string][]running{}}
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
	g.ledger = newLedger(g.now)
	g.others.Delay = func(string, bool) time.Duration { return delay }
	return o
}

// loads is what runs at the engines now.
func (o *oldNews) loads() map[string]gossip.Load {
	out := map[string]gossip.Load{}
	for id, list := range o.running {
		kept := list[:0]
		var l gossip.Load
		for _, r := range list {
			if !o.now.Before(r.ends) {
				continue
			}
			kept = append(kept, r)
			l = l.Add(gossip.Load{Running: 1, Tokens: oldNewsPrompt + oldNewsOutput, Held: oldNewsPrompt})
			if o.now.Before(r.read) {
				l.Prefill += oldNewsPrompt
			}
		}
		o.running[id] = kept
		out[id] = l
	}
	return out
}

// place lets one entry place a generation.
func (o *oldNews) place(t *testing.T) {
	t.Helper()
	o.f.gateway.settings.Zone = o.zones[rand.IntN(len(o.zones))]
	route := &routetable.Route{Kind: routetable.Stream, Objective: oldNewsAim}
	service := &routetable.Service{Name: "llm", Engine: &routetable.Engine{Slots: 24, MemoryTokens: 34000, EventTokens: 4}}
	rq := &request{run: newRun(), route: route, service: service, start: o.now}
	rq.call.Prompt, rq.call.MaxOutput = oldNewsPrompt, 2*oldNewsOutput
	u, err := o.f.gateway.admitEngine(&stream{g: o.f.gateway, rq: rq}, nil)
	if err != nil {
		t.Fatal(err)
	}
	if u.Zone != o.f.gateway.settings.Zone {
		o.away++
	}
	start := o.now
	if o.readBy[u.ID].After(start) {
		start = o.readBy[u.ID]
	}
	read := start.Add(oldNewsReads)
	o.readBy[u.ID] = read
	o.running[u.ID] = append(o.running[u.ID], running{read: read, ends: read.Add(oldNewsRuns)})
	if read.Sub(o.now) > oldNewsAim {
		o.late++
	}
}

// learn makes the loads of the delay before known.
func (o *oldNews) learn() {
	o.history = append(o.history, snapshot{at: o.now, loads: o.loads()})
	for len(o.history) > 1 && !o.now.Before(o.history[1].at.Add(o.delay)) {
		o.history = o.history[1:]
	}
	if !o.now.Before(o.history[0].at.Add(o.delay)) {
		o.f.gateway.PeerLoad("others", o.history[0].loads)
	}
}

// TestOldNewsDoesNotCrowdEngines: entries that learn of each other's placements late
// must not all take the same engine. A rate of 190 a second is what 103 entries get,
// half of what 144 engines can read.
func TestOldNewsDoesNotCrowdEngines(t *testing.T) {
	const step, rate, played = 5 * time.Millisecond, 190.0, 40 * time.Second
	for _, tc := range []struct {
		delay time.Duration
		// most is the largest part of the generations that may begin late.
		most float64
	}{
		{10 * time.Millisecond, 0.001},
		{50 * time.Millisecond, 0.005},
		{100 * time.Millisecond, 0.005},
		{350 * time.Millisecond, 0.01},
	} {
		t.Run(tc.delay.String(), func(t *testing.T) {
			o := newOldNews(t, tc.delay)
			placed, due := 0, 0.0
			for end := o.now.Add(played); o.now.Before(end); o.now = o.now.Add(step) {
				o.learn()
				for due += rate * step.Seconds(); due >= 1; due-- {
					o.place(t)
					placed++
				}
			}
			t.Logf("%d of %d late, %d in another zone", o.late, placed, o.away)
			if part := float64(o.late) / float64(placed); part > tc.most {
				t.Errorf("%d of %d generations began late with news of %s, want a part of at most %v", o.late, placed, tc.delay, tc.most)
			}
		})
	}
}
