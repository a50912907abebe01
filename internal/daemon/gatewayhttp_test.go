package daemon

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gateway"
	"github.com/sparshore/sparshore/internal/protocol"
)

// TestAwaitQuiet covers how long a stopping gateway continues to accept connections.
func TestAwaitQuiet(t *testing.T) {
	const least, most, slack = 200 * time.Millisecond, 1500 * time.Millisecond, 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		busy bool
		want time.Duration
	}{
		{"callers keep arriving: waits until the deadline", true, most},
		{"no callers arrive: waits until the balancer has noticed", false, least},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := &gatewayBuilder{stalls: startStallDetector(t), gateway: newGatewayWithoutRoutes()}
			done := make(chan struct{})
			defer close(done)
			if tc.busy {
				go sendRequestsUntil(b.gateway, done)
				time.Sleep(quietPollInterval)
			}
			start := time.Now()
			b.awaitQuiet(start.Add(least), start.Add(most))
			if took := time.Since(start); took < tc.want || took > tc.want+slack {
				t.Errorf("stopped accepting connections after %s, want %s", took, tc.want)
			}
		})
	}
}

// newGatewayWithoutRoutes returns a gateway that refuses every request.
func newGatewayWithoutRoutes() *gateway.Gateway {
	proto := protocol.Protocol{
		Decode: func(*http.Request, time.Time) protocol.Call { return protocol.Call{} },
		Refuse: func(w http.ResponseWriter, _ *protocol.Call, r protocol.Refusal, _ time.Time) {
			w.WriteHeader(r.Status)
		},
	}
	routes := belief.NewRoutes("", nil, events.Nop(), time.Now)
	return gateway.New(gateway.Settings{}, routes, nil, nil, proto, gateway.Peers{SendNow: func() {}}, events.Nop(), prometheus.NewRegistry(), time.Now)
}

func sendRequestsUntil(h http.Handler, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case <-time.After(quietPollInterval):
			h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		}
	}
}
