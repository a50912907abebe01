package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/protocol"
)

// takesNoMore is the reason that entries get for a request beyond what the upstream takes or wants.
const takesNoMore = "the upstream takes no more requests now"

// permitWithin bounds the wait of a call that no other upstream may run for a permit.
const permitWithin = 500 * time.Millisecond

// takes keeps to how many requests a second the upstream beside a sidecar says that it takes. The
// sidecar is the only door to it, so it shares that with nobody; entries learn when to come back.
type takes struct {
	// header is the header by which the upstream says so; empty if none does.
	header string
	starts *starts
	set    *limits.Set
	// notices is what else the upstream says of itself.
	notices *notices
	rec     *events.Recorder
	now     func() time.Time
}

func newTakes(header string, starts *starts, rec *events.Recorder, now func() time.Time) *takes {
	t := &takes{header: header, starts: starts, set: limits.New("", "", limits.Alone(), rec, now), notices: newNotices(starts, rec, now), rec: rec, now: now}
	t.set.Listed(1)
	return t
}

// heard takes over what an answer says; asked is when its request was sent, and whole tells that
// it is no failure and did not break off.
func (t *takes) heard(h http.Header, asked time.Time, whole bool) {
	values := h.Values(t.header)
	if t.header == "" || len(values) == 0 {
		if whole {
			t.set.Unnamed(t.starts.current(), asked)
		}
		return
	}
	perSecond, err := protocol.ParseRate(values)
	if err != nil {
		t.rec.Note(events.LimitRejected, "", "error", err)
		return
	}
	t.set.Named(t.starts.current(), perSecond)
}

// take takes a permit to send one request. If there is none it returns when there may be one.
func (t *takes) take(ctx context.Context) (opensAt time.Time, ok bool) {
	if at := t.notices.opensAt(); at.After(t.now()) {
		return at, false
	}
	if t.set.Take(ctx, t.starts.current()) == nil {
		return time.Time{}, true
	}
	return t.opensAt(), false
}

// await is take for a request that can wait until a time.
func (t *takes) await(ctx context.Context, until time.Time) (opensAt time.Time, ok bool) {
	for {
		opensAt, ok = t.take(ctx)
		if ok || opensAt.After(until) {
			return opensAt, ok
		}
		select {
		case <-time.After(max(opensAt.Sub(t.now()), time.Millisecond)):
		case <-ctx.Done():
			return opensAt, false
		}
	}
}

// opensAt is when there may be a permit again; zero or past if there may be one now.
func (t *takes) opensAt() time.Time {
	limited, wanted := t.set.OpensAt(t.starts.current()), t.notices.opensAt()
	if wanted.After(limited) {
		return wanted
	}
	return limited
}

// sweep forgets the limits of earlier starts of the upstream.
func (t *takes) sweep() {
	current := t.starts.current()
	t.set.Sweep(func(start string) bool { return start == current })
}
