package daemon

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
)

// A server that is shutting down drops a request that it has read by then: net/http looks
// at the shutdown between reading a request and handing it over, and closes the
// connection. A stop of an entry shut its server down with callers' connections open, so
// a request on a kept connection could be read and get neither an answer nor a refusal.
func TestStopAnswersWhatWasRead(t *testing.T) {
	b := &gatewayBuilder{gateway: gatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now),
		settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: 3 * time.Second}}
	service := b.callerService()
	shutDown, read, address := make(chan struct{}), make(chan struct{}), make(chan net.Addr, 1)
	b.callers.RegisterOnShutdown(func() { close(shutDown) })
	requests := atomic.Int32{}
	b.callers.BaseContext = func(l net.Listener) context.Context {
		// The second request is held between its reading and its handler while the
		// entry stops.
		hook := b.callers.ConnState
		b.callers.ConnState = func(c net.Conn, state http.ConnState) {
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
	refused(t, c, answers)
	stopped := make(chan error, 1)
	go func() {
		<-read
		stopped <- b.drain(t.Context(), nil)
	}()
	refused(t, c, answers)
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}

// refused sends a request to a gateway without routes, which refuses it.
func refused(t *testing.T, c net.Conn, answers *bufio.Reader) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		t.Errorf("a request was read, and its caller got %v", err)
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}
