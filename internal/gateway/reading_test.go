package gateway

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
)

// A request was checked against the age of one route table and the keys of another one that arrived meanwhile.
func TestRequestReadsTheRouteTableOnce(t *testing.T) {
	for reading := int32(1); reading <= 3; reading++ {
		t.Run(fmt.Sprintf("a table arrives at reading %d of the clock", reading), func(t *testing.T) {
			f := newFixture(t)
			f.gateway.settings.HardKeyBound = true
			f.add("app", "a", serveOK)
			var readings atomic.Int32
			f.gateway.now = func() time.Time {
				if readings.Add(1) == reading {
					f.routes.Apply(testSnapshot("2"), false)
					f.routes.ConfirmCurrent(time.Now().Add(2*time.Minute), belief.Evidence{Source: belief.FromRelay, Entry: "e2"})
				}
				return time.Now().Add(2 * time.Minute)
			}
			got := f.ask(pathSafe, func(r *http.Request) { r.Header.Set(testKey, "key") })
			for _, e := range f.rec.Select("") {
				if e.Event != events.RequestRefused && e.Event != events.RequestRouted {
					continue
				}
				age, err := time.ParseDuration(e.Fields["routes-age"])
				if err != nil {
					t.Fatal(err)
				}
				if served := got.status == http.StatusOK; served != (age < time.Minute) || served != (e.Fields["routes"] == "2") || served != (e.Fields["routes-from"] == "relay e2") {
					t.Errorf("status %d by the table %s from %s, confirmed %s ago", got.status, e.Fields["routes"], e.Fields["routes-from"], age)
				}
			}
		})
	}
}
