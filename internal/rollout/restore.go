package rollout

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/platform"
)

// latestHead reads the head. A table that was restored from an older copy is given back what is in force
// here first: its versions would be given out again, to other changes.
func (c *Coordinator) latestHead(ctx context.Context) (head, int64, error) {
	h, revision, err := c.readHead(ctx)
	if err != nil || !c.store.ahead(h) {
		return h, revision, err
	}
	if err := c.restoreHead(ctx, h, revision); err != nil {
		return head{}, 0, err
	}
	return c.readHead(ctx)
}

// restoreHead writes what is in force here in the place of an older head, which is at a revision. That
// another process was quicker is no error.
func (c *Coordinator) restoreHead(ctx context.Context, older head, revision int64) error {
	own, cfg := c.store.inForce()
	if err := c.restoreContent(ctx, cfg); err != nil {
		return fmt.Errorf("content of version %d: %w", own.Version, err)
	}
	writes, err := c.writesOf(ctx, own, revision)
	if err != nil {
		return err
	}
	err = c.table.Commit(ctx, writes...)
	switch {
	case errors.Is(err, platform.ErrConflict):
		return nil
	case err != nil:
		c.rec.Note(events.PlatformFailed, own.Change, "error", err)
		return err
	}
	c.rec.Note(events.ConfigRestored, own.Change, "version", own.Version, "table", older.Version)
	return nil
}

// restoreContent stores a canonical form that the object store does not have.
func (c *Coordinator) restoreContent(ctx context.Context, cfg *config.Config) error {
	_, err := c.objects.Get(ctx, cfg.Hash())
	if errors.Is(err, platform.ErrNotFound) {
		return c.putObject(ctx, cfg.Hash(), cfg.Canonical())
	}
	return err
}

// writesOf returns the writes of a committed head over the one at a revision: its row, and the row of its
// change unless that is there.
func (c *Coordinator) writesOf(ctx context.Context, h head, revision int64) ([]platform.Write, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, fmt.Errorf("head row: %w", err)
	}
	writes := []platform.Write{{Row: platform.Row{Key: headKey, Revision: revision + 1, Value: value}}}
	change := platform.Key{Group: changeGroup, Name: h.Change}
	_, err = c.table.Get(ctx, change)
	if !errors.Is(err, platform.ErrNotFound) {
		return writes, err
	}
	if value, err = json.Marshal(changeRow{Version: h.Version, By: h.By, At: c.now().UnixMilli()}); err != nil {
		return nil, fmt.Errorf("change row: %w", err)
	}
	return append(writes, platform.Write{Row: platform.Row{Key: change, Revision: 1, Value: value}}), nil
}
