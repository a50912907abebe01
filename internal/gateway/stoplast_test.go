package gateway

import (
	"net/http"
	"testing"
	"time"
)

// A gateway on a busy machine cannot tell whether it noticed late that it is to stop. It counted its
// whole stop from the earliest time that may have been, and cut generations after 2.7 s of 4 s for
// nothing: `stream-cut ... this entry stopped`, with `noticed-after=971ms`. What is in flight goes on
// to the end now; only what comes is judged by the earlier time.
func TestStopGivesUpLaterThanItTakes(t *testing.T) {
	f := newFixture(t)
	begun := make(chan struct{}, 2)
	f.add("app", "a", func(w http.ResponseWriter, r *http.Request) {
		begun <- struct{}{}
		time.Sleep(250 * time.Millisecond)
		serveOK(w, r)
	})
	inFlight := make(chan answer, 1)
	go func() { inFlight <- f.ask(pathOnce) }()
	<-begun
	now := time.Now()
	f.gateway.DrainUntil(now.Add(50*time.Millisecond), now.Add(time.Second))
	time.Sleep(60 * time.Millisecond)
	if got := f.ask(pathOnce); got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d for one that comes after the last that is taken, want 503", got.status)
	}
	if got := <-inFlight; got.status != http.StatusOK {
		t.Errorf("status %d for one in flight, want 200", got.status)
	}
}
