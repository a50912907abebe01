package gateway

import (
	"errors"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestLongGenerationsLeaveHeadroom checks that a gateway that gets urgent brief generations does
// not fill the last room of an engine with a long one, unless the long one is more urgent or its
// caller waits for the rest of an answer. Without the reserve, brief ones find no room once a
// burst of long ones has filled all engines.
func TestLongGenerationsLeaveHeadroom(t *testing.T) {
	brief := protocol.Call{Prompt: 2200, MaxOutput: 12, Hint: 8}
	long := protocol.Call{Prompt: 3000, MaxOutput: 1000, Hint: 700}
	const urgent, normal = 0, 1
	for _, tc := range []struct {
		name string
		// before are the brief generations that arrived in the last two seconds.
		before   int
		call     protocol.Call
		priority int
		// begun is set if the caller waits for the rest of an answer.
		begun bool
		want  error
	}{
		{"no brief ones", 0, long, normal, false, nil},
		{"long one of lower rank", 40, long, normal, false, placement.ErrHeadroom},
		{"long one of higher rank", 40, long, -1, false, nil},
		{"brief one", 40, brief, urgent, false, nil},
		{"rest of an answer", 40, long, normal, true, nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.fleet.Update([]fleet.Record{{Name: "e", Service: "llm"}}, nil, true, time.Time{})
			engine := &routetable.Engine{Slots: 24, MemoryTokens: 27000, EventTokens: 4}
			request := func(c protocol.Call, priority int) *request {
				return &request{run: newQuarantineRun(), call: c, start: time.Now(), readAt: time.Now(), service: &routetable.Service{Name: "llm", Engine: engine},
					route: &routetable.Route{Kind: routetable.Stream, Objective: 1500 * time.Millisecond, Priority: priority}}
			}
			for range tc.before {
				f.gateway.recordArrival(request(brief, urgent))
			}
			f.gateway.recordArrival(request(long, urgent))
			claim := f.gateway.loads.add("e", gossip.Load{Running: 5, Held: 21000, Tokens: 22500})
			defer claim.release()
			rq := request(tc.call, tc.priority)
			s := &stream{g: f.gateway, rq: rq}
			s.software = streamSoftware{begun: tc.begun, known: tc.begun}
			if _, err := f.gateway.admitEngine(s, nil); !errors.Is(err, tc.want) {
				t.Errorf("got %v, want %v", err, tc.want)
			}
		})
	}
}

// TestHeadroomMetric checks that operators see the reserved memory of the services that got brief
// generations.
func TestHeadroomMetric(t *testing.T) {
	f := newFixture(t)
	f.fleet.Update([]fleet.Record{{Name: "e", Service: "llm"}}, nil, true, time.Time{})
	if got := f.gateway.headroomByService(); len(got) != 0 {
		t.Errorf("%v before any arrival, want nothing", got)
	}
	table, _ := f.routes.Current()
	route, _ := table.Match("host", pathStream)
	service, _ := table.Service("llm")
	for range 10 {
		f.gateway.recordArrival(&request{call: protocol.Call{Prompt: 2000, MaxOutput: 8}, start: time.Now(), readAt: time.Now(), service: service, route: route})
	}
	reg := prometheus.NewPedanticRegistry()
	reg.MustRegister(newHeadroomGauge(f.gateway.headroomByService))
	families, err := reg.Gather()
	if err != nil || len(families) != 1 || families[0].GetMetric()[0].GetGauge().GetValue() <= 0 {
		t.Errorf("%v, %v after ten brief generations, want a reserve of llm", families, err)
	}
}
