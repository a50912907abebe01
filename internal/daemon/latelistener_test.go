package daemon

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
)

// TestLateNoticedStopKeepsListener guards against a gateway that noticed its stop late and closes its listener
// while the load balancer still sends it callers. Their connections are refused although the gateway could
// answer them.
func TestLateNoticedStopKeepsListener(t *testing.T) {
	b := &gatewayBuilder{stalls: newStallDetector(time.Now), gateway: newGatewayWithoutRoutes(), rec: events.Nop(), routes: belief.NewRoutes("", nil, events.Nop(), time.Now),
		settings: GatewaySettings{Listen: "127.0.0.1:0", StopWithin: 4 * time.Second}}
	b.stalls.lastTick = time.Now().Add(-3300 * time.Millisecond)
	to, noticed, stopped := startCallerService(t, b, b.gateway), time.Now(), make(chan error, 1)
	go func() { stopped <- b.drain(t.Context(), nil) }()
	// Even if the signal came when the stall began, the gateway is not killed yet.
	time.Sleep(500 * time.Millisecond)
	c, err := net.Dial("tcp", to)
	if err != nil {
		t.Errorf("a caller %s after the stop was noticed: %v", time.Since(noticed), err)
	} else {
		expectRefusal(t, c, bufio.NewReader(c))
		_ = c.Close()
	}
	if err := <-stopped; err != nil {
		t.Error(err)
	}
}
