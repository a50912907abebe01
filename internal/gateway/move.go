package gateway

import (
	"context"
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
	// moveTargets bounds the target engines that are tried for one generation. An engine
	// without room refuses within about 10 ms, and a leaving engine has 1.5 s.
	moveTargets = 6
	// copyTimeout bounds one copy command. Engines stop at most a few seconds after the
	// notice that they leave, so a longer copy completes too late.
	copyTimeout = 4 * time.Second
	// copyRetryInterval is the wait before a copy command is repeated because the engine was
	// still executing another one.
	copyRetryInterval = 30 * time.Millisecond
	// typicalCopyTime approximates the time from a copy command until the copy is complete,
	// including the wait behind copies of other streams. Of 188 commands on engines with
	// about six streams each, a quarter took less than 0.24 s and half less than 0.47 s. A
	// generation that ends sooner is not moved, because a copy that completes too late
	// occupies memory of its target for nothing.
	typicalCopyTime = 400 * time.Millisecond
	// maxCommandAnswer bounds in bytes an engine's answer to a command or a state query.
	maxCommandAnswer = 64 << 10
)

// register adds a stream to those that Evacuate moves from an engine. The value false
// marks it as not yet tried.
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

// onFirstEvent is called at the first event of a stream. If its engine is already leaving,
// onFirstEvent starts an evacuation, since earlier ones skipped a stream without events.
func (g *Gateway) onFirstEvent(s *stream) {
	if u, ok := g.fleet.Get(s.at.ID); ok && u.State() == fleet.Leaving {
		g.Evacuate(u.ID)
	}
}

// Evacuate moves the generations of this entry that run at an engine to other engines. An
// engine executes one copy at a time, so this entry sends it one copy command at a time.
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

// nextToMove returns the stream at an engine with the most events among those that are
// movable and not yet tried, and marks it as tried. If there is none, it ends the
// evacuation and returns nil. The longest stream goes first because it has the most output
// to lose and, the longer it has run, the longer it is expected to go on.
func (g *Gateway) nextToMove(upstream string) *stream {
	g.mu.Lock()
	defer g.mu.Unlock()
	var next *stream
	for s, tried := range g.streams[upstream] {
		if !tried && s.movable() && (next == nil || s.eventCount() > next.eventCount()) {
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

// movable reports whether the generation has produced an event, its engine supports
// moves, and it is not certain to end before a copy would be complete.
func (s *stream) movable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events > 0 && s.rq.service.Engine.Moves && !s.endsWithin(typicalCopyTime)
}

// moving reports whether the generation is about to be stopped for a move, or was stopped and has not resumed.
func (s *stream) moving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover != nil
}

// endsWithin reports whether the generation is certain to end within d, given the maximum
// output that the caller allows. s.mu must be held.
func (s *stream) endsWithin(d time.Duration) bool {
	maxTokens := s.rq.call.MaxOutput
	if maxTokens <= 0 {
		return false
	}
	eventTokens := s.rq.service.Engine.EventTokens
	return s.g.eventInterval.remaining(maxTokens-s.events*eventTokens, eventTokens) < d
}

// eventCount returns the number of events that the caller has received.
func (s *stream) eventCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.events
}

// move copies the memory of a running generation to another engine and then stops the
// generation. When its answer breaks off, the relay resumes the generation from the copy.
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
		tryNext := g.moveTo(s, from, target, "its engine leaves")
		if !tryNext {
			return
		}
	}
	g.moveRoom.Record(false, g.now())
	g.moveFailed(s, from, "no engine had room")
}

func (g *Gateway) moveFailed(s *stream, from fleet.Upstream, why string) {
	g.met.moved("failed")
	g.rec.Note(events.StreamMoveFailed, s.rq.call.ID, "from", from.ID, "why", why)
}

// remainingDemand returns what the generation requires of a target engine: room for the tokens that
// it holds now and for the output that is still expected.
func (s *stream) remainingDemand() *placement.Generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, engine := s.heldTokens(), s.rq.service.Engine
	return &placement.Generation{Engine: engine, Prompt: held, Output: max(s.expectedTokens()-held, s.events*engine.EventTokens/2, engine.EventTokens), MaxPause: s.rq.route.MaxPause, Copied: true, Repeatable: true}
}

// moveTo moves a generation to one engine. It returns true if another target should be
// tried.
func (g *Gateway) moveTo(s *stream, from, target fleet.Upstream, why string) (tryNext bool) {
	s.mu.Lock()
	load := gossip.Load{Running: 1, Tokens: s.expectedTokens(), Held: s.heldTokens()}
	s.mu.Unlock()
	claim := g.loads.add(target.ID, load)
	defer claim.release()
	g.rec.Note(events.StreamMoveStarted, s.rq.call.ID, "from", from.ID, "to", target.ID, "why", why, "from-software", from.Software, "to-software", target.Software, "events", s.eventCount(), "need", s.expectedTokens())
	r := g.sendCopyCommand(s, from, target, false)
	switch r.Outcome {
	case protocol.Copied:
		if !g.incarnationKnown(target.ID) {
			g.rec.Note(events.StreamMoveFailed, s.rq.call.ID, "from", from.ID, "to", target.ID, "why", "the target started again")
			return true
		}
		g.moveRoom.Record(true, g.now())
	case protocol.NoRoom:
		g.fleet.RecordOutcome(target.ID, fleet.Busy)
		return true
	case protocol.NoSuchGeneration:
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
		g.stopGeneration(s, done, from, target)
	}()
	return false
}

