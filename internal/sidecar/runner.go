package sidecar

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
)

// runner connects the scheduler with one engine: it reports events to the scheduler and carries out
// the actions that the scheduler decides on.
type runner struct {
	link         *engineLink
	incarnations *upstreamIncarnations
	rec          *events.Recorder
	now          func() time.Time
	metrics      *Metrics

	mu       sync.Mutex
	sched    *decision.Scheduler
	blocks   int
	waiters  map[string]chan decision.Action
	commands chan engineCommand
	wake     chan struct{}
}

type engineCommand struct {
	kind   string
	stream string
}

const (
	// decidePeriod is how often the scheduler decides when no generation arrives or ends.
	decidePeriod = 10 * time.Millisecond
	// loadPeriod is how often the engine's load page is read.
	loadPeriod    = 500 * time.Millisecond
	commandBuffer = 4096
)

func newRunner(link *engineLink, incarnations *upstreamIncarnations, settings decision.Settings,
	rec *events.Recorder, metrics *Metrics, now func() time.Time) *runner {
	return &runner{
		link:         link,
		incarnations: incarnations,
		rec:          rec,
		metrics:      metrics,
		now:          now,
		sched:        decision.New(settings, now),
		blocks:       settings.Blocks,
		waiters:      map[string]chan decision.Action{},
		commands:     make(chan engineCommand, commandBuffer),
		wake:         make(chan struct{}, 1),
	}
}

// run does the periodic work until ctx ends. The load page is read only if isEngine reports true,
// since a plain service has none.
func (r *runner) run(ctx context.Context, isEngine func() bool) {
	go r.sendCommands(ctx)
	nextLoad := r.now()
	for {
		if r.idle() {
			// Without generations there is nothing to decide until the next one arrives.
			select {
			case <-ctx.Done():
				return
			case <-r.wake:
			}
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(decidePeriod):
		}
		r.mu.Lock()
		r.decideLocked()
		r.mu.Unlock()
		if now := r.now(); isEngine() && !now.Before(nextLoad) {
			nextLoad = now.Add(loadPeriod)
			go r.readLoad(ctx)
		}
	}
}

func (r *runner) idle() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sched.Running()+r.sched.Waiting()+r.sched.Paused() == 0
}

func (r *runner) sendCommands(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-r.commands:
			if err := r.link.sendCommand(ctx, c.kind, c.stream); err != nil {
				r.metrics.commandErrors.Inc()
			}
		}
	}
}

func (r *runner) readLoad(ctx context.Context) {
	l, err := r.link.load(ctx)
	if err != nil || l.Blocks == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Report(l.BlocksUsed, time.UnixMilli(l.At))
}

// enqueue queues a generation; the scheduler's decision about it is sent on the channel.
func (r *runner) enqueue(req decision.Request) <-chan decision.Action {
	ch := make(chan decision.Action, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[req.ID] = ch
	r.sched.Arrive(req)
	r.decideLocked()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return ch
}

// token records one output token.
func (r *runner) token(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Token(id)
}

// remove records that a generation ended. whole reports that it ended with its last token.
func (r *runner) remove(id string, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if whole {
		r.sched.Finish(id)
	} else {
		r.sched.Drop(id)
	}
	delete(r.waiters, id)
	r.decideLocked()
}

// decideLocked lets the scheduler decide and carries out its actions. It needs the lock.
func (r *runner) decideLocked() {
	for _, a := range r.sched.Decide() {
		switch a.Kind() {
		case decision.Admit, decision.Refuse:
			if ch, ok := r.waiters[a.ID()]; ok {
				ch <- a
				delete(r.waiters, a.ID())
			}
		case decision.Pause:
			r.rec.Note(events.GenerationPaused, "", "generation", a.ID(), "reason", a.Reason())
			r.metrics.pauses.Inc()
			r.commands <- engineCommand{kind: "pause", stream: a.ID()}
		case decision.Resume:
			r.rec.Note(events.GenerationResumed, "", "generation", a.ID())
			r.commands <- engineCommand{kind: "resume", stream: a.ID()}
		}
	}
}

func (r *runner) load() membership.Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	return membership.Load{
		Running:      r.sched.Running(),
		Waiting:      r.sched.Waiting(),
		Paused:       r.sched.Paused(),
		UsedPermille: membership.Permille(float64(r.sched.Used()) / float64(max(1, r.blocks))),
		WaitMS:       r.sched.Wait().Milliseconds(),
		AtMS:         r.now().UnixMilli(),
	}
}

// stream runs an admitted generation on the engine and fills its buffer. It returns when the
// generation has ended.
func (r *runner) stream(ctx context.Context, g *generation, p generateParams) {
	sentAt := time.Now()
	whole, reason, brokeOff := r.readStream(ctx, g, p)
	if brokeOff && ctx.Err() == nil {
		g.setEndedIncarnation(r.incarnations.endedDuring(ctx, sentAt))
	}
	r.remove(g.id, whole)
	g.finish(whole, reason)
	end, _ := g.ended()
	r.rec.Note(events.GenerationEnded, g.request, "generation", g.id, "whole", end.Whole, "reason", end.Reason, "total", end.Total)
}

var (
	errEnded = errors.New("generation has ended")
	errGap   = errors.New("gap in the engine's stream")
)

// readStream adds the events of the engine's stream to the generation. brokeOff reports that the
// stream broke off after the engine may have started the request.
func (r *runner) readStream(ctx context.Context, g *generation, p generateParams) (whole bool, reason string, brokeOff bool) {
	body, err := r.link.open(ctx, g.id, p)
	if err != nil {
		return false, reasonUpstream, !refusedConnection(err)
	}
	defer func() { _ = body.Close() }()
	r.incarnations.markUp()
	last, finished := int64(0), false
	err = readChunks(body, func(c chunk) error {
		if c.choice == nil {
			g.setUsage(c.usage)
			return nil
		}
		if c.number > 0 && c.number <= last {
			r.metrics.dropped.Inc()
			return nil
		}
		if c.number > last+1 {
			return errGap
		}
		last = c.number
		finished = c.last
		if !c.last {
			r.token(g.id)
		}
		if !g.append(c.choice, !c.last) {
			return errEnded
		}
		return nil
	})
	switch {
	case err == nil && finished:
		return true, "", false
	case errors.Is(err, errMalformed):
		return false, reasonMalformed, false
	case errors.Is(err, errGap):
		return false, reasonGap, false
	default:
		return false, reasonUpstream, true
	}
}

// generationID names the n-th generation of an incarnation of an upstream.
func generationID(upstream, incarnation string, n int64) string {
	return fmt.Sprintf("%s~%s~%d", upstream, incarnation, n)
}
