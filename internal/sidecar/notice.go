package sidecar

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/protocol"
)

// notices keeps to what the upstream beside a sidecar says of itself in its answers. The sidecar is
// the only door to it, so what it was asked for holds for all entries.
type notices struct {
	// leavingHeader is the header by which the upstream says that it leaves; empty if it does not.
	leavingHeader string
	starts        *starts
	rec           *events.Recorder
	now           func() time.Time

	mu sync.Mutex
	// start is the start of the upstream that said what follows.
	start string
	// backOff is until when it wants no requests.
	backOff time.Time
	// leavesUntil is until when it counts as leaving; zero if it did not say so.
	leavesUntil time.Time
}

const (
	// leavesFor is how long an upstream that said that it leaves gets no requests. One that is
	// still there after that gets one, the answer to which tells.
	leavesFor = time.Minute
	// leavesLook is the pause between two looks at whether it ended.
	leavesLook = 100 * time.Millisecond
	// backLeaving is the time after which to ask again for requests that no other upstream takes:
	// about that in which the next start is there.
	backLeaving = time.Second
)

func newNotices(starts *starts, rec *events.Recorder, now func() time.Time) *notices {
	return &notices{starts: starts, rec: rec, now: now}
}

// heard takes over what the head of an answer says.
func (n *notices) heard(status int, h http.Header) {
	now, start := n.now(), n.starts.current()
	leaving := n.leavingHeader != "" && protocol.ParseLeaving(h.Get(n.leavingHeader))
	var until time.Time
	if status == http.StatusServiceUnavailable {
		until = protocol.ParseRetryAfter(h.Get("Retry-After"), now)
	}
	if !leaving && until.IsZero() {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begin(start)
	news := leaving && !n.leavesUntil.After(now)
	if news {
		go n.watch(start)
	}
	if leaving {
		n.leavesUntil = now.Add(leavesFor)
	}
	if until.After(n.backOff) {
		n.backOff, news = until, true
	}
	if news {
		n.rec.Note(events.UpstreamNotice, "", "upstream", start, "leaving", leaving, "back-off", max(until.Sub(now), 0))
	}
}

// watch looks whether a start that leaves has ended: it gets no requests, so no answer tells.
func (n *notices) watch(start string) {
	for n.leaves(start) {
		n.starts.ended(context.Background())
		time.Sleep(leavesLook)
	}
}

// leaves reports whether a start is there and counts as leaving.
func (n *notices) leaves(start string) bool {
	if n.starts.current() != start {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.start == start && n.now().Before(n.leavesUntil)
}

// begin forgets what an earlier start said. It needs the lock.
func (n *notices) begin(start string) {
	if n.start != start {
		n.start, n.backOff, n.leavesUntil = start, time.Time{}, time.Time{}
	}
}

// opensAt is from when on the upstream wants requests; zero or past if it does now. For one that
// leaves that is not known.
func (n *notices) opensAt() time.Time {
	start := n.starts.current()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.begin(start)
	if now := n.now(); now.Before(n.leavesUntil) && n.backOff.Before(now.Add(backLeaving)) {
		return now.Add(backLeaving)
	}
	return n.backOff
}
