package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/link"
)

// relay passes events on to the caller as they arrive, until the answer ends. It calls started
// at the first event.
func (s *stream) relay(ctx context.Context, st step, answer *link.Answer, sent time.Time, started func()) outcome {
	g, r := s.g, s.newReadAhead(ctx, st, answer, answer)
	defer r.close()
	first := true
	silence := silenceTimer{stream: s, at: st.at}
	defer silence.stop()
	for {
		b, err := r.next()
		silence.stop()
		if err != nil {
			return s.answerEnded(ctx, st, answer, b, err)
		}
		id, n := lastEventID(b)
		if first {
			if !s.headSent && s.cutByStop(st.at) {
				started()
				g.refuseSend(s.rq, errStopsFirst)
				return streamFailed
			}
			if !s.headSent && !s.rq.beginAnswer() {
				return streamBroken
			}
			started()
			s.attemptBegan(ctx, st, answer, sent)
			first = false
		}
		arrived := g.now()
		s.heardAt.Store(arrived.UnixNano())
		r.beginWrite()
		err = s.writeEvents(b)
		r.endWrite()
		if err != nil {
			s.abortWrite(err)
		}
		s.advance(id, n)
		s.recordPause()
		s.measurePace(st.at, n, arrived)
		silence.start()
		if s.timeToFirstEvent > 0 && s.lastAt.Sub(s.rq.start) > s.timeToFirstEvent+suspectBlockTime {
			s.rq.run.EndTrial()
		}
	}
}

// abortWrite ends a request after a write to its caller failed. At the end of a planned stop the gateway itself closes
// the connections of callers that do not read.
func (s *stream) abortWrite(err error) {
	if s.g.stopping.Err() != nil {
		s.g.met.ended("cut")
		s.noteCut(errStopped.Error())
	} else {
		s.g.callerDisconnected(s.rq, "getting events", err)
	}
	panic(http.ErrAbortHandler)
}

// attemptBegan handles the first event of an attempt.
func (s *stream) attemptBegan(ctx context.Context, st step, answer *link.Answer, sent time.Time) {
	s.recordFirstEvent(ctx, st, answer, sent)
	if st.from == nil {
		s.noteStart(st.at, s.g.now().Sub(sent))
	}
	s.segment = segmentMeter{}
	if answer.Closing() {
		go s.g.queryIfDue(ctx, st.at, "it closes its connection")
	}
}

// writeEvents writes complete events to the caller.
func (s *stream) writeEvents(b []byte) error {
	for s.rq.memory != nil && len(b) > pieceSize {
		if _, err := s.rq.w.Write(b[:pieceSize]); err != nil {
			return err
		}
		b = b[pieceSize:]
		s.rq.memory.NoteRead(s.g.now())
	}
	if _, err := s.rq.w.Write(b); err != nil {
		return err
	}
	return s.flush()
}

// recordPause updates the longest pause between two events.
func (s *stream) recordPause() {
	now := s.g.now()
	if !s.lastAt.IsZero() && now.Sub(s.lastAt) > s.longestPause {
		s.longestPause, s.longestPauseAt = now.Sub(s.lastAt), s.events
	}
	s.lastAt = now
}

// recordFirstEvent records the first event of an attempt. If that is the first event of the stream,
// recordFirstEvent also sends the head of the answer to the caller.
func (s *stream) recordFirstEvent(ctx context.Context, st step, answer *link.Answer, sent time.Time) {
	g, now := s.g, s.g.now()
	g.fleet.RecordOutcome(st.at.ID, fleet.Served)
	if st.from != nil {
		s.mu.Lock()
		s.handover, s.copies = nil, nil
		s.mu.Unlock()
		g.met.observeMoveGap(now.Sub(sent))
		g.rec.Note(events.StreamMoved, s.rq.call.ID, "to", st.at.ID, "after-event", s.lastEvent, "gap", now.Sub(sent))
	}
	if s.headSent {
		return
	}
	s.headSent = true
	s.begin(ctx, st.at)
	g.proto.CopyHeaders(answer.Header, s.rq.w.Header())
	s.g.closeIfStopping(s.rq)
	s.rq.w.WriteHeader(answer.Status)
	s.timeToFirstEvent = now.Sub(s.rq.start)
	g.met.observeFirstEvent(s.timeToFirstEvent)
}

// proveEnd returns how it is known that an answer is complete whose connection has ended after a whole event. An
// engine that stops a generation for a move closes the connection as well.
func (s *stream) proveEnd(ctx context.Context, st step, answer *link.Answer) endProof {
	if s.endProof != nil {
		return *s.endProof
	}
	if !answer.Framed {
		s.awaitHandover(ctx)
		s.mu.Lock()
		stopped := s.handover != nil && !s.endedBeforeStop
		s.mu.Unlock()
		if stopped {
			return unproven
		}
	}
	return s.g.proveEnd(ctx, s.rq.service, st.at, answer)
}

// answerEnded handles the end of an attempt's answer, which is complete or has broken off.
func (s *stream) answerEnded(ctx context.Context, st step, answer *link.Answer, rest []byte, err error) outcome {
	proof := unproven
	if errors.Is(err, io.EOF) && len(rest) == 0 {
		if proof = s.proveEnd(ctx, st, answer); proof == unproven {
			err = errEndUnproven
		}
	}
	whole := proof != unproven
	// A caller that had the last event, but not the end of the answer, resumes a stream without a rest.
	if whole && !s.headSent && s.rq.call.LastEvent != "" && s.rq.beginAnswer() {
		s.recordFirstEvent(ctx, st, answer, s.g.now())
	}
	if whole && s.headSent {
		now := s.g.now()
		s.rq.run.Served()
		s.g.met.ended("stream")
		s.noteDuration()
		s.g.eventInterval.note(s.timeToFirstEvent, now.Sub(s.rq.start), s.events)
		s.rq.note(s.g.rec)(events.RequestEnded, s.rq.call.ID, "status", answer.Status, "upstream", st.at.ID, "tries", s.rq.attempts, "took", now.Sub(s.rq.start), "events", s.events,
			"first-in", s.timeToFirstEvent, "longest-pause", s.longestPause, "pause-at", s.longestPauseAt, "framed", answer.Framed, "end-proved-by", proof)
		return streamComplete
	}
	if !s.moving() {
		if upstreamFailed(ctx) && !errors.Is(err, errMemory) {
			s.g.fleet.RecordOutcome(st.at.ID, fleet.Broken)
			s.g.recordBrokenAnswer(s.rq, st.at, err)
		}
		s.g.rec.Note(events.AnswerRejected, s.rq.call.ID, "upstream", st.at.ID, "error", err, "after-event", s.lastEvent, "events", s.events, "framed", answer.Framed, "rest", strconv.Itoa(len(rest)))
	}
	return streamBroken
}
