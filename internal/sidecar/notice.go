package sidecar

import (
	"net/http"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/protocol"
)

// notices keeps to what the upstream beside a sidecar says of itself in its answers. The sidecar is
// the only door to it, so what it was asked for holds for all entries.
type notices struct {
	starts *starts
	rec    *events.Recorder
	now    func() time.Time

	mu sync.Mutex
	// start is the start of the upstream that the rest is for.
	start string
	// rest is until when it wants no requests.
	rest time.Time
}

func newNotices(starts *starts, rec *events.Recorder, now func() time.Time) *notices {
	return &notices{starts: starts, rec: rec, now: now}
}

// heard takes over what the head of an answer says.
func (n *notices) heard(status int, h http.Header) {
	if status != http.StatusServiceUnavailable {
		return
	}
	now := n.now()
	until := protocol.ParseRetryAfter(h.Get("Retry-After"), now)
	if until.IsZero() {
		return
	}
	start := n.starts.current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begin(start)
	if until.After(n.rest) {
		n.rest = until
		n.rec.Note(events.UpstreamNotice, "", "upstream", start, "rest", until.Sub(now))
	}
}

// begin forgets what an earlier start said. It needs the lock.
func (n *notices) begin(start string) {
	if n.start != start {
		n.start, n.rest = start, time.Time{}
	}
}

// opensAt is from when on the upstream wants requests; zero or past if it does now.
func (n *notices) opensAt() time.Time {
	start := n.starts.current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begin(start)
	return n.rest
}
