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
	g, r := s.g, newEventReader(answer)
	first := true
	for {
		b, err := r.next()
		if err != nil {
			return s.broke(ctx, st, answer, b, err)
		}
		id, n := lastEventID(b)
		if first {
			started()
			s.firstEvent(st, answer, sent)
			if st.from == nil {
				g.reading.note(g.now().Sub(sent), s.toRead)
			}
			first = false
			if answer.Closing() {
				go g.inquire(ctx, st.at, "it closes its connection")
			}
		}
		if err := s.pass(b); err != nil {
			g.gone(s.rq, "getting events", err)
			panic(http.ErrAbortHandler)
		}
		s.advance(id, n)
		s.notePause()
		if s.firstIn > 0 && s.lastAt.Sub(s.rq.start) > s.firstIn+trialLasts {
			s.rq.run.Steady()
		}
	}
}

// pass writes complete events to the caller.
func (s *stream) pass(b []byte) error {
	if _, err := s.rq.w.Write(b); err != nil {
		return err
	}
	return s.flush()
}

// notePause records the longest pause between events.
func (s *stream) notePause() {
	now := s.g.now()
	if !s.lastAt.IsZero() && now.Sub(s.lastAt) > s.pausedFor {
		s.pausedFor, s.pausedAt = now.Sub(s.lastAt), s.events
	}
	s.lastAt = now
}

// firstEvent records the first event of an attempt. If it is also the first one of the stream,
// firstEvent sends the head of the answer to the caller.
func (s *stream) firstEvent(st step, answer *link.Answer, sent time.Time) {
	g, now := s.g, s.g.now()
	g.fleet.Note(st.at.ID, fleet.Served)
	if st.from != nil {
		s.mu.Lock()
		s.handover, s.copies = nil, nil
		s.mu.Unlock()
		g.met.paused(now.Sub(sent))
		g.rec.Note(events.StreamMoved, s.rq.call.ID, "to", st.at.ID, "after-event", s.lastEvent, "gap", now.Sub(sent))
	}
	if s.began {
		return
	}
	s.began = true
	g.proto.PassHeader(answer.Header, s.rq.w.Header())
	s.rq.w.WriteHeader(answer.Status)
	s.firstIn = now.Sub(s.rq.start)
	g.met.began(s.firstIn)
}

// broke handles the end of an attempt's answer, which is complete or has broken off.
func (s *stream) broke(ctx context.Context, st step, answer *link.Answer, rest []byte, err error) outcome {
	if errors.Is(err, io.EOF) && answer.Framed && len(rest) == 0 && s.began {
		now := s.g.now()
		s.rq.run.Served()
		s.g.met.ended("stream")
		s.g.pace.note(s.firstIn, now.Sub(s.rq.start), s.events)
		s.g.rec.Note(events.RequestEnded, s.rq.call.ID, "status", answer.Status, "upstream", st.at.ID, "tries", s.rq.tries, "took", now.Sub(s.rq.start), "events", s.events,
			"first-in", s.firstIn, "longest-pause", s.pausedFor, "pause-at", s.pausedAt)
		return streamWhole
	}
	s.mu.Lock()
	moving := s.handover != nil
	s.mu.Unlock()
	if !moving {
		if ctx.Err() == nil {
			s.g.fleet.Note(st.at.ID, fleet.Broken)
			s.g.broke(s.rq, st.at, err)
		}
		s.g.rec.Note(events.AnswerRejected, s.rq.call.ID, "upstream", st.at.ID, "error", err, "after-event", s.lastEvent, "events", s.events, "framed", answer.Framed, "rest", strconv.Itoa(len(rest)))
	}
	return streamBroken
}
