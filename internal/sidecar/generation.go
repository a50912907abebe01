package sidecar

import (
	"encoding/json"
	"sync"
	"time"
)

// bufferLimits bound the buffer of one generation.
type bufferLimits struct {
	// unacked is the most bytes that may wait for an acknowledgement; above it the caller is too
	// slow and the stream is cut.
	unacked int
	// retained is how many acknowledged bytes are kept for a caller that reconnects. It must be
	// more than the socket from an entry to its caller can hold.
	retained int
}

// The reasons for which a generation ends before it is whole.
const (
	reasonSlowCaller = "caller too slow"
	reasonCancelled  = "cancelled by caller"
	reasonDetached   = "no caller came back"
	reasonUpstream   = "upstream lost"
	reasonMalformed  = "upstream sent malformed data"
	reasonGap        = "upstream left out part of the stream"
	reasonStopped    = "planned stop reached its deadline"
	reasonFault      = "a fault of the sidecar"
)

// generation buffers the numbered tokens of one run on the engine.
type generation struct {
	id      string
	request string
	account string
	limits  bufferLimits

	mu sync.Mutex
	// first is the offset of choices[0].
	first   int64
	choices []json.RawMessage
	// acked is the highest offset that an entry has written to its caller.
	acked         int64
	bytesUnacked  int
	bytesRetained int
	output        int64
	usage         json.RawMessage
	end           *endNote
	endedAt       time.Time
	// endedIncarnation is the incarnation of the engine that ended while it ran the generation;
	// empty if none did.
	endedIncarnation string
	// changed is closed and replaced whenever there is something to send.
	changed chan struct{}
	// receiver is the delivery that gets the stream; a newer one replaces it.
	receiver *delivery
	// lastReceiver is the delivery that detached last, while there is no receiver.
	lastReceiver *delivery
	cancel       func()
}

func newGeneration(id, request, account string, limits bufferLimits) *generation {
	return &generation{id: id, request: request, account: account, limits: limits, first: 1, changed: make(chan struct{})}
}

// wakeLocked wakes the goroutines that wait for something to send. It needs the lock.
func (g *generation) wakeLocked() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// append adds one choice, which is an output token if isToken is set. It returns false when the
// generation has ended.
func (g *generation) append(choice json.RawMessage, isToken bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end != nil {
		return false
	}
	g.choices = append(g.choices, choice)
	g.bytesUnacked += len(choice)
	if isToken {
		g.output++
	}
	if g.bytesUnacked > g.limits.unacked {
		g.finishLocked(false, reasonSlowCaller)
	}
	g.wakeLocked()
	return g.end == nil
}

// setUsage keeps the engine's own token count.
func (g *generation) setUsage(usage json.RawMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage = usage
}

// setEndedIncarnation records the incarnation of the engine that ended while it ran the generation;
// empty for none.
func (g *generation) setEndedIncarnation(incarnation string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endedIncarnation = incarnation
}

// finish ends the generation; only the first reason counts.
func (g *generation) finish(whole bool, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end != nil {
		return
	}
	g.finishLocked(whole, reason)
	g.wakeLocked()
}

// finishLocked ends a generation that has not ended. It needs the lock.
func (g *generation) finishLocked(whole bool, reason string) {
	g.end = &endNote{Whole: whole, Reason: reason, EndedIncarnation: g.endedIncarnation,
		Total: g.first + int64(len(g.choices)) - 1, Output: g.output, Usage: g.usage}
	g.endedAt = time.Now()
	if g.cancel != nil {
		go g.cancel()
	}
}

// ack records that the caller's socket has accepted everything up to offset upto, and drops choices
// that need not be kept any longer. It reports whether the generation has ended, d has got its end, and all of
// it is acknowledged. The last choice may be acknowledged before the end is sent.
func (g *generation) ack(d *delivery, upto int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.receiver != d {
		return false
	}
	last := g.first + int64(len(g.choices)) - 1
	for upto = min(upto, last); g.acked < upto; g.acked++ {
		n := len(g.choices[g.acked+1-g.first])
		g.bytesUnacked -= n
		g.bytesRetained += n
	}
	drop := 0
	for g.bytesRetained > g.limits.retained && g.first+int64(drop) <= g.acked {
		g.bytesRetained -= len(g.choices[drop])
		drop++
	}
	if drop > 0 {
		g.choices = append([]json.RawMessage(nil), g.choices[drop:]...)
		g.first += int64(drop)
	}
	return d.endSent && g.acked == last
}

// delivery is the sending of a generation to one entry's connection.
type delivery struct {
	sub  int64
	next int64
	// endSent is set once frame has returned the end of the generation.
	endSent bool
}

// attach makes d the receiver, starting after the given offset. It returns false when part of what
// follows is no longer kept, or when the offset does not exist yet.
func (g *generation) attach(d *delivery, after int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.first + int64(len(g.choices)) - 1
	if after < g.first-1 || after > last {
		return false
	}
	d.next = after + 1
	g.receiver, g.lastReceiver = d, nil
	g.wakeLocked()
	return true
}

// detach removes d if it is the receiver, and reports whether it was.
func (g *generation) detach(d *delivery) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.receiver != d {
		return false
	}
	g.receiver, g.lastReceiver = nil, d
	return true
}

// abandon ends the generation if d is the newest receiver, attached or not, and reports whether it
// was. Check and end are one step under the lock: a caller that resumes attaches a newer receiver,
// and from then on d must not end the stream.
func (g *generation) abandon(d *delivery, reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.receiver != d && g.lastReceiver != d {
		return false
	}
	g.receiver, g.lastReceiver = nil, d
	if g.end == nil {
		g.finishLocked(false, reason)
		g.wakeLocked()
	}
	return true
}

func (g *generation) ended() (*endNote, time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.end, g.endedAt
}

// maxFrameChoices bounds one frame, so that streams share a connection fairly.
const maxFrameChoices = 64

// frame returns what d has to send next, or a channel to wait on. ok is false when d is no longer
// the receiver.
func (g *generation) frame(d *delivery) (note *tokensNote, wait <-chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.receiver != d {
		return nil, nil, false
	}
	from := int(d.next - g.first)
	avail := g.choices[from:]
	if len(avail) > maxFrameChoices {
		avail = avail[:maxFrameChoices]
	}
	complete := g.end != nil && from+len(avail) == len(g.choices)
	if len(avail) == 0 && !complete {
		return nil, g.changed, true
	}
	n := &tokensNote{Sub: d.sub, Generation: g.id, First: d.next, Choices: append([]json.RawMessage(nil), avail...)}
	d.next += int64(len(avail))
	if complete {
		n.End, d.endSent = g.end, true
	}
	return n, nil, true
}
