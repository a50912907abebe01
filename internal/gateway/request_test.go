package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/protocol"
)

// TestPanicsAreNoted covers what operators see of a fault of this program; an ended
// connection is no such fault.
func TestPanicsAreNoted(t *testing.T) {
	for _, tc := range []struct {
		name  string
		value any
		noted bool
	}{
		{"a fault", "index out of range", true},
		{"an answer that is cut on purpose", http.ErrAbortHandler, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.proto.Refuse = func(http.ResponseWriter, *protocol.Call, protocol.Refusal, time.Time) { panic(tc.value) }
			func() {
				defer func() {
					if v := recover(); v != tc.value {
						t.Errorf("net/http sees %v", v)
					}
				}()
				f.gateway.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/no-route/", nil))
			}()
			if f.noted(events.HandlerPanicked) != tc.noted {
				t.Errorf("noted: %v", !tc.noted)
			}
		})
	}
}
