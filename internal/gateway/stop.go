package gateway

import (
	"context"
	"errors"
	"time"
)

// errStopped ends the requests that are in flight at the end of a planned stop.
var errStopped = errors.New("this entry stopped")

const (
	// backStopping is for an entry that stops while another one serves: that one
	// can take the caller at once.
	backStopping = 50 * time.Millisecond
	// restartTime is from the moment an entry gives up its last requests until the
	// balancer sends callers to the one that takes its place: its start, up to a second until
	// the balancer asks it, and a little more.
	restartTime = 1750 * time.Millisecond
	// NoticeTime is how long the balancer goes on sending callers to an entry that
	// is not ready: it asks each second and believes the second refusal.
	NoticeTime = 2500 * time.Millisecond
	// AnswerSpare is left of a planned stop to answer the requests that it gives up: some
	// round trips, and a turn of a process that shares its processor.
	AnswerSpare = 100 * time.Millisecond
)

// Drain tells the balancer to send nothing new, and the other entries that this
// one stops. What comes all the same is served if it can be expected to end
// before the deadline.
func (g *Gateway) Drain(deadline time.Time) { g.DrainUntil(deadline, deadline) }

// DrainUntil is Drain for an entry that cannot tell how late it noticed that it is to stop: what
// comes is served if it can be expected to end before last, and what is in flight is given up at
// the end, which is later. A generation that is given up early is lost for nothing.
func (g *Gateway) DrainUntil(last, end time.Time) {
	g.noticedAt.Set(g.now().Add(NoticeTime))
	g.stopBy.Set(last)
	time.AfterFunc(end.Add(-AnswerSpare).Sub(g.now()), g.GiveUp)
	g.limits.Leave()
	g.others.Urge()
}

// GiveUp ends the requests in flight of a planned stop; their callers get an answer.
func (g *Gateway) GiveUp() { g.giveUpAll(errStopped) }

// untilStop returns a context that also ends when a planned stop gives up what is in
// flight, so that its callers get an answer and not a closed connection.
func (g *Gateway) untilStop(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unhook := context.AfterFunc(g.stopping, func() { cancel(errStopped) })
	return ctx, func() {
		unhook()
		cancel(context.Canceled)
	}
}

// StopBy returns by when requests are to end in a planned stop; the zero time while none is
// under way.
func (g *Gateway) StopBy() time.Time { return g.stopBy.Get() }

// stopsBefore reports whether a planned stop would give a request up that takes
// a time from now.
func (g *Gateway) stopsBefore(d time.Duration) bool {
	by := g.StopBy()
	return !by.IsZero() && g.now().Add(d).After(by)
}

// QuietFor returns for how long no caller has asked anything; 0 while requests are
// in flight.
func (g *Gateway) QuietFor() time.Duration {
	if g.inFlight.Load() > 0 {
		return 0
	}
	return g.now().Sub(g.askedAt.Get())
}

// enter notes that a caller's request began.
func (g *Gateway) enter() {
	g.inFlight.Add(1)
	g.askedAt.Set(g.now())
}

// leave notes that a caller's request ended.
func (g *Gateway) leave() {
	g.askedAt.Set(g.now())
	g.inFlight.Add(-1)
}

// plannedStops is what the entries that are heard tell of planned stops.
type plannedStops struct {
	// near tells that another entry of the zone serves, far that any other does.
	near, far bool
	// nearStops tells that another entry of the zone stops.
	nearStops bool
	// first is when the first entry that stops gives up its last requests, and
	// lastNear when the last of the zone does; this entry counts.
	first, lastNear time.Time
}

// stops looks at the planned stops of this entry and the others.
func (g *Gateway) stops() plannedStops {
	own := g.StopBy()
	out := plannedStops{first: own, lastNear: own}
	for _, p := range g.others.Heard() {
		by, near := p.State.StopBy, p.State.Zone == g.settings.Zone
		switch {
		case by.IsZero() && p.State.Confirmed.IsZero():
			// It has not learnt the routes yet.
		case by.IsZero():
			out.near, out.far = out.near || near, true
		default:
			out.nearStops = out.nearStops || near
			if by.Before(out.first) {
				out.first = by
			}
			if near && by.After(out.lastNear) {
				out.lastNear = by
			}
		}
	}
	return out
}

// backAfterStop is the time after which an entry can be expected to serve what
// this stopping one refuses. Callers try once or twice, and the balancer believes
// a stopping entry ready for a while: told to come back at once, most of those that a
// zone with all entries stopping refuses are refused for good.
func (g *Gateway) backAfterStop() time.Duration {
	s := g.stops()
	switch {
	case s.near || s.far && !s.nearStops:
		return backStopping
	case s.far:
		// The balancer sends callers to other zones once it knows of all stops here.
		noticed := g.noticedAt.Get().Add(s.lastNear.Sub(g.StopBy()))
		return max(noticed.Sub(g.now()), backStopping)
	default:
		return max(s.first.Add(restartTime).Sub(g.now()), backStopping)
	}
}
