package platform

import (
	"context"
	"errors"
	"time"
)

// ErrHistoryGone is wrapped when the store no longer has the changes since a
// version: the table must be read anew.
var ErrHistoryGone = errors.New("the store has dropped its history")

// ErrRestored is wrapped when the store was restored from an older copy of itself in the middle of a
// read: what was read is of no one moment.
var ErrRestored = errors.New("the store was restored from a copy during the read")

// ErrUnavailable is wrapped when the store refused a call and did nothing.
var ErrUnavailable = errors.New("the store refused the call")

// Record is one row of a table followed by its changes.
type Record struct {
	Name    string
	Version int64
	Value   []byte
	// Gone marks a row that was removed.
	Gone bool
}

// Snapshot is what the store answered about a table.
type Snapshot struct {
	Records []Record
	// Version is the store's newest version at the time of the answer. Versions of different
	// epochs say nothing of each other.
	Version int64
	// Epoch rises each time the store is restored from an older copy of itself, when versions go
	// back and are given out again; 0 if the store does not state it.
	Epoch int64
	// Clock is the store's steady clock at the time of the answer.
	Clock time.Duration
	// Restored marks the first whole table of a later epoch: its rows may be older than what is
	// known of them, some may be missing, and both may be written again. A Follower sets it.
	Restored bool
	// Made is a steady time of this process that is not after the moment at
	// which the answer was the newest; the zero time if none is known.
	Made time.Time
}

// Store is a store of rows with one version counter whose tables can be
// followed.
type Store struct {
	// List returns all rows of a table.
	List func(ctx context.Context, table string) (Snapshot, error)
	// Changes returns the rows changed after a version as soon as there are
	// any, or none after wait. ErrHistoryGone asks for a List.
	Changes func(ctx context.Context, table string, after int64, wait time.Duration) (Snapshot, error)
	// Put writes a row whatever it holds.
	Put func(ctx context.Context, table, name string, value []byte) error
	// Remove takes rows away, whether they are there or not.
	Remove func(ctx context.Context, table string, names ...string) error
}
