package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// errStopped is the cause with which requests in flight are cancelled at the end of a planned
// stop.
var errStopped = errors.New("this entry stopped")

const (
	// stoppingRetryDelay is the retry delay that a stopping entry states while another entry serves,
	// which can take the caller at once.
	stoppingRetryDelay = 50 * time.Millisecond
	// restartTime is the time from when an entry gives up its last requests until the load
	// balancer sends callers to its replacement: the start of the replacement, up to 1 s until
	// the next readiness check, and a small margin.
	restartTime = 1750 * time.Millisecond
	// ReadinessLag is how long the load balancer keeps sending callers to an entry that is not
	// ready: it checks readiness each second and acts on the second failed check.
	ReadinessLag = 2500 * time.Millisecond
	// AnswerReserve is the last part of a planned stop, reserved for answering the requests that
	// are given up: a few round trips, and one scheduling delay of a process that shares its
	// processor.
	AnswerReserve = 100 * time.Millisecond
	// answerCost is the processor time that it takes to give up a request and to write its response.
	answerCost = 100 * time.Microsecond
	// measureTime is how long before the others the first requests are given up at most, in a process that
	// hardly runs.
	measureTime = 2 * time.Second
)

// StopDeadlines are the times at which a planned stop ends requests. An entry that cannot tell how late it
// noticed the signal to stop has a time for each kind of request.
type StopDeadlines struct {
	// NewRequests is the time before which answers to requests that still arrive have to begin, and NewStreams the
	// time before which streamed ones have to end. Other requests are refused.
	NewRequests, NewStreams time.Time
	// Unanswered is when requests in flight whose answer has not begun have been answered. They are given up
	// AnswerReserve before, so that their callers get an answer even if the process is killed soon after.
	Unanswered time.Time
	// End is when answers that have begun are cut. They are lost then, so this is the latest time. AnswerReserve is not
	// for them: it serves the answers to requests that are given up.
	End time.Time
}

// Drain reports this entry as not ready to the load balancer and as stopping to the other
// entries. Requests that still arrive are served if they are expected to end before the
// deadline.
func (g *Gateway) Drain(deadline time.Time) {
	g.DrainUntil(StopDeadlines{NewRequests: deadline, NewStreams: deadline, Unanswered: deadline, End: deadline})
}

// DrainUntil is Drain with a deadline for each kind of request.
func (g *Gateway) DrainUntil(d StopDeadlines) {
	g.stopNoticedAt.Store(g.now().Add(ReadinessLag))
	g.latestEnd.Store(d.End)
	// lastAnswer tells that a stop is under way, so it comes last.
	g.lastStreamEnd.Store(d.NewStreams)
	g.lastAnswer.Store(d.NewRequests)
	time.AfterFunc(d.Unanswered.Add(-AnswerReserve).Sub(g.now()), g.giveUpUnanswered)
	go g.paceGivingUp(d.Unanswered.Add(-AnswerReserve))
	time.AfterFunc(d.End.Sub(g.now()), g.GiveUp)
	g.limits.StopGranting()
	g.peers.SendNow()
}

// GiveUpUnanswered ends the requests in flight whose answer has not begun. Their callers get one.
func (g *Gateway) GiveUpUnanswered() { g.giveUpUnanswered() }

// GiveUp ends all requests in flight at the end of a planned stop. Answers that have begun are cut.
func (g *Gateway) GiveUp() {
	g.giveUpUnanswered()
	g.giveUpAll(errStopped)
}

// paceGivingUp gives up requests without an answer before giveUpAt, as many as could not be answered after it by
// a process that runs as little as this one. It measures for how much of the time the process runs until
// they have been answered; that costs too much to be done all the time.
func (g *Gateway) paceGivingUp(giveUpAt time.Time) {
	time.Sleep(giveUpAt.Add(-measureTime).Sub(g.now()))
	end := time.NewTimer(giveUpAt.Add(runWindow).Sub(g.now()))
	defer end.Stop()
	ticker := time.NewTicker(runInterval)
	defer ticker.Stop()
	for {
		select {
		case <-end.C:
			return
		case <-ticker.C:
			g.running.tick(g.now())
			g.giveUpInTime(giveUpAt)
		}
	}
}

// giveUpInTime gives up the requests without an answer that could not be answered in time if they were all given
// up at end. A process that runs all the time has AnswerReserve after end for that. One that runs for a share of
// the time needs 1/share as long, and the additional time has to lie before end.
func (g *Gateway) giveUpInTime(end time.Time) {
	share, pause := g.running.report()
	left := float64(max(end.Sub(g.now())-pause, 0))
	keep := share * (left + float64(AnswerReserve)) / float64(answerCost)
	if share < 1 {
		keep = min(keep, share/(1-share)*left/float64(answerCost))
	}
	g.unanswered.keepOldest(int(keep))
}

// lateness returns by how much a request that arrives near the end of a planned stop is expected to end later than
// on a machine that is not busy: the requests without an answer take longer to be answered, and the process may
// pause again.
func (g *Gateway) lateness() time.Duration {
	share, pause := g.running.report()
	return pause + time.Duration((1/share-1)*float64(g.unanswered.len())*float64(answerCost))
}

// NoteGivenUp logs how a planned stop answered the requests that it gave up, if there were any. open is the
// number of connections whose responses are not written yet.
func (g *Gateway) NoteGivenUp(open int) {
	givenUp, firstAt := g.unanswered.counts()
	if givenUp == 0 {
		return
	}
	share, pause := g.running.report()
	g.rec.Note(events.RequestsGivenUp, "", "requests", givenUp, "unwritten", open, "took", g.now().Sub(firstAt), "run-share", share, "longest-pause", pause)
}

