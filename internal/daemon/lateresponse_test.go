package daemon

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/kernel"
)

// TestResponsesAreWrittenWhileOtherServicesStop guards against a gateway that closes the connections of
// requests which it has answered, but whose responses are not written yet, before its other services stop.
func TestResponsesAreWrittenWhileOtherServicesStop(t *testing.T) {
	b := &gatewayBuilder{stalls: startStallDetector(t), gateway: newGatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now), settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: stopReserve}}
	begun, release := make(chan struct{}), make(chan struct{})
	callers, address := listenForCallers(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	other := kernel.Service{
		Name:  "other",
		Build: func(*kernel.Registry) (any, error) { return 0, nil },
		Stop: func(context.Context, *kernel.Registry) error {
			close(release)
			return nil
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stopped := make(chan error, 1)
	go func() {
		stopped <- kernel.Run(ctx, kernel.Limits{Start: time.Minute, Stop: time.Minute}, []kernel.Service{b.responseService(), other, callers, b.gatewayService()})
	}()
	go func() {
		<-begun
		stop()
	}()
	resp, err := http.Post("http://"+(<-address).String()+"/", "text/plain", nil)
	if err != nil {
		t.Errorf("a request that was answered got no response: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
