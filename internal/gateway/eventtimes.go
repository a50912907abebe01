package gateway

import (
	"maps"
	"sync"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
)

// eventWindow is the number of events over which the time of one is taken: some 120 ms, in
// which one packet that comes a few ms late changes little.
const eventWindow = 4

// eventTimes keeps the shortest time per event that any entry saw at each engine. While
// prompts are read beside a stream its events are up to twice as far apart, so only the
// shortest time tells how fast the engine itself is.
type eventTimes struct {
	mu       sync.Mutex
	shortest map[string]time.Duration
}

func newEventTimes() *eventTimes { return &eventTimes{shortest: map[string]time.Duration{}} }

// note takes over a time per event that was seen at an engine.
func (e *eventTimes) note(engine string, d time.Duration) {
	if d <= 0 {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if known, ok := e.shortest[engine]; !ok || d < known {
		e.shortest[engine] = d
	}
}

// of returns the shortest time per event of an engine; 0 if it is not known.
func (e *eventTimes) of(engine string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.shortest[engine]
}

// among returns the times of the engines that have a load.
func (e *eventTimes) among(loads map[string]gossip.Load) map[string]time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := map[string]time.Duration{}
	for engine := range loads {
		if d, ok := e.shortest[engine]; ok {
			out[engine] = d
		}
	}
	return out
}

// forget drops the engines that are not known any more.
func (e *eventTimes) forget(known func(engine string) bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.shortest, func(engine string, _ time.Duration) bool { return !known(engine) })
}

// eventTimer measures the time per event of one stream at one engine.
type eventTimer struct {
	engine string
	began  time.Time
	events int
}

// pass takes over events that came from an engine; ok tells that a window is full, and
// each is the time per event in it.
func (t *eventTimer) pass(engine string, n int, now time.Time) (each time.Duration, ok bool) {
	if engine != t.engine || t.began.IsZero() {
		*t = eventTimer{engine: engine, began: now}
		return 0, false
	}
	t.events += n
	if t.events < eventWindow {
		return 0, false
	}
	each = now.Sub(t.began) / time.Duration(t.events)
	*t = eventTimer{engine: engine, began: now}
	return each, true
}
