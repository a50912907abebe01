package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is wrapped when the store no longer has the changes since a version. The caller has
// to read the whole table again.
var ErrHistoryGone = errors.New("store no longer has the changes since this version")

// ErrRestored is wrapped when the store was restored from a backup during a read. The rows that were
// read do not belong to a single state of the table.
var ErrRestored = errors.New("store was restored from a backup during the read")

// ErrUnavailable is wrapped when the store refused a call without executing it.
var ErrUnavailable = errors.New("store refused the call")

// Record is one row of a table or a change of one.
type Record struct {
	Name    string
	Version int64
	Value   []byte
	// Removed marks a row that has been removed.
	Removed bool
}

// Snapshot is the store's response to a read of a table or of its changes.
type Snapshot struct {
	Records []Record
	// Version is the store's newest version at the time of the response. Versions of different
	// epochs cannot be compared.
	Version int64
	// Epoch increases each time the store is restored from a backup. Versions then go back and
	// are assigned again. It is 0 if the store does not state it.
	Epoch int64
	// Clock is the reading of the store's monotonic clock at the time of the response.
	Clock time.Duration
	// Restored marks the first whole table of a later epoch, and is set by a Follower. Its rows
	// may be older than the ones read before and some may be missing. Writers may write the older
	// and the missing ones again.
	Restored bool
	// Full is set if the answer to a call for changes holds the whole table instead.
	Full bool
	// AsOf is a monotonic time of this process at which the response was still up to date, or
	// earlier; the zero time if none is known.
	AsOf time.Time
}

// Store is a client of a store whose tables share one version counter and can be followed.
type Store struct {
	// List returns all rows of a table.
	List func(ctx context.Context, table string) (Snapshot, error)
	// Changes waits for rows that change after a version and returns them, or none after wait.
	// On ErrHistoryGone the caller has to call List.
	Changes func(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
	// Put writes a row, whatever it held before.
	Put func(ctx context.Context, table, name string, value []byte) error
	// Remove removes rows; rows that do not exist are no error.
	Remove func(ctx context.Context, table string, names ...string) error
	// RemoveVersion removes a row if it has the given version; otherwise it fails with ErrConflict.
	RemoveVersion func(ctx context.Context, table, name string, version int64) error
}
