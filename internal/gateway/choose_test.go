package gateway

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
)

// TestZoneIsKept covers when requests leave their zone: not for a small difference
// in load, because links between zones may lose packets.
func TestZoneIsKept(t *testing.T) {
	for _, tc := range []struct {
		name string
		// near is what runs at the upstream of the own zone; the other one is idle.
		near gossip.Load
		want string
	}{
		{"both idle", gossip.Load{}, "near"},
		{"half a generation more at the near engine", gossip.Load{Running: 1, Tokens: 2000, Held: 2000}, "near"},
		{"two generations more at the near engine", gossip.Load{Running: 2, Tokens: 8000, Held: 8000}, "far"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.settings.Zone = "a"
			f.fleet.Update([]fleet.Record{{ID: "near", Service: "llm", Zone: "a"}, {ID: "far", Service: "llm", Zone: "b"}}, nil, true, time.Time{})
			claim := f.gateway.ledger.take("near", tc.near)
			defer claim.release()
			table, _ := f.routes.Current()
			route, _ := table.Match("host", pathStream)
			service, _ := table.Service("llm")
			rq := &request{route: route, service: service, start: time.Now()}
			rq.call.Prompt, rq.call.MaxOutput = 1000, 1000
			for range 20 {
				if u, err := f.gateway.admitEngine(&stream{g: f.gateway, rq: rq}, nil); err != nil || u.ID != tc.want {
					t.Fatalf("%q, %v; want %q", u.ID, err, tc.want)
				}
			}
		})
	}
}

// TestPlainCallsKeepTheZone: a call leaves its zone only for an upstream with a
// whole request less.
func TestPlainCallsKeepTheZone(t *testing.T) {
	for _, tc := range []struct {
		name    string
		running int
		want    string
	}{
		{"both idle", 0, "near"},
		{"two requests more at the near upstream", 2, "far"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.settings.Zone = "a"
			f.fleet.Update([]fleet.Record{{ID: "near", Service: "app", Zone: "a", Slots: 6}, {ID: "far", Service: "app", Zone: "b", Slots: 6}}, nil, true, time.Time{})
			claim := f.gateway.ledger.take("near", gossip.Load{Running: tc.running})
			defer claim.release()
			for range 20 {
				if u, ok := f.gateway.choosePlain("app", nil); !ok || u.ID != tc.want {
					t.Fatalf("%q, %v; want %q", u.ID, ok, tc.want)
				}
			}
		})
	}
}
