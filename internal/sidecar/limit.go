package sidecar

import (
	"context"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/protocol"
)

// reasonRateLimited is the reason that entries get for a request over the upstream's rate limit, or
// during a backoff that the upstream asked for or while it is leaving.
const reasonRateLimited = "the upstream takes no more requests now"

// maxPermitWait bounds how long a call that only this upstream may run waits for a permit.
const maxPermitWait = 500 * time.Millisecond

// upstreamLimiter enforces the rate limit that the upstream announces in its answers, and the
// pauses that notices tracks. All requests to the upstream go through this sidecar, so the limit is
// not shared with other processes. Entries are told when to retry.
type upstreamLimiter struct {
	// header is the name of the header that announces the rate limit in requests a second; empty if
	// the upstream announces none.
	header       string
	incarnations *upstreamIncarnations
	set          *limits.Set
	// notices tracks backoff and leaving, which the upstream announces in other headers.
	notices *notices
	rec     *events.Recorder
	now     func() time.Time
}

func newUpstreamLimiter(header string, incarnations *upstreamIncarnations, rec *events.Recorder,
	now func() time.Time) *upstreamLimiter {
	l := &upstreamLimiter{header: header, incarnations: incarnations,
		set:     limits.New("", "", limits.Alone(), rec, now),
		notices: newNotices(incarnations, rec, now), rec: rec, now: now}
	l.set.SetEntryCount(1)
	return l
}

// observeAnswer updates the rate limit from the header of an answer. sentAt is when its request was
// sent; ok reports that the answer was read whole and is no failure. Only an ok answer can show by
// the missing header that there is no limit any more.
func (l *upstreamLimiter) observeAnswer(h http.Header, sentAt time.Time, ok bool) {
	values := h.Values(l.header)
	if l.header == "" || len(values) == 0 {
		if ok {
			l.set.NoteNoLimit(l.incarnations.current(), sentAt)
		}
		return
	}
	perSecond, err := protocol.ParseRate(values)
	if err != nil {
		l.rec.Note(events.LimitRejected, "", "error", err)
		return
	}
	l.set.NoteLimit(l.incarnations.current(), perSecond)
}

// takePermit takes a permit to send one request. If there is none it returns when to retry.
func (l *upstreamLimiter) takePermit(ctx context.Context) (opensAt time.Time, ok bool) {
	if at := l.notices.opensAt(); at.After(l.now()) {
		return at, false
	}
	if l.set.Take(ctx, l.incarnations.current()) == nil {
		return time.Time{}, true
	}
	return l.opensAt(), false
}

// awaitPermit is takePermit for a request that can wait until the given time.
func (l *upstreamLimiter) awaitPermit(ctx context.Context, until time.Time) (opensAt time.Time, ok bool) {
	for {
		opensAt, ok = l.takePermit(ctx)
		if ok || opensAt.After(until) {
			return opensAt, ok
		}
		select {
		case <-time.After(max(opensAt.Sub(l.now()), time.Millisecond)):
		case <-ctx.Done():
			return opensAt, false
		}
	}
}

// opensAt returns when there may be a permit again; zero or past if there may be one now.
func (l *upstreamLimiter) opensAt() time.Time {
	limitEnd, noticeEnd := l.set.OpensAt(l.incarnations.current()), l.notices.opensAt()
	if noticeEnd.After(limitEnd) {
		return noticeEnd
	}
	return limitEnd
}

// sweep forgets the limits of earlier incarnations of the upstream.
func (l *upstreamLimiter) sweep() {
	current := l.incarnations.current()
	l.set.Sweep(func(incarnation string) bool { return incarnation == current })
}
