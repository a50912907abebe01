package gateway

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
)

const (
	// moveTargets bounds the engines that are tried for one generation. One without
	// room refuses within some 10 ms, of the 1.5 s that an engine has to leave.
	moveTargets = 6
	// copyWithin bounds one order to copy; engines are given up to a few seconds
	// of notice, so a longer copy comes too late.
	copyWithin = 4 * time.Second
	// orderPause is the wait before an order is repeated that found another one
	// under way.
	orderPause = 30 * time.Millisecond
	// copyTakes is about the time from the order until a copy is complete, behind those
	// of other streams: a quarter of 188 orders on engines with some six streams each took
	// less than 0.24 s, half less than 0.47 s. What ends sooner is not worth an order, and a
	// copy that comes too late takes memory of its target for nobody.
	copyTakes = 400 * time.Millisecond
	// maxOrderAnswer bounds in bytes the answer to an order.
	maxOrderAnswer = 64 << 10
)

// register makes a stream known at an engine, for moves.
func (g *Gateway) register(s *stream, upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.streams[upstream] == nil {
		g.streams[upstream] = map[*stream]bool{}
	}
	g.streams[upstream][s] = false
}

func (g *Gateway) unregister(s *stream, upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.streams[upstream], s)
	if len(g.streams[upstream]) == 0 {
		delete(g.streams, upstream)
	}
}

// startedAt is called when a stream's first event came: if its engine leaves
// already, it has to be moved.
func (g *Gateway) startedAt(s *stream) {
	if u, ok := g.fleet.Get(s.at.ID); ok && u.State() == fleet.Leaving {
		g.Evacuate(u.ID)
	}
}

// Evacuate moves the generations that run at an engine to others. Engines copy
// one memory after another, so this entry orders one copy at a time from each.
func (g *Gateway) Evacuate(upstream string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.moving[upstream] || len(g.streams[upstream]) == 0 {
		return
	}
	g.moving[upstream] = true
	go g.evacuate(upstream)
}

func (g *Gateway) evacuate(upstream string) {
	for {
		s := g.nextToMove(upstream)
		if s == nil {
			return
		}
		g.move(s)
	}
}

// nextToMove returns the stream at an engine that has made most, and marks it;
// nil ends the evacuation. What a stream has made is lost with it, and the longer
// one runs, the longer it can be expected to become.
func (g *Gateway) nextToMove(upstream string) *stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *stream
	for s, tried := range g.streams[upstream] {
		if !tried && s.movable() && (next == nil || s.made() > next.made()) {
			next = s
		}
	}
	if next == nil {
		delete(g.moving, upstream)
		return nil
	}
	g.streams[upstream][next] = true
	return next
}

// movable reports whether the generation has begun, its engine can move it, and it is
// not sure to end before a copy would be complete.
func (s *stream) movable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events > 0 && s.rq.service.Engine.Moves && !s.endsWithin(copyTakes)
}

// endsWithin reports whether the generation is sure to end within a time, by the most
// output that the caller allows. It needs the lock of s.
func (s *stream) endsWithin(d time.Duration) bool {
	most := s.rq.call.MaxOutput
	if most <= 0 {
		return false
	}
	each := s.rq.service.Engine.EventTokens
	return s.g.pace.rest(most-s.events*each, each) < d
}

// made is the number of events that the caller has.
func (s *stream) made() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// move copies a generation's memory to another engine while it runs, then stops
// it. The relay goes on at the copy when the answer breaks off.
func (g *Gateway) move(s *stream) {
	s.mu.Lock()
	from := s.at
	s.mu.Unlock()
	exclude := map[string]bool{from.ID: true}
	for range moveTargets {
		target, ok := g.chooseTarget(s, from, exclude)
		if !ok {
			g.moveFailed(s, from, "no engine can take it")
			return
		}
		exclude[target.ID] = true
		again := g.moveTo(s, from, target)
		if !again {
			return
		}
	}
	g.moveRoom.Note(false, g.now())
	g.moveFailed(s, from, "no engine had room")
}

func (g *Gateway) moveFailed(s *stream, from fleet.Upstream, why string) {
	g.met.moved("failed")
	g.rec.Note(events.StreamMoveFailed, s.rq.call.ID, "from", from.ID, "why", why)
}

// rest is what the generation asks of an engine that takes it over: what it holds
// and the output that is still expected.
func (s *stream) rest() *placement.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, engine := s.held(), s.rq.service.Engine
	return &placement.Generation{Engine: engine, Prompt: held, Output: max(s.need()-held, engine.EventTokens), Repeats: true}
}

// moveTo moves a generation to one engine; again asks for another target.
func (g *Gateway) moveTo(s *stream, from, target fleet.Upstream) (again bool) {
	s.mu.Lock()
	load := gossip.Load{Running: 1, Tokens: s.need(), Held: s.held()}
	s.mu.Unlock()
	claim := g.ledger.take(target.ID, load)
	defer claim.release()
	g.rec.Note(events.StreamMoveStarted, s.rq.call.ID, "from", from.ID, "to", target.ID, "events", s.made(), "need", s.need())
	r := g.orderCopy(s, from, target, false)
	switch r.Outcome {
	case protocol.Copied:
		if !g.there(target.ID) {
			g.rec.Note(events.StreamMoveFailed, s.rq.call.ID, "from", from.ID, "to", target.ID, "why", "the target started again")
			return true
		}
		g.moveRoom.Note(true, g.now())
	case protocol.NoRoom:
		g.fleet.Note(target.ID, fleet.Busy)
		return true
	case protocol.NoSuchRun:
		g.met.moved("ended")
		return false
	default:
		g.moveFailed(s, from, "the first copy failed")
		return false
	}
	done, ok := s.prepareStop(from, r.Handle, target)
	if !ok {
		g.met.moved("ended")
		g.release(s.rq.call.ID, heldCopy{copy: protocol.Copy{Source: from.Address, Handle: r.Handle}, at: target})
		return false
	}
	go func() {
		defer close(done)
		g.stopRun(s, done, from, target)
	}()
	return false
}

