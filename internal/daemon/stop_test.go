package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gateway"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/link"
	product "github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/routetable"
)

// TestStopAnswersRequestReadDuringShutdown guards against a stop that drops a request which the
// server has already read. net/http checks for a shutdown between reading a request and calling the
// handler, and closes the connection during one. If a stop shuts the server down while connections
// of callers are open, a request on a reused connection gets neither a response nor a refusal.
func TestStopAnswersRequestReadDuringShutdown(t *testing.T) {
	b := &gatewayBuilder{stalls: startStallDetector(t), gateway: newGatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now),
		settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: 3 * time.Second}}
	service := b.callerService()
	shutDown, read, address := make(chan struct{}), make(chan struct{}), make(chan net.Addr, 1)
	b.callers.server.RegisterOnShutdown(func() { close(shutDown) })
	requests := atomic.Int32{}
	b.callers.server.BaseContext = func(l net.Listener) context.Context {
		// The second request is blocked between being read and reaching its handler while the
		// gateway stops.
		hook := b.callers.server.ConnState
		b.callers.server.ConnState = func(c net.Conn, state http.ConnState) {
			hook(c, state)
			if state == http.StateActive && requests.Add(1) == 2 {
				close(read)
				select {
				case <-shutDown:
				case <-time.After(b.settings.StopWithin / 2):
				}
			}
		}
		address <- l.Addr()
		return context.Background()
	}
	if err := service.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", (<-address).String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	answers := bufio.NewReader(c)
	expectRefusal(t, c, answers)
	stopped := make(chan error, 1)
	go func() {
		<-read
		stopped <- b.drain(t.Context(), nil)
	}()
	expectRefusal(t, c, answers)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// TestLateStopAnswersRequestsGivenUp guards against a gateway that closes connections before the
// requests that it gives up are answered. If the gateway is not scheduled near the end of its stop,
// both the time for these answers and the time to close connections have passed, and callers get an
// end of file. Here both have passed from the start.
func TestLateStopAnswersRequestsGivenUp(t *testing.T) {
	for range 10 {
		started, release := make(chan struct{}), make(chan struct{})
		b := &gatewayBuilder{stalls: startStallDetector(t), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now), settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: stopReserve}}
		b.gateway = newGatewayWithUpstream(t, func(http.ResponseWriter, *http.Request) {
			close(started)
			<-release
		})
		address := startCallerService(t, b, b.gateway)
		answers := make(chan error, 1)
		go func() {
			resp, err := http.Post("http://"+address+"/", "text/plain", nil)
			if err == nil {
				_ = resp.Body.Close()
			}
			answers <- err
		}()
		<-started
		if err := b.drain(t.Context(), nil); err != nil {
			t.Error(err)
		}
		if err := <-answers; err != nil {
			t.Errorf("a request in flight failed: %v", err)
		}
		close(release)
	}
}

// TestResponsesAreAwaitedUntilTheEndOfAStop guards against a gateway that answers the requests which it gives
// up, but closes the connections before the responses are written although it need not end yet.
func TestResponsesAreAwaitedUntilTheEndOfAStop(t *testing.T) {
	b := &gatewayBuilder{gateway: newGatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now), settings: GatewaySettings{Listen: "127.0.0.1:0"}}
	begun, release := make(chan struct{}), make(chan struct{})
	address := startCallerService(t, b, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(begun)
		<-release
		w.WriteHeader(http.StatusGatewayTimeout)
	}))
	answers := make(chan error, 1)
	go func() {
		resp, err := http.Post("http://"+address+"/", "text/plain", nil)
		if err == nil {
			err = resp.Body.Close()
		}
		answers <- err
	}()
	<-begun
	ended := make(chan error, 1)
	go func() {
		b.giveUp(t.Context(), time.Now().Add(time.Minute))
		ended <- b.callers.server.Close()
	}()
	time.Sleep(3 * gateway.AnswerReserve)
	close(release)
	if err := <-answers; err != nil {
		t.Errorf("a request that was given up got no response: %v", err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// startCallerService serves callers with a handler and returns the address.
func startCallerService(t *testing.T, b *gatewayBuilder, h http.Handler) string {
	t.Helper()
	service, address := listenForCallers(b, h)
	if err := service.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	return (<-address).String()
}

// listenForCallers returns the service that serves callers with a handler, and receives its address once it has
// started.
func listenForCallers(b *gatewayBuilder, h http.Handler) (service kernel.Service, address <-chan net.Addr) {
	listening := make(chan net.Addr, 1)
	service = b.callerService()
	b.callers.server.Handler = h
	b.callers.server.BaseContext = func(l net.Listener) context.Context {
		listening <- l.Addr()
		return context.Background()
	}
	return service, listening
}

// newGatewayWithUpstream returns a gateway that sends every request to one upstream.
func newGatewayWithUpstream(t *testing.T, serve http.HandlerFunc) *gateway.Gateway {
	t.Helper()
	return newGatewayWithSettings(t, gateway.Settings{MaxRoutesAge: time.Minute, RetryWindow: time.Second}, events.Nop(), serve)
}

// newGatewayWithSettings returns a gateway with the given settings that sends every request to one upstream.
func newGatewayWithSettings(t *testing.T, settings gateway.Settings, rec *events.Recorder, serve http.HandlerFunc) *gateway.Gateway {
	t.Helper()
	s := httptest.NewServer(serve)
	t.Cleanup(s.Close)
	proto := protocol.Protocol{
		Decode: func(r *http.Request, _ time.Time) protocol.Call {
			return protocol.Call{ID: "r", Method: r.Method, Target: r.RequestURI, Host: "host", Header: http.Header{}}
		},
		Forward: func(c *protocol.Call, _ protocol.Attempt, _ time.Time) link.Request {
			return link.Request{Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, ID: c.ID}
		},
		Refuse: func(w http.ResponseWriter, _ *protocol.Call, r protocol.Refusal, _ time.Time) {
			w.WriteHeader(r.Status)
		},
	}
	table := routetable.New(1, []routetable.Route{{Host: "host", Prefix: "/", Kind: routetable.Once, Timeout: time.Minute, Objective: time.Minute, MaxAttempts: 1, Shares: []routetable.Share{{Service: "app", Weight: 1}}}},
		[]routetable.Service{{Name: "app"}}, routetable.Limits{BodyBytes: 1000}, nil)
	routes := belief.NewRoutes("routes", func([]byte) (*routetable.Table, error) { return table, nil }, events.Nop(), time.Now)
	routes.Apply(product.Snapshot{Records: []product.Record{{Name: "routes"}}}, true)
	routes.ConfirmCurrent(time.Now(), belief.Evidence{})
	set := fleet.New(events.Nop(), time.Now, func(string) {})
	set.Update([]fleet.Record{{Name: "app-1", Service: "app", Address: s.Listener.Addr().String(), Slots: 1}}, nil, true, time.Time{})
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "tcp4", address)
	}
	others := gateway.Peers{
		SendSoon: func() {}, SendNow: func() {}, LivePeers: func() map[string]gossip.Peer { return nil },
		Delay: func(string, bool) time.Duration { return 0 }, DeliveryTimes: func() (delivery, silence time.Duration) { return 0, 0 },
	}
	return gateway.New(settings, routes, set, link.New(link.Settings{DialTimeout: time.Second}, dial, time.Now), proto, others, rec, prometheus.NewRegistry(), time.Now)
}

// expectRefusal sends a request to a gateway without routes, which refuses it.
func expectRefusal(t *testing.T, c net.Conn, answers *bufio.Reader) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Errorf("a request was read, but its caller got %v", err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