// stopGeneration stops a generation whose first copy is complete, with a second copy command that
// includes the tokens since then. The relay resumes from the first copy without waiting for
// the second, which queues behind copies for other entries: the target can recompute the few
// missing tokens at once. The second copy serves if the target refuses the first.
func (g *Gateway) stopGeneration(s *stream, done chan struct{}, from, target fleet.Upstream) {
	r := g.sendCopyCommand(s, from, target, true)
	switch r.Outcome {
	case protocol.Copied:
		g.met.moved("moved")
		s.recordFinalCopy(done, from, r.Handle, target)
	case protocol.NoRoom:
		// The engine has stopped the generation and still holds its memory.
		g.met.moved("no room for the rest")
		s.recordFinalCopy(done, from, r.Handle, from)
	case protocol.NoSuchGeneration:
		g.met.moved("ended")
		s.mu.Lock()
		s.endedBeforeStop = true
		s.mu.Unlock()
	default:
		g.moveFailed(s, from, "the generation could not be stopped")
	}
}

// prepareStop records the first copy of the generation and that the generation is about to
// be stopped. It returns false if the request has ended, the generation runs at another
// engine, or a stop is already in progress. done is to be closed when the stop has ended.
func (s *stream) prepareStop(from fleet.Upstream, handle string, target fleet.Upstream) (done chan struct{}, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended || s.at.ID != from.ID || s.handover != nil {
		return nil, false
	}
	s.handover, s.endedBeforeStop = make(chan struct{}), false
	s.copies = []heldCopy{{copy: protocol.Copy{Source: from.Address, Handle: handle}, at: target}}
	return s.handover, true
}

// recordFinalCopy records the copy that was made when the generation was stopped and that holds all
// of its memory; an empty handle means that there is none. The relay uses this copy if it
// cannot resume from the first one. If the relay has already resumed, the copy is released.
func (s *stream) recordFinalCopy(done chan struct{}, from fleet.Upstream, handle string, at fleet.Upstream) {
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

// releaseTimeout bounds the command to release a copy. Without the command, the engine drops
// the copy after a few seconds.
const releaseTimeout = time.Second

// release commands an engine to drop a copy that will not be used, which occupies memory and a
// slot there. If the engine's incarnation has ended, the copy is lost and nothing is sent: the
// next incarnation may hold another copy under the same handle.
func (g *Gateway) release(callID string, held heldCopy) {
	if !g.incarnationKnown(held.at.ID) {
		return
	}
	g.met.moved("released")
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		defer cancel()
		a, err := g.exchange(ctx, held.at, g.proto.Release(held.copy.Handle))
		if err != nil {
			g.rec.Note(events.CopyNotReleased, callID, "at", held.at.ID, "error", err)
			return
		}
		defer a.Close()
		if _, err := a.ReadAll(maxCommandAnswer); err != nil {
			g.rec.Note(events.CopyNotReleased, callID, "at", held.at.ID, "error", err)
		}
	}()
}

// incarnationKnown reports whether an incarnation of an upstream (one run of its process, from one
// start to the next) is not known to have ended. All that an ended incarnation ran and held is
// lost, and the next one may have its address.
func (g *Gateway) incarnationKnown(upstream string) bool {
	_, ok := g.fleet.Get(upstream)
	return ok
}

// sendCopyCommand sends a copy command and waits for its result, even if the request ends
// meanwhile: only the answer names the copy, and a copy that cannot be released occupies
// memory of its target for about 7 s. When a sixth of the engines leave every 3.3 s, such
// copies occupy 0.36 to 0.56 million token-seconds of an engine pool of 21 million. With stop
// set, the command also stops the generation.
func (g *Gateway) sendCopyCommand(s *stream, from, target fleet.Upstream, stop bool) protocol.CopyResult {
	// The generation ends with its request.
	return g.repeatCopyCommand(s.rq.call.ID, from, target, stop, func() bool { return s.rq.caller.Err() != nil })
}

// repeatCopyCommand sends a copy command, again while the engine executes another one and the generation has not ended.
func (g *Gateway) repeatCopyCommand(callID string, from, target fleet.Upstream, stop bool, ended func() bool) protocol.CopyResult {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	for {
		if !g.incarnationKnown(from.ID) {
			// The generation was lost with its engine's incarnation. The next incarnation
			// may run it again and must not get a command to stop it.
			return protocol.CopyResult{Outcome: protocol.NoSuchGeneration}
		}
		r, err := g.sendCommand(ctx, from, g.proto.Copy(callID, target.Address, stop))
		if ended() && (err != nil || r.Outcome != protocol.Copied) {
			return protocol.CopyResult{Outcome: protocol.NoSuchGeneration}
		}
		if err != nil {
			g.rec.Note(events.StreamMoveFailed, callID, "from", from.ID, "to", target.ID, "last", stop, "error", err)
			return protocol.CopyResult{Outcome: protocol.CopyFailed}
		}
		if r.Outcome != protocol.CopyInProgress {
			return r
		}
		select {
		case <-ctx.Done():
			return r
		case <-time.After(copyRetryInterval):
		}
	}
}

func (g *Gateway) sendCommand(ctx context.Context, at fleet.Upstream, req link.Request) (protocol.CopyResult, error) {
	a, err := g.exchange(ctx, at, req)
	if err != nil {
		return protocol.CopyResult{}, err
	}
	defer a.Close()
	body, err := a.ReadAll(maxCommandAnswer)
	if err != nil {
		return protocol.CopyResult{}, err
	}
	return g.proto.CopyResult(a.Status, body), nil
}

// StreamingEngines returns the engines that run streams of this entry, sorted.
func (g *Gateway) StreamingEngines() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make([]string, 0, len(g.streams))
	for id := range g.streams {
		out = append(out, id)
	}
	slices.Sort(out)
	return out
}
