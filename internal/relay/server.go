package relay

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

// The method names identify the encoding of the answer. An entry of another release that lacks a
// method returns an error, and the caller asks the store instead.
const (
	methodChanges = "relay.changes.packed"
	methodList    = "relay.list.packed"
)

// errNotAnswerable is returned to a peer if its call cannot be answered from the log: the table
// was not read yet, its history is too short, its versions cannot be compared with those of the
// peer, or the latest call for it failed.
var errNotAnswerable = errors.New("the table is not known here")

// errHistoryTooShort wraps errNotAnswerable if only the changes since the peer's version are not known.
var errHistoryTooShort = fmt.Errorf("%w since that version", errNotAnswerable)

type changesParams struct {
	Table string `json:"table"`
	After int64  `json:"after"`
	// Epoch is the store's epoch to which After belongs. Entries of earlier releases do not send
	// it.
	Epoch  int64 `json:"epoch,omitempty"`
	WaitMS int64 `json:"wait_ms"`
	// Whole allows an answer with the whole table if the changes since After are not known. Entries of
	// earlier releases refuse such a call.
	Whole bool `json:"whole,omitempty"`
}

type listParams struct {
	Table string `json:"table"`
	// WaitMS is how long the call may be held until the table is known.
	WaitMS int64 `json:"wait_ms"`
}

// wireSnapshot is a platform.Snapshot as sent to a peer. A monotonic time is meaningless in
// another process, so the age at the time of the answer is sent.
type wireSnapshot struct {
	// Records are encoded once for all peers that ask for the same rows.
	Records []byte `json:"records,omitempty"`
	Version int64  `json:"version"`
	Epoch   int64  `json:"epoch,omitempty"`
	// Full is set if the records are the whole table instead of changes.
	Full  bool  `json:"full,omitempty"`
	AgeMS int64 `json:"age_ms"`
	// HeldMS is how long the call was held, rounded down.
	HeldMS int64 `json:"held_ms"`
}

// Methods returns the handlers for the calls of peers.
func (l *Log) Methods() peer.Methods {
	return peer.Methods{methodChanges: l.handleChanges, methodList: l.handleList}
}

func (l *Log) handleChanges(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var p changesParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	receivedAt := l.now()
	end := time.NewTimer(time.Duration(p.WaitMS) * time.Millisecond)
	defer end.Stop()
	for done := false; ; {
		a, signals, err := l.changesReply(p.Table, p.After, p.Epoch)
		if errors.Is(err, errHistoryTooShort) && p.Whole {
			a, _, err = l.tableReply(p.Table)
			a.full = true
		}
		if err != nil {
			return nil, err
		}
		if len(a.records) > 0 || a.full || a.immediate || done {
			return l.encode(a, receivedAt), nil
		}
		select {
		case <-signals.changed:
		case <-signals.confirmed:
			// The peer relays the answer to others. Holding the call any longer would make the
			// confirmation that they get older.
			done = true
		case <-end.C:
			// The table may have been confirmed again while the call was held.
			done = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

func (l *Log) handleList(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var p listParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	receivedAt := l.now()
	end := time.NewTimer(time.Duration(p.WaitMS) * time.Millisecond)
	defer end.Stop()
	for {
		a, signals, err := l.tableReply(p.Table)
		if !errors.Is(err, errNotAnswerable) {
			return l.encode(a, receivedAt), err
		}
		select {
		case <-signals.changed:
		case <-end.C:
			return nil, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// reply is the answer to a call for changes or for a whole table.
type reply struct {
	records []byte
	version int64
	epoch   int64
	asOf    time.Time
	// full is set if the records are the whole table in answer to a call for changes.
	full bool
	// immediate is set if the reply must be sent at once, even without records.
	immediate bool
}

// newReply encodes a snapshot. The records of the reply are nil if the snapshot has none.
func newReply(s platform.Snapshot) (reply, error) {
	a := reply{version: s.Version, asOf: s.AsOf}
	if len(s.Records) == 0 {
		return a, nil
	}
	var err error
	a.records, err = encodeRecords(s.Records)
	return a, err
}

func (l *Log) encode(a reply, receivedAt time.Time) wireSnapshot {
	now := l.now()
	return wireSnapshot{Records: a.records, Version: a.version, Epoch: a.epoch, Full: a.full, AgeMS: now.Sub(a.asOf).Milliseconds() + 1, HeldMS: now.Sub(receivedAt).Milliseconds()}
}

// decode turns an answer into a Snapshot. The answer was made no earlier than sent plus the time
// for which the call was held, so subtracting its age from that time never makes the snapshot look
// newer than it is.
func (w wireSnapshot) decode(sent time.Time) (platform.Snapshot, error) {
	s := platform.Snapshot{Version: w.Version, Epoch: w.Epoch, Full: w.Full, AsOf: sent.Add(time.Duration(w.HeldMS-w.AgeMS) * time.Millisecond)}
	if len(w.Records) == 0 {
		return s, nil
	}
	var err error
	s.Records, err = decodeRecords(w.Records)
	return s, err
}
