package daemon

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gateway"
)

// Guards against a gateway whose memory budget is not swept: connections of callers that do not read would never be
// closed, their streams would not be read ahead, and operators would not learn that the budget is exhausted.
func TestMemoryIsSwept(t *testing.T) {
	rec := events.Nop()
	// The limit is less than the first buffer of a request.
	settings := gateway.Settings{MaxRoutesAge: time.Minute, RetryWindow: time.Second, MemoryBytes: 1 << 10}
	b := newGatewayBuilder(GatewaySettings{Name: "g", KeyBound: 5 * time.Second, LogLines: 1, TimelineSize: 1}, io.Discard)
	b.gateway = newGatewayWithSettings(t, settings, rec, func(http.ResponseWriter, *http.Request) {})
	swept := make(chan struct{})
	go func() {
		defer close(swept)
		b.sweep()
	}()
	defer func() {
		b.cancel()
		<-swept
	}()
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", http.NoBody)
	r.Host = "host"
	b.gateway.ServeHTTP(w, r)
	if w.Code != http.StatusServiceUnavailable {
		t.Fatalf("status %d for a request that does not fit, want %d", w.Code, http.StatusServiceUnavailable)
	}
	for _, id := range []events.ID{events.MemoryExhausted, events.MemoryAvailable} {
		noted := func() bool {
			return slices.ContainsFunc(rec.Select(""), func(e events.Event) bool { return e.Event == id })
		}
		for deadline := time.Now().Add(40 * sweepInterval); !noted(); time.Sleep(sweepInterval / 10) {
			if time.Now().After(deadline) {
				t.Fatalf("event %d was not noted", id)
			}
		}
	}
}