// untilStop returns a context that is also cancelled when a planned stop gives up the request, so that its
// caller gets an answer and not a closed connection. beginAnswer must be called before a streamed answer
// begins. It returns false if the request has been given up, and ctx is cancelled then. After it has
// returned true, the request is given up only with the answers that have begun.
func (g *Gateway) untilStop(ctx context.Context) (_ context.Context, beginAnswer func() bool, release context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	giveUp := func() { cancel(errStopped) }
	giveUpUnanswered := func() {
		g.unanswered.noteGivenUp(g.now())
		giveUp()
	}
	unhookUnanswered := context.AfterFunc(g.unansweredStopped, giveUpUnanswered)
	remove := g.unanswered.add(func() {
		if unhookUnanswered() {
			giveUpUnanswered()
		}
	})
	unhookAll := context.AfterFunc(g.stopping, giveUp)
	beginAnswer = func() bool {
		remove()
		if unhookUnanswered() {
			return true
		}
		// giveUp has started in another goroutine and may not have cancelled ctx yet.
		giveUp()
		return false
	}
	return ctx, beginAnswer, func() {
		remove()
		unhookUnanswered()
		unhookAll()
		cancel(context.Canceled)
	}
}

// StopDeadline returns the latest time at which a planned stop ends this entry. It is zero if no stop is in
// progress. Callers that have to wait for the replacement are told to return by it: one that returns
// too early uses up one of its few retries.
func (g *Gateway) StopDeadline() time.Time { return g.latestEnd.Load() }

// afterStop returns how long after this entry noticed a planned stop t is, as text, or "-" if none is under way.
func (g *Gateway) afterStop(t time.Time) string {
	balancer := g.stopNoticedAt.Load()
	if balancer.IsZero() {
		return "-"
	}
	return t.Sub(balancer.Add(-ReadinessLag)).String()
}

// refusesCautiously reports whether a planned stop is under way and another entry serves, so that a refusal costs a caller
// less than an answer that is cut.
func (g *Gateway) refusesCautiously() bool { return !g.StopDeadline().IsZero() && g.stops().anyServes }

// stopsBefore reports whether a planned stop would give up a request that is sent now, or cut its answer. The request is
// expected to take a time, by a forecast if it is a generation.
func (g *Gateway) stopsBefore(rq *request, expected time.Duration, f forecast) bool {
	by := g.lastAnswer.Load()
	if by.IsZero() {
		return false
	}
	now := g.now().Add(g.lateness())
	if rq.service.Engine == nil {
		return now.Add(expected).After(by)
	}
	end := now.Add(expected + g.endProofTimes.expected(rq.service.Name))
	return now.Add(f.start).After(by) || end.After(g.lastStreamEnd.Load())
}

// IdleFor returns the time since the last request began or ended; 0 while requests are in
// flight.
func (g *Gateway) IdleFor() time.Duration {
	if g.inFlight.Load() > 0 {
		return 0
	}
	return g.now().Sub(g.lastRequestAt.Load())
}

// beginRequest counts a caller's request as in flight.
func (g *Gateway) beginRequest() {
	g.inFlight.Add(1)
	g.lastRequestAt.Store(g.now())
}

// endRequest undoes beginRequest when the request has ended.
func (g *Gateway) endRequest() {
	g.lastRequestAt.Store(g.now())
	g.inFlight.Add(-1)
}

// plannedStops summarizes which entries serve and which stop, as far as gossip reports.
type plannedStops struct {
	// sameZoneServes is set if another entry of this zone serves, anyServes if any other
	// entry serves.
	sameZoneServes, anyServes bool
	// sameZoneStops is set if another entry of this zone stops.
	sameZoneStops bool
	// firstStop is the earliest time at which a stopping entry has ended, and lastSameZoneStop the
	// latest such time in this zone. Both include this entry.
	firstStop, lastSameZoneStop time.Time
}

// stops returns the planned stops of this entry and the others.
func (g *Gateway) stops() plannedStops {
	own := g.StopDeadline()
	out := plannedStops{firstStop: own, lastSameZoneStop: own}
	for _, p := range g.peers.LivePeers() {
		stopBy, sameZone := p.State.StopBy, p.State.Zone == g.settings.Zone
		switch {
		case stopBy.IsZero() && p.State.Confirmed.IsZero():
			// The entry has no routes yet and cannot serve.
		case stopBy.IsZero():
			out.sameZoneServes, out.anyServes = out.sameZoneServes || sameZone, true
		default:
			out.sameZoneStops = out.sameZoneStops || sameZone
			if stopBy.Before(out.firstStop) {
				out.firstStop = stopBy
			}
			if sameZone && stopBy.After(out.lastSameZoneStop) {
				out.lastSameZoneStop = stopBy
			}
		}
	}
	return out
}

// retryDelayAfterStop returns the retry delay for a request that this stopping entry refuses: the
// time after which another entry is expected to serve it. Callers retry once or twice, and for
// ReadinessLag the load balancer still sends them to stopping entries. If all entries of a zone stop
// and callers retry at once, most of them use up their retries on these entries.
func (g *Gateway) retryDelayAfterStop() time.Duration {
	s := g.stops()
	switch {
	case s.sameZoneServes || s.anyServes && !s.sameZoneStops:
		return stoppingRetryDelay
	case s.anyServes:
		// The load balancer sends callers to other zones once it has noticed all stops in
		// this zone.
		noticed := g.stopNoticedAt.Load().Add(s.lastSameZoneStop.Sub(g.StopDeadline()))
		return max(noticed.Sub(g.now()), stoppingRetryDelay)
	default:
		return max(s.firstStop.Add(restartTime).Sub(g.now()), stoppingRetryDelay)
	}
}
