package gateway

import (
	"net/http"
	"testing"
	"time"
)

// A gateway on a busy machine cannot tell how late it noticed the signal to stop. If it counts the
// whole stop from the earliest time at which the signal may have come, it cuts generations too
// early: after 2.7 s of 4 s when it noticed up to 971 ms late. Requests in flight must therefore
// go on until the later deadline, while new requests are judged by the earlier one.
func TestDrainUntilKeepsRequestsInFlight(t *testing.T) {
	f := newFixture(t)
	begun := make(chan struct{}, 2)
	f.add("app", "a", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		time.Sleep(250 * time.Millisecond)
		serveOK(w, r)
	})
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.ask(pathOnce) }()
	f.waitSignal("the request has reached the upstream", begun)
	now := time.Now()
	f.gateway.DrainUntil(now.Add(50*time.Millisecond), now.Add(time.Second))
	time.Sleep(60 * time.Millisecond)
	if got := f.ask(pathOnce); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d for a request after the earlier deadline, want 503", got.status)
	}
	if got := <-inFlight; got.status != http.StatusOK {
		t.Errorf("status %d for a request in flight, want 200", got.status)
	}
}
