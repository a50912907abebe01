package gateway

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
)

// silentFor is the time without an event after which a stream of an unreachable engine goes on elsewhere. It is
// longer than the time to connect, so that an event during the checks shows that the engine is there.
const silentFor = 500 * time.Millisecond

// errUnreachable ends attempts at engines that cannot be reached.
var errUnreachable = errors.New("the engine cannot be reached")

// upstreamFailed reports whether an attempt that failed did so because of its upstream, and not because its
// request ended.
func upstreamFailed(ctx context.Context) bool {
	return ctx.Err() == nil || errors.Is(context.Cause(ctx), errUnreachable)
}

// engineUnreachable handles an engine to which a request could not connect. An engine whose VM lost power or its
// network refuses nothing, so each attempt takes the whole time to connect; every entry would spend that on its
// own requests. So the entry tells the others, and requests avoid the engine until a check has reached it.
func (g *Gateway) engineUnreachable(at fleet.Upstream) {
	if g.fleet.Unreachable(at.ID) {
		g.peers.SendNow()
		go g.checkUntilReachable(at)
	}
}

// SetPeerUnreachable takes over which engines another entry cannot reach, and checks these.
func (g *Gateway) SetPeerUnreachable(reports map[string]time.Time) {
	for _, u := range g.fleet.PeerUnreachable(reports) {
		go g.checkReported(u)
	}
}

// checkReported checks an engine that is silent, or that another entry cannot reach.
func (g *Gateway) checkReported(u fleet.Upstream) {
	if !g.checkConnection(u) && g.fleet.Unreachable(u.ID) {
		g.peers.SendNow()
		g.checkUntilReachable(u)
	}
}

// silenceFactor is the multiple of the longest pause that the route allows after which a silent stream makes its
// entry check the engine. Pauses of twice that length are rare at engines that work, and a check costs one
// connection.
const silenceFactor = 2

// silenceTimer checks the engine of a stream once the stream has been silent for too long, if its route bounds
// pauses.
type silenceTimer struct {
	stream *stream
	at     fleet.Upstream
	timer  *time.Timer
}

// start begins to wait for the next event.
func (t *silenceTimer) start() {
	s, after := t.stream, silenceFactor*t.stream.rq.route.MaxPause
	switch {
	case after == 0:
	case t.timer != nil:
		t.timer.Reset(after)
	default:
		t.timer = time.AfterFunc(after, func() {
			if s.g.fleet.Silent(t.at.ID) {
				s.g.checkReported(t.at)
			}
		})
	}
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// checkUntilReachable checks an unreachable engine until it can be reached or is no longer known: at once, and then
// every fleet.UnreachableInterval. Streams are taken from it after a second failed check, since on a link that
// loses packets one fails now and then.
func (g *Gateway) checkUntilReachable(u fleet.Upstream) {
	for g.incarnationKnown(u.ID) && !g.checkConnection(u) {
		g.fleet.Unreachable(u.ID)
		g.abandonSilent(u.ID)
		time.Sleep(fleet.UnreachableInterval)
	}
}

// abandonSilent ends the attempts at an engine from which nothing comes, so that their streams go on elsewhere.
// Otherwise they would wait for 3 s until the connection counts as lost. Streams that may not be repeated keep
// waiting: the engine may be back by then.
func (g *Gateway) abandonSilent(id string) {
	g.mu.Lock()
	streams := slices.Collect(maps.Keys(g.streams[id]))
	g.mu.Unlock()
	for _, s := range streams {
		s.abandonIfSilent(id)
	}
}

func (s *stream) abandonIfSilent(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silence := time.Duration(s.g.now().UnixNano() - s.heardAt.Load())
	if s.at.ID == id && s.rq.route.MaxPause > 0 && s.rq.route.Repeats() && silence >= silentFor {
		s.abandon(errUnreachable)
	}
}

// checkConnection opens a connection to an engine and reports whether that worked.
func (g *Gateway) checkConnection(u fleet.Upstream) bool {
	err := g.link.CheckReachable(context.Background(), u.Address)
	g.met.connectionChecked(err == nil)
	if err == nil {
		g.fleet.Reachable(u.ID)
	}
	return err == nil
}
