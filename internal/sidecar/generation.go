package sidecar

import (
	"encoding/json"
	"sync"
	"time"
)

// bufferLimits bound what one generation keeps.
type bufferLimits struct {
	// unacked is the most bytes that no entry has acknowledged; above it the
	// caller is too slow and the stream is cut.
	unacked int
	// retained is how many acknowledged bytes stay for a caller that comes
	// back. It is more than an entry's socket to its caller can hold.
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

// generation keeps the numbered tokens of one run on the engine.
type generation struct {
	id      string
	request string
	account string
	limits  bufferLimits

	mu sync.Mutex
	// first is the offset of choices[0].
	first   int64
	choices []json.RawMessage
	// acked is the highest offset an entry has written to the caller.
	acked         int64
	bytesUnacked  int
	bytesRetained int
	output        int64
	usage         json.RawMessage
	end           *endNote
	endedAt       time.Time
	// endedWith is the start of the engine that ended under the generation.
	endedWith string
	// changed is closed and replaced whenever there is something to send.
	changed chan struct{}
	// holder is the connection that receives the stream; the newest wins.
	holder *delivery
	// left is the last holder while there is none.
	left   *delivery
	cancel func()
}

func newGeneration(id, request, account string, limits bufferLimits) *generation {
	return &generation{id: id, request: request, account: account, limits: limits, first: 1, changed: make(chan struct{})}
}

func (g *generation) wake() {
	close(g.changed)
	g.changed = make(chan struct{})
}

// append adds one choice; it returns false when the generation has ended.
func (g *generation) append(choice json.RawMessage, counts bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end != nil {
		return false
	}
	g.choices = append(g.choices, choice)
	g.bytesUnacked += len(choice)
	if counts {
		g.output++
	}
	if g.bytesUnacked > g.limits.unacked {
		g.finish(false, reasonSlowCaller)
	}
	g.wake()
	return g.end == nil
}

// count keeps the engine's own count of tokens.
func (g *generation) count(usage json.RawMessage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.usage = usage
}

// lostWith notes that a start of the engine ended under the generation; empty for none.
func (g *generation) lostWith(start string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endedWith = start
}

// finishOnce ends the generation; only the first reason counts.
func (g *generation) finishOnce(whole bool, reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.end != nil {
		return
	}
	g.finish(whole, reason)
	g.wake()
}

func (g *generation) finish(whole bool, reason string) {
	g.end = &endNote{Whole: whole, Reason: reason, EndedWith: g.endedWith, Total: g.first + int64(len(g.choices)) - 1, Output: g.output, Usage: g.usage}
	g.endedAt = time.Now()
	if g.cancel != nil {
		go g.cancel()
	}
}

// ack notes that the caller's socket has taken everything up to offset upto,
// and drops what no longer has to be kept. It reports whether the generation
// has ended and all of it was taken.
func (g *generation) ack(d *delivery, upto int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder != d {
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
	return g.end != nil && g.acked == last
}

// delivery is one entry's connection to a generation.
type delivery struct {
	sub  int64
	next int64
}

// attach makes d the receiver from the offset after the given one. It returns
// false when part of what d asks for is no longer kept.
func (g *generation) attach(d *delivery, after int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	last := g.first + int64(len(g.choices)) - 1
	if after < g.first-1 || after > last {
		return false
	}
	d.next = after + 1
	g.holder, g.left = d, nil
	g.wake()
	return true
}

// detach removes d if it is the receiver, and reports whether it was.
func (g *generation) detach(d *delivery) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder != d {
		return false
	}
	g.holder, g.left = nil, d
	return true
}

// abandon ends the generation for a receiver that is the newest one, whether it has
// left or not, and reports whether it was. Looking and ending are one step: a caller
// that comes back makes another receiver, and from then on the stream is that one's.
func (g *generation) abandon(d *delivery, reason string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder != d && g.left != d {
		return false
	}
	g.holder, g.left = nil, d
	if g.end == nil {
		g.finish(false, reason)
		g.wake()
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

// frame returns what d has to send next, or a channel to wait on. ok is false
// when d is not the receiver any more.
func (g *generation) frame(d *delivery) (note *tokensNote, wait <-chan struct{}, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.holder != d {
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
		n.End = g.end
	}
	return n, nil, true
}
