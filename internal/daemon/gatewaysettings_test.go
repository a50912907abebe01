package daemon

import (
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Guards against a gateway that starts with a memory limit that makes no sense, and against a limit
// where none was set.
func TestMemorySetting(t *testing.T) {
	tests := []struct {
		name string
		mb   float64
		// wantFault is set if the gateway must not start.
		wantFault bool
		wantLimit int64
	}{
		{"unset", 0, false, 0},
		{"smallest VM", 112, false, 14 << 20},
		{"with a fraction", 536.5, false, 536<<20/8 + 1<<16},
		{"negative", -1, true, 0},
		{"not a number", math.NaN(), true, 0},
		{"in bytes", 112 << 20, true, 0},
		{"infinite", math.Inf(1), true, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := GatewaySettings{MemoryMB: tt.mb}
			err := s.Check()
			if got := strings.Contains(err.Error(), "--memory-mb"); got != tt.wantFault {
				t.Errorf("fault %t, want %t: %v", got, tt.wantFault, err)
			}
			if got := s.bufferLimit(); !tt.wantFault && got != tt.wantLimit {
				t.Errorf("limit of %d bytes, want %d", got, tt.wantLimit)
			}
		})
	}
}

// Guards against a memory setting that does not reach the gateway, and against a limit where none was
// set.
func TestMemorySettingIsUsed(t *testing.T) {
	for mb, want := range map[float64]string{0: "", 112: `sparshore_gateway_memory_budget_bytes{kind="limit"} 1.4680064e+07`} {
		b := newGatewayBuilder(GatewaySettings{Name: "g", MemoryMB: mb, KeyBound: 5 * time.Second, LogLines: 1, TimelineSize: 1}, io.Discard)
		w := httptest.NewRecorder()
		promhttp.HandlerFor(b.reg, promhttp.HandlerOpts{}).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", http.NoBody))
		b.cancel()
		if got := strings.Contains(w.Body.String(), "sparshore_gateway_memory_budget_bytes"); got != (want != "") || !strings.Contains(w.Body.String(), want) {
			t.Errorf("memory of %v MB: the metrics show a budget: %t; want %q", mb, got, want)
		}
	}
}
