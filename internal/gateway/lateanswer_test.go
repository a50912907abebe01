package gateway

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/standin"
)

// TestAnswerReceivedBeforeDeadlineIsDelivered guards against a 504 for a call whose answer
// arrived before its deadline. It comes about if the process gets no CPU time to read the answer
// until the deadline has passed. The answer is delivered late.
func TestAnswerReceivedBeforeDeadlineIsDelivered(t *testing.T) {
	const limit, stall = 150 * time.Millisecond, 170 * time.Millisecond
	for _, tc := range []struct {
		name   string
		serve  http.HandlerFunc
		status int
	}{
		{"the answer arrived in time", serveOK, http.StatusOK},
		{"no answer arrived in time", func(http.ResponseWriter, *http.Request) { time.Sleep(2 * stall) }, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			d := &net.Dialer{}
			f.gateway.link = link.New(link.Settings{DialTimeout: time.Second, DefaultIdleTimeout: time.Minute, IDHeader: testID}, func(ctx context.Context, address string) (net.Conn, error) {
				c, err := d.DialContext(ctx, "tcp4", address)
				if err != nil {
					return nil, err
				}
				return standin.NewDelayedReadConn(c, time.Now().Add(stall)), nil
			}, time.Now)
			f.add("app", "app-1", tc.serve)
			start := time.Now()
			got := f.ask(pathOnce, func(r *http.Request) { r.Header.Set(testDeadline, "150") })
			if got.status != tc.status {
				t.Errorf("status %d after %s of %s, want %d", got.status, time.Since(start), limit, tc.status)
			}
		})
	}
}
