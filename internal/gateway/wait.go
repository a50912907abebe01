package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/placement"
)

// roomPollInterval is the interval between two attempts to admit a waiting generation: a service with some
// hundred streams of a few seconds frees memory every few tens of milliseconds.
const roomPollInterval = 40 * time.Millisecond

// admitOrWait chooses the engine for a new generation. One that finds only the memory kept for more urgent
// ones waits for a part of its objective, behind those of its rank that wait already. Nothing waits for
// memory that all streams together need, since a burst lasts longer than a caller can wait.
func (s *stream) admitOrWait(ctx context.Context, gen *placement.Generation) (fleet.Upstream, error) {
	g, rank := s.g, s.rq.rank()
	line := g.line(s.rq.service.Name)
	deadline := s.rq.readAt.Add(placement.MaxWait(s.rq.route.Objective))
	at, err := fleet.Upstream{}, placement.ErrHeadroom
	if !s.leavesHeadroom(gen) || !line.Ahead(rank) {
		at, err = s.admit(ctx, nil)
	}
	if !errors.Is(err, placement.ErrHeadroom) || !g.now().Before(deadline) {
		return at, err
	}
	place := line.Join(rank, s.rq.readAt)
	defer line.Leave(place)
	for errors.Is(err, placement.ErrHeadroom) && ctx.Err() == nil && g.now().Before(deadline) {
		select {
		case <-ctx.Done():
			return at, err
		case <-time.After(roomPollInterval):
		}
		if line.First(place) {
			at, err = s.admit(ctx, nil)
		}
	}
	return at, err
}

// leavesHeadroom reports whether the generation has to leave memory free for more urgent ones.
func (s *stream) leavesHeadroom(gen *placement.Generation) bool {
	return !s.begun() && s.g.headroom(s.rq.service.Name, gen, s.g.now()).Tokens() > 0
}

// rank returns the urgency of the request among those of its service.
func (rq *request) rank() placement.Rank {
	return placement.Rank{Account: rq.accountPriority, Route: rq.route.Priority}
}

// line returns the generations of a service that wait for room.
func (g *Gateway) line(service string) *placement.Line {
	return forService(&g.mu, g.lines, service)
}
