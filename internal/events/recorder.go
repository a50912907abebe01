// Package events records the activity of a process as numbered events. Every package records through a
// Recorder, which writes each event to the structured log and keeps the newest ones in a ring buffer. The
// stamps of a hybrid logical clock order the events of all processes in one time line.
package events

import (
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
)

// Stamp is a reading of a hybrid logical clock: the wall time in nanoseconds since the Unix epoch and a
// counter that orders events with the same wall time.
type Stamp struct {
	Wall  int64  `json:"wall"`
	Logic uint32 `json:"logic"`
}

// Before reports whether s comes before o.
func (s Stamp) Before(o Stamp) bool {
	if s.Wall != o.Wall {
		return s.Wall < o.Wall
	}
	return s.Logic < o.Logic
}

// Event is one recorded event.
type Event struct {
	Stamp       Stamp             `json:"stamp"`
	Process     string            `json:"process"`
	Incarnation string            `json:"incarnation"`
	Event       ID                `json:"event"`
	Name        string            `json:"name"`
	Request     string            `json:"request,omitempty"`
	Fields      map[string]string `json:"fields,omitempty"`
}

// Logs are the logs of a Recorder. Reserved has room for events that must not be left out when there are too many
// for Usual.
type Logs struct {
	Usual, Reserved logr.Logger
}

// LogTo returns Logs that write all events to one log.
func LogTo(log logr.Logger) Logs { return Logs{Usual: log, Reserved: log} }

// Recorder writes events to its logs and keeps the newest ones in a ring buffer.
type Recorder struct {
	logs        Logs
	process     string
	incarnation string
	now         func() time.Time

	mu   sync.Mutex
	last Stamp
	ring []Event
	next int
}

// New returns a Recorder for the named process that keeps at most size events.
func New(logs Logs, process, incarnation string, size int, now func() time.Time) *Recorder {
	return &Recorder{
		logs:        logs,
		process:     process,
		incarnation: incarnation,
		now:         now,
		ring:        make([]Event, 0, size),
	}
}

// Nop returns a Recorder for tests that keeps 256 events and logs nothing.
func Nop() *Recorder { return New(LogTo(logr.Discard()), "test", "0", 256, time.Now) }

// Note records one event. request may be empty; kv are alternating names and
// values, as in logr.
func (r *Recorder) Note(id ID, request string, kv ...any) { r.note(r.logs.Usual, id, request, kv) }

// NoteReserved is Note for an event whose line must be there when the log is full: without it a failure cannot be
// explained.
func (r *Recorder) NoteReserved(id ID, request string, kv ...any) {
	r.note(r.logs.Reserved, id, request, kv)
}

func (r *Recorder) note(log logr.Logger, id ID, request string, kv []any) {
	kind := byID[id]
	log.Info(kind.name, append([]any{"event", int(id), "request", request}, kv...)...)
	e := Event{Process: r.process, Incarnation: r.incarnation, Event: id, Name: kind.name, Request: request, Fields: fields(kv)}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.tick()
	r.keep(e)
}

// Observe advances the logical clock to a stamp received from another process, so that later events here
// come after it.
func (r *Recorder) Observe(s Stamp) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last.Before(s) {
		r.last = s
	}
}

// Now returns a new stamp to send with a message.
func (r *Recorder) Now() Stamp {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tick()
}

// Select returns the kept events of one request, or all if request is empty,
// oldest first.
func (r *Recorder) Select(request string) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Event, 0, len(r.ring))
	for i := range r.ring {
		e := r.ring[(r.next+i)%len(r.ring)]
		if request == "" || e.Request == request {
			out = append(out, e)
		}
	}
	return out
}

func (r *Recorder) tick() Stamp {
	wall := r.now().UnixNano()
	if wall > r.last.Wall {
		r.last = Stamp{Wall: wall}
	} else {
		r.last.Logic++
	}
	return r.last
}

func (r *Recorder) keep(e Event) {
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, e)
		return
	}
	r.ring[r.next] = e
	r.next = (r.next + 1) % len(r.ring)
}

func fields(kv []any) map[string]string {
	if len(kv) < 2 {
		return nil
	}
	m := make(map[string]string, len(kv)/2)
	for i := 0; i+1 < len(kv); i += 2 {
		m[fmt.Sprint(kv[i])] = fmt.Sprint(kv[i+1])
	}
	return m
}
