package sidecar

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"sync"
	"time"
)

// probeTimeout bounds a probe of whether the upstream listens. It is short because the upstream is
// on the same VM.
const probeTimeout = time.Second

// upstreamIncarnations tells the incarnations of the upstream apart. The sidecar keeps running when
// its upstream ends, and nothing else reports that the upstream was restarted. The name of an
// incarnation is the sidecar's own incarnation and the number of restarts.
type upstreamIncarnations struct {
	sidecarIncarnation string
	dial               func(ctx context.Context) (net.Conn, error)

	mu sync.Mutex
	// restarts counts the restarts that were observed. down is set from the end of an incarnation
	// until the upstream is reachable again.
	restarts int
	down     bool
	downAt   time.Time
}

// newUpstreamIncarnations tracks the upstream at the URL base.
func newUpstreamIncarnations(base, sidecarIncarnation string) *upstreamIncarnations {
	address := base
	if u, err := url.Parse(base); err == nil {
		address = u.Host
		if u.Port() == "" {
			address = net.JoinHostPort(u.Hostname(), "http")
		}
	}
	d := &net.Dialer{Timeout: probeTimeout}
	return &upstreamIncarnations{sidecarIncarnation: sidecarIncarnation,
		dial: func(ctx context.Context) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) }}
}

// endedDuring is probeEnded for a request that was sent at sentAt. A request that was sent while
// the upstream was down did not run, however its connection ended. It must not be reported together
// with the requests that ran on the incarnation that ended, since the suspects for that end are
// judged by those.
func (u *upstreamIncarnations) endedDuring(ctx context.Context, sentAt time.Time) string {
	u.mu.Lock()
	sentWhileUp := !u.down || !u.downAt.Before(sentAt)
	u.mu.Unlock()
	if !sentWhileUp {
		return ""
	}
	return u.probeEnded(ctx)
}

// probeEnded returns the name of the incarnation that ended. It is called when an answer of the
// upstream broke off, or to see whether a leaving upstream is gone. An upstream that has ended
// refuses connections; the result is empty if it accepts them or if its state is unknown.
func (u *upstreamIncarnations) probeEnded(ctx context.Context) string {
	c, err := u.dial(ctx)
	if err == nil {
		_ = c.Close()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	switch {
	case err == nil:
		u.markUpLocked()
		return ""
	case !refusedConnection(err):
		return ""
	}
	if !u.down {
		u.down, u.downAt = true, time.Now()
	}
	return u.currentLocked()
}

// current returns the name of the latest incarnation that was observed.
func (u *upstreamIncarnations) current() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.currentLocked()
}

// currentLocked is current for a caller that holds the lock.
func (u *upstreamIncarnations) currentLocked() string {
	return u.sidecarIncarnation + "#" + strconv.Itoa(u.restarts)
}

// markUp records that the upstream is reachable.
func (u *upstreamIncarnations) markUp() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.markUpLocked()
}

// markUpLocked records that the upstream is reachable, and counts a restart if it was down. It
// needs the lock.
func (u *upstreamIncarnations) markUpLocked() {
	if u.down {
		u.restarts, u.down = u.restarts+1, false
	}
}
