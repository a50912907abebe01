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

// latestHead returns the head in the table. If the table was restored from an older copy, it first writes the
// head in force here back to the table, because later changes would otherwise get versions that are already
// in use.
func (c *Coordinator) latestHead(ctx context.Context) (head, platform.Row, error) {
	h, row, err := c.readHead(ctx)
	if err != nil || !c.store.aheadOf(h) {
		return h, row, err
	}
	if err := c.restoreHead(ctx, h, row); err != nil {
		return head{}, platform.Row{}, err
	}
	return c.readHead(ctx)
}

// restoreHead replaces an older head in the table by the one in force here; row is the record of the older
// head as it was read. A conflict is no error: another process has written the record first.
func (c *Coordinator) restoreHead(ctx context.Context, older head, row platform.Row) error {
	own, cfg := c.store.inForce()
	if err := c.restoreContent(ctx, cfg); err != nil {
		return fmt.Errorf("content of version %d: %w", own.Version, err)
	}
	writes, err := c.headWrites(ctx, own, row)
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

// restoreContent stores the canonical form of cfg if the object store lacks it.
func (c *Coordinator) restoreContent(ctx context.Context, cfg *config.Config) error {
	_, err := c.objects.Get(ctx, cfg.Hash())
	if errors.Is(err, platform.ErrNotFound) {
		return c.putObject(ctx, cfg.Hash(), cfg.Canonical())
	}
	return err
}

// headWrites returns the writes that replace the head record read before by h. They include the record of the
// change if the table lacks it.
func (c *Coordinator) headWrites(ctx context.Context, h head, before platform.Row) ([]platform.Write, error) {
	write, err := writeHead(h, before)
	if err != nil {
		return nil, err
	}
	writes := []platform.Write{write}
	change := platform.Key{Group: changeGroup, Name: h.Change}
	_, err = c.table.Get(ctx, change)
	if !errors.Is(err, platform.ErrNotFound) {
		return writes, err
	}
	value, err := json.Marshal(changeRow{Version: h.Version, By: h.By, At: c.now().UnixMilli()})
	if err != nil {
		return nil, fmt.Errorf("change row: %w", err)
	}
	return append(writes, platform.Write{Row: platform.Row{Key: change, Revision: 1, Value: value}}), nil
}
