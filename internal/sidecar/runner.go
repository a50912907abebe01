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

// runner puts the decision between the queue and one engine: it tells the
// scheduler what happens and carries out what it decides.
type runner struct {
	link   *engineLink
	starts *starts
	rec    *events.Recorder
	now    func() time.Time
	met    *Metrics

	mu      sync.Mutex
	sched   *decision.Scheduler
	blocks  int
	waiters map[string]chan decision.Action
	orders  chan engineOrder
	wake    chan struct{}
}

type engineOrder struct {
	kind   string
	stream string
}

const (
	// decidePeriod is how often the decision runs when nothing arrives or ends.
	decidePeriod = 10 * time.Millisecond
	// loadPeriod is how often the engine's load page is read.
	loadPeriod  = 500 * time.Millisecond
	orderBuffer = 4096
)

func newRunner(link *engineLink, starts *starts, settings decision.Settings, rec *events.Recorder, met *Metrics, now func() time.Time) *runner {
	return &runner{
		link:    link,
		starts:  starts,
		rec:     rec,
		met:     met,
		now:     now,
		sched:   decision.New(settings, now),
		blocks:  settings.Blocks,
		waiters: map[string]chan decision.Action{},
		orders:  make(chan engineOrder, orderBuffer),
		wake:    make(chan struct{}, 1),
	}
}

// run drives the periodic work until ctx ends. A plain service has no load
// page to read.
func (r *runner) run(ctx context.Context, isEngine func() bool) {
	go r.sendOrders(ctx)
	nextLoad := r.now()
	for {
		if r.idle() {
			// Nothing runs and nothing waits: no tick until something arrives.
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
		r.decide()
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

func (r *runner) sendOrders(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case o := <-r.orders:
			if err := r.link.order(ctx, o.kind, o.stream); err != nil {
				r.met.orderErrors.Inc()
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

// arrive queues a generation; the decision about it comes on the channel.
func (r *runner) arrive(req decision.Request) <-chan decision.Action {
	ch := make(chan decision.Action, 1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.waiters[req.ID] = ch
	r.sched.Arrive(req)
	r.decide()
	select {
	case r.wake <- struct{}{}:
	default:
	}
	return ch
}

// token notes one output token.
func (r *runner) token(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Token(id)
}

// leave notes that a generation ended, by itself or not.
func (r *runner) leave(id string, byItself bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if byItself {
		r.sched.Finish(id)
	} else {
		r.sched.Drop(id)
	}
	delete(r.waiters, id)
	r.decide()
}

func (r *runner) decide() {
	for _, a := range r.sched.Decide() {
		switch a.Kind() {
		case decision.Admit, decision.Refuse:
			if ch, ok := r.waiters[a.ID()]; ok {
				ch <- a
				delete(r.waiters, a.ID())
			}
		case decision.Pause:
			r.rec.Note(events.GenerationPaused, "", "generation", a.ID(), "reason", a.Reason())
			r.met.pauses.Inc()
			r.orders <- engineOrder{kind: "pause", stream: a.ID()}
		case decision.Resume:
			r.rec.Note(events.GenerationResumed, "", "generation", a.ID())
			r.orders <- engineOrder{kind: "resume", stream: a.ID()}
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

// stream runs an admitted generation on the engine and fills its buffer. It
// returns when the generation has its end.
func (r *runner) stream(ctx context.Context, g *generation, p generateParams) {
	sentAt := time.Now()
	whole, reason, broke := r.relay(ctx, g, p)
	if broke && ctx.Err() == nil {
		g.lostWith(r.starts.endedUnder(ctx, sentAt))
	}
	r.leave(g.id, whole)
	g.finishOnce(whole, reason)
	end, _ := g.ended()
	r.rec.Note(events.GenerationEnded, g.request, "generation", g.id, "whole", end.Whole, "reason", end.Reason, "total", end.Total)
}

var (
	errEnded = errors.New("generation has ended")
	errGap   = errors.New("gap in the engine's stream")
)

// relay passes on what the engine makes. broke tells that its answer broke off after the
// engine may have begun.
func (r *runner) relay(ctx context.Context, g *generation, p generateParams) (whole bool, reason string, broke bool) {
	body, err := r.link.open(ctx, g.id, p)
	if err != nil {
		return false, reasonUpstream, !refusedConnection(err)
	}
	defer func() { _ = body.Close() }()
	r.starts.answered()
	last, finished := int64(0), false
	err = readChunks(body, func(c chunk) error {
		if c.choice == nil {
			g.count(c.usage)
			return nil
		}
		if c.number > 0 && c.number <= last {
			r.met.dropped.Inc()
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
