package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/kernel"
)

// TestResponsesAreWrittenWhileOtherServicesStop guards against a gateway that closes the connections of
// requests which it has answered, but whose responses are not written yet, before its other services stop.
func TestResponsesAreWrittenWhileOtherServicesStop(t *testing.T) {
	release := make(chan struct{})
	stopBesideRequest(t, stopReserve, release, func(*gatewayBuilder) { close(release) }, func(string) {})
}

// TestOtherServicesStopAfterRequestsInFlight guards against a gateway whose other services stop while requests are
// still served.
func TestOtherServicesStopAfterRequestsInFlight(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	stopBesideRequest(t, 2*time.Second, release, func(b *gatewayBuilder) {
		if n := b.callers.connections.Open(); n > 0 {
			t.Errorf("other services stop while %d connections have requests in flight", n)
		}
	}, func(address string) {
		for err := error(nil); err == nil; {
			var c net.Conn
			if c, err = net.Dial("tcp", address); err == nil {
				_ = c.Close()
			}
			time.Sleep(10 * time.Millisecond)
		}
		close(release)
	})
}

// stopBesideRequest stops a gateway while one request is in flight, which is answered once release is closed. It
// calls beside with the gateway's address when the stop begins, and stopOther when other services stop. It fails the
// test if the request gets no response.
func stopBesideRequest(t *testing.T, within time.Duration, release <-chan struct{}, stopOther func(b *gatewayBuilder), beside func(address string)) {
	t.Helper()
	b := &gatewayBuilder{stalls: startStallDetector(t), gateway: newGatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now), settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: within}}
	begun := make(chan struct{})
	callers, listening := listenForCallers(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	other := kernel.Service{
		Name:  "other",
		Build: func(*kernel.Registry) (any, error) { return 0, nil },
		Stop: func(context.Context, *kernel.Registry) error {
			stopOther(b)
			return nil
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stopped := make(chan error, 1)
	go func() {
		stopped <- kernel.Run(ctx, kernel.Limits{Start: time.Minute, Stop: time.Minute}, []kernel.Service{b.responseService(), other, callers, b.gatewayService()})
	}()
	address := (<-listening).String()
	go func() {
		<-begun
		stop()
		beside(address)
	}()
	resp, err := http.Post("http://"+address+"/", "text/plain", nil)
	if err != nil {
		t.Errorf("a request in flight got no response: %v", err)
	} else {
		_ = resp.Body.Close()
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestLinesOfClosedConnectionsAreLost guards against requests that no line of the log names, because the process ends
// before the handlers notice that it closed their connections.
func TestLinesOfClosedConnectionsAreLost(t *testing.T) {
	t.Parallel()
	b := &gatewayBuilder{stalls: startStallDetector(t), gateway: newGatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now), settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: 500 * time.Millisecond}}
	var ended atomic.Bool
	begun := make(chan struct{})
	callers, listening := listenForCallers(b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		for err := error(nil); err == nil; {
			_, err = w.Write(make([]byte, 1<<16))
		}
		time.Sleep(handlerReserve / 5)
		ended.Store(true)
	}))
	log := kernel.Service{
		Name:  "log",
		Build: func(*kernel.Registry) (any, error) { return 0, nil },
		Stop: func(context.Context, *kernel.Registry) error {
			if !ended.Load() {
				t.Error("the log is closed before the handler has ended")
			}
			return nil
		},
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	stopped := make(chan error, 1)
	go func() {
		stopped <- kernel.Run(ctx, kernel.Limits{Start: time.Minute, Stop: time.Second}, []kernel.Service{log, b.responseService(), callers, b.gatewayService()})
	}()
	c, err := net.Dial("tcp", (<-listening).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	<-begun
	stop()
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
