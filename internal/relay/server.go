package relay

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
)

// The names tell the form of the answer: an entry of another release that does not know
// it refuses, and the store is asked instead.
const (
	methodChanges = "relay.changes.packed"
	methodList    = "relay.list.packed"
)

// errCannotTell is answered when this entry does not know the table well enough.
var errCannotTell = errors.New("the table is not known here")

type changesParams struct {
	Table string `json:"table"`
	After int64  `json:"after"`
	// Epoch is that of the store in which After counts; entries of earlier releases do not say.
	Epoch  int64 `json:"epoch,omitempty"`
	WaitMS int64 `json:"wait_ms"`
}

type listParams struct {
	Table string `json:"table"`
	// WaitMS is how long the question may be held until the table is known.
	WaitMS int64 `json:"wait_ms"`
}

// wireSnapshot is a platform.Snapshot between entries. Steady times mean
// nothing to another process, so the age at the time of the answer is sent.
type wireSnapshot struct {
	// Records are packed once for all who ask the same.
	Records []byte `json:"records,omitempty"`
	Version int64  `json:"version"`
	Epoch   int64  `json:"epoch,omitempty"`
	AgeMS   int64  `json:"age_ms"`
	// HeldMS is for how long the question was held, rounded down.
	HeldMS int64 `json:"held_ms"`
}

// Methods answers the questions of other entries.
func (l *Log) Methods() peer.Methods {
	return peer.Methods{methodChanges: l.handleChanges, methodList: l.handleList}
}

func (l *Log) handleChanges(ctx context.Context, _ *peer.Conn, params json.RawMessage) (any, error) {
	var p changesParams
	if err := json.Unmarshal(params, &p); err != nil {
		return nil, err
	}
	asked := l.now()
	end := time.NewTimer(time.Duration(p.WaitMS) * time.Millisecond)
	defer end.Stop()
	for over := false; ; {
		a, signs, err := l.answer(p.Table, p.After, p.Epoch)
		if err != nil {
			return nil, err
		}
		if len(a.records) > 0 || a.over || over {
			return l.encode(a, asked), nil
		}
		select {
		case <-signs.changed:
		case <-signs.confirmed:
			// Who asks passes it on in its turn, and would else know only older things.
			over = true
		case <-end.C:
			// What is known now may have been confirmed since the question came.
			over = true
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
	asked := l.now()
	end := time.NewTimer(time.Duration(p.WaitMS) * time.Millisecond)
	defer end.Stop()
	for {
		a, signs, err := l.wholeAnswer(p.Table)
		if !errors.Is(err, errCannotTell) {
			return l.encode(a, asked), err
		}
		select {
		case <-signs.changed:
		case <-end.C:
			return nil, err
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// answer is what is told to who asks for changes.
type answer struct {
	records []byte
	version int64
	epoch   int64
	made    time.Time
	// over ends a question at once, whatever there is to tell.
	over bool
}

// answerOf encodes a snapshot; one without records has none encoded.
func answerOf(s platform.Snapshot) (answer, error) {
	a := answer{version: s.Version, made: s.Made}
	if len(s.Records) == 0 {
		return a, nil
	}
	var err error
	a.records, err = encodeRecords(s.Records)
	return a, err
}

func (l *Log) encode(a answer, asked time.Time) wireSnapshot {
	now := l.now()
	return wireSnapshot{Records: a.records, Version: a.version, Epoch: a.epoch, AgeMS: now.Sub(a.made).Milliseconds() + 1, HeldMS: now.Sub(asked).Milliseconds()}
}

// decode turns an answer into a Snapshot. The age was taken at least as long after
// the question was sent as it was held, so what is made of it is never too young.
func (w wireSnapshot) decode(sent time.Time) (platform.Snapshot, error) {
	s := platform.Snapshot{Version: w.Version, Epoch: w.Epoch, Made: sent.Add(time.Duration(w.HeldMS-w.AgeMS) * time.Millisecond)}
	if len(w.Records) == 0 {
		return s, nil
	}
	var err error
	s.Records, err = decodeRecords(w.Records)
	return s, err
}
