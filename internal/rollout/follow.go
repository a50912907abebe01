package rollout

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/platform"
)

// Refresh reads the head and puts its version into force if it is higher than the one in force here.
func (c *Coordinator) Refresh(ctx context.Context) error {
	h, _, err := c.latestHead(ctx)
	if err != nil {
		return err
	}
	if h.Version == 0 || config.MarkOf(h.Version, h.Accepted) <= c.store.Mark() {
		return nil
	}
	if c.store.activateStaged(h) {
		return nil
	}
	canonical, err := c.objects.Get(ctx, h.Hash)
	if err != nil {
		return fmt.Errorf("content of version %d: %w", h.Version, err)
	}
	return c.store.activateCanonical(h, canonical)
}

// Follow polls the head until ctx ends and confirms changes whose coordinator crashed after the commit. The
// period has a random jitter so that processes do not read at the same time.
func (c *Coordinator) Follow(ctx context.Context, period time.Duration) {
	for {
		if c.Refresh(ctx) == nil {
			c.confirmPending(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(period/2 + rand.N(period)):
		}
	}
}

// confirmPending confirms the head in force here if no process has confirmed it yet.
func (c *Coordinator) confirmPending(ctx context.Context) {
	c.store.mu.Lock()
	h := c.store.head
	c.store.mu.Unlock()
	if h.Version > 0 && !h.Accepted {
		c.confirm(ctx, h)
	}
}

// sourceSuffix is appended to the name of the canonical form's object. The resulting object holds the
// configuration as the operator wrote it.
const sourceSuffix = ".source"

// Source returns a configuration as its operator wrote it. If the object store does not return that text,
// Source returns the canonical form.
func (c *Coordinator) Source(ctx context.Context, cfg *config.Config) []byte {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if b, err := c.objects.Get(ctx, cfg.Hash()+sourceSuffix); err == nil {
		return b
	}
	return cfg.Canonical()
}

// Status returns the state of a change according to the table.
func (c *Coordinator) Status(ctx context.Context, id string) (Outcome, error) {
	h, _, err := c.readHead(ctx)
	if err != nil {
		return Outcome{}, err
	}
	if h.Change == id && h.Accepted {
		return Outcome{state: Accepted, version: h.Version}, nil
	}
	if h.Change == id {
		return Outcome{state: Committed, version: h.Version}, nil
	}
	_, err = c.table.Get(ctx, platform.Key{Group: changeGroup, Name: id})
	if errors.Is(err, platform.ErrNotFound) {
		return Outcome{state: InDoubt, version: h.Version, reasons: []string{"not committed so far"}}, nil
	}
	if err != nil {
		return Outcome{}, err
	}
	return Outcome{state: Committed, version: h.Version, reasons: []string{"a later version replaced it"}}, nil
}
