package daemon

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
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
			overslept := measureOversleep(done)
			start := time.Now()
			b.awaitQuiet(start.Add(least), start.Add(most))
			// On a machine at its limit, the sleeps of the wait take longer than asked for.
			if took, late := time.Since(start), time.Duration(overslept.Load()); took < tc.want || took > tc.want+slack+late {
				t.Errorf("stopped accepting connections after %s, want %s, and %s for what this process did not run", took, tc.want, late)
			}
		})
	}
}

// TestStopDeadlines guards against requests that are accepted for later than a stop ends them, and against answers that
// are cut while the process still has time.
func TestStopDeadlines(t *testing.T) {
	const within = 8 * time.Second
	noticed := time.Now()
	signalled, earliest := noticed.Add(-300*time.Millisecond), noticed.Add(-500*time.Millisecond)
	d := stopDeadlines(earliest, signalled, noticed, within)
	givenUp := d.Unanswered.Add(-gateway.AnswerReserve)
	if got := d.NewRequests.Sub(earliest); got != givenUp.Sub(signalled) {
		t.Errorf("requests are accepted until %s and given up after %s", got, givenUp.Sub(signalled))
	}
	if got := d.NewStreams.Sub(earliest); got != d.End.Sub(noticed) {
		t.Errorf("streams are accepted until %s and cut after %s", got, d.End.Sub(noticed))
	}
	if kill := noticed.Add(within); d.End != kill.Add(-exitReserve) {
		t.Errorf("answers that have begun are cut %s before the end", kill.Sub(d.End))
	}
}

// measureOversleep adds up by how many nanoseconds sleeps of this process take longer than asked for, beyond the
// usual, until done is closed.
func measureOversleep(done <-chan struct{}) *atomic.Int64 {
	const usual = 10 * time.Millisecond
	var total atomic.Int64
	go func() {
		for {
			select {
			case <-done:
				return
			default:
			}
			start := time.Now()
			time.Sleep(quietPollInterval)
			total.Add(max(time.Since(start)-quietPollInterval-usual, 0).Nanoseconds())
		}
	}()
	return &total
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
