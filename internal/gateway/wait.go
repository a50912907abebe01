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
// ones waits for a part of its objective.
func (s *stream) admitOrWait(ctx context.Context) (fleet.Upstream, error) {
	at, err := s.admit(ctx, nil)
	deadline := s.rq.start.Add(placement.MaxWait(s.rq.route.Objective))
	for errors.Is(err, placement.ErrHeadroom) && ctx.Err() == nil && s.g.now().Before(deadline) {
		select {
		case <-ctx.Done():
		case <-time.After(roomPollInterval):
			at, err = s.admit(ctx, nil)
		}
	}
	return at, err
}