// stopRun stops a generation of which a first copy is complete. The relay does
// not wait for the rest to be copied: that waits behind the copies that other
// entries ordered, while the target reads the few missing tokens anew at once.
// The second copy is there in case the first one is refused.
func (g *Gateway) stopRun(s *stream, done chan struct{}, from, target fleet.Upstream) {
	r := g.orderCopy(s, from, target, true)
	switch r.Outcome {
	case protocol.Copied:
		g.met.moved("moved")
		s.stopped(done, from, r.Handle, target)
	case protocol.NoRoom:
		// The engine has stopped the generation and keeps its memory.
		g.met.moved("no room for the rest")
		s.stopped(done, from, r.Handle, from)
	case protocol.NoSuchRun:
		g.met.moved("ended")
	default:
		g.moveFailed(s, from, "the generation could not be stopped")
	}
}

// prepareStop notes that the generation is about to be stopped and where its
// first copy is. It fails when the relay has moved on meanwhile.
func (s *stream) prepareStop(from fleet.Upstream, handle string, target fleet.Upstream) (done chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.at.ID != from.ID || s.handover != nil {
		return nil, false
	}
	s.handover = make(chan struct{})
	s.copies = []heldCopy{{copy: protocol.Copy{Source: from.Address, Handle: handle}, at: target}}
	return s.handover, true
}

// stopped notes how stopping the generation ended. A handle names the copy that
// holds everything; it serves if the relay cannot go on from the first, and is given up
// if it has.
func (s *stream) stopped(done chan struct{}, from fleet.Upstream, handle string, at fleet.Upstream) {
	if handle == "" {
		return
	}
	held := heldCopy{copy: protocol.Copy{Source: from.Address, Handle: handle}, at: at}
	s.mu.Lock()
	keep := !s.ended && s.handover == done
	if keep {
		s.copies = append(s.copies, held)
	}
	s.mu.Unlock()
	if !keep {
		s.g.release(s.rq.call.ID, held)
	}
}

// releaseWithin bounds the order to release a copy; an engine drops it by itself a
// few seconds later.
const releaseWithin = time.Second

// release gives up a copy that nobody will use: until then it takes memory and a
// slot of its engine. One that went with its engine's start is left alone: the next start
// may hold another copy under that name.
func (g *Gateway) release(call string, held heldCopy) {
	if !g.there(held.at.ID) {
		return
	}
	g.met.moved("released")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseWithin)
		defer cancel()
		a, err := g.exchange(ctx, held.at, g.proto.Release(held.copy.Handle))
		if err != nil {
			g.rec.Note(events.CopyNotReleased, call, "at", held.at.ID, "error", err)
			return
		}
		defer a.Close()
		if _, err := io.Copy(io.Discard, io.LimitReader(a, maxOrderAnswer)); err != nil {
			g.rec.Note(events.CopyNotReleased, call, "at", held.at.ID, "error", err)
		}
	}()
}

// there reports whether a start of an engine is not known to have ended. What an earlier
// start ran and held is gone, and the next one may have its address.
func (g *Gateway) there(upstream string) bool {
	_, ok := g.fleet.Get(upstream)
	return ok
}

// orderCopy orders one copy and waits for it, also when the request ends meanwhile: only
// the answer names the copy, and one that cannot be released takes memory of its target
// for some 7 s. On a day on which a sixth of the engines leave every 3.3 s, such copies
// held 0.36 to 0.56 million tokens x seconds of an engine pool of 21 million.
func (g *Gateway) orderCopy(s *stream, from, target fleet.Upstream, last bool) protocol.CopyResult {
	ctx, cancel := context.WithTimeout(context.Background(), copyWithin)
	defer cancel()
	for {
		if !g.there(from.ID) {
			// The generation is lost with its engine's start. The next start may run it
			// anew, and must not be told to stop it.
			return protocol.CopyResult{Outcome: protocol.NoSuchRun}
		}
		r, err := g.order(ctx, from, g.proto.Copy(s.rq.call.ID, target.Address, last))
		if s.rq.caller.Err() != nil && (err != nil || r.Outcome != protocol.Copied) {
			// The request is over; so is the generation.
			return protocol.CopyResult{Outcome: protocol.NoSuchRun}
		}
		if err != nil {
			g.rec.Note(events.StreamMoveFailed, s.rq.call.ID, "from", from.ID, "to", target.ID, "last", last, "error", err)
			return protocol.CopyResult{Outcome: protocol.CopyFailed}
		}
		if r.Outcome != protocol.CopyUnderWay {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(orderPause):
		}
	}
}

var errOrderAnswer = errors.New("answer to an order is too long")

func (g *Gateway) order(ctx context.Context, at fleet.Upstream, req link.Request) (protocol.CopyResult, error) {
	a, err := g.exchange(ctx, at, req)
	if err != nil {
		return protocol.CopyResult{}, err
	}
	defer a.Close()
	body, err := io.ReadAll(io.LimitReader(a, maxOrderAnswer))
	if err != nil {
		return protocol.CopyResult{}, err
	}
	if len(body) == maxOrderAnswer {
		return protocol.CopyResult{}, errOrderAnswer
	}
	return g.proto.CopyResult(a.Status, body), nil
}

// Streams returns the engines at which streams of this entry run.
func (g *Gateway) Streams() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.streams))
	for id := range g.streams {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
