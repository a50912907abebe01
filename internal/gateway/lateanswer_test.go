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

// A call's answer had come before its time limit, and the entry did not get to read it until the
// limit was over: the caller got a 504, though the answer was there. It is delivered, late.
func TestAnswerThatCameBeforeTheTimeLimit(t *testing.T) {
	const limit, stall = 150 * time.Millisecond, 170 * time.Millisecond
	for _, tc := range []struct {
		name   string
		serve  http.HandlerFunc
		status int
	}{
		{"it is there", serveOK, http.StatusOK},
		{"it is not", func(http.ResponseWriter, *http.Request) { time.Sleep(2 * stall) }, http.StatusGatewayTimeout},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			d := &net.Dialer{}
			f.gateway.link = link.New(link.Settings{DialWithin: time.Second, IdleUnknown: time.Minute, IDHeader: testID}, func(ctx context.Context, address string) (net.Conn, error) {
				c, err := d.DialContext(ctx, "tcp4", address)
				if err != nil {
					return nil, err
				}
				return standin.NewHeldBack(c, time.Now().Add(stall)), nil
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
