package originstore

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/origin"
)

// The names of rows start with their kind.
const (
	// softwarePrefix starts the name of the row of a software version in service.
	softwarePrefix = "software/"
	// streamsPrefix starts the name of the row of the streams of one process.
	streamsPrefix = "streams/"
	// keptRow is the name of the row that tells since when the table has been kept.
	keptRow = "kept"
)

const (
	// maxRowStreams bounds the streams in a row, which then has about 40 KB.
	maxRowStreams = 1500
	// maxRowOrigins bounds the versions that the streams of a row have.
	maxRowOrigins = 64
	// maxNameBytes bounds the names of services and versions. Those of upstreams' rows are no longer.
	maxNameBytes = 1 << 10
)

// wireOrigin is the value of the row of a software version in service.
type wireOrigin struct {
	_        struct{} `cbor:",toarray"`
	Service  string
	Software string
}

// wireStreams is the value of the row of the streams of one process.
type wireStreams struct {
	_ struct{} `cbor:",toarray"`
	// Origins are what began the streams, which refer to them by their index.
	Origins []wireOrigin
	Streams []wireStream
}

type wireStream struct {
	_      struct{} `cbor:",toarray"`
	Key    []byte
	Origin int
	// UntilMS is when its caller can no longer resume the stream, on the store's monotonic clock.
	UntilMS int64
}

// wireKept is the value of the row keptRow.
type wireKept struct {
	_ struct{} `cbor:",toarray"`
	// SinceMS is when the entries began to write each version in service, on the store's monotonic clock, and
	// Epoch the store's epoch then: a store that was restored from a backup may lack rows.
	SinceMS int64
	Epoch   int64
}

// softwareRow returns the name of the row of a version; names of services and versions may be too long for one.
func softwareRow(o origin.Origin) string {
	sum := sha256.Sum256([]byte(o.Service + "\x00" + o.Software))
	return softwarePrefix + hex.EncodeToString(sum[:16])
}

func encodeSoftware(o origin.Origin) ([]byte, error) {
	return cbor.Marshal(wireOrigin{Service: o.Service, Software: o.Software})
}

func decodeSoftware(value []byte) (origin.Origin, error) {
	var w wireOrigin
	if err := cbor.Unmarshal(value, &w); err != nil {
		return origin.Origin{}, fmt.Errorf("row of a software version: %w", err)
	}
	return w.decode()
}

func (w wireOrigin) decode() (origin.Origin, error) {
	if len(w.Service) > maxNameBytes || len(w.Software) > maxNameBytes {
		return origin.Origin{}, fmt.Errorf("%w: a name has more than %d bytes", errInvalidRow, maxNameBytes)
	}
	return origin.Origin{Service: w.Service, Software: w.Software}, nil
}

// encodeStreams encodes the streams that may be resumed the longest. clock converts a time to the store's clock.
func encodeStreams(streams []origin.Stream, clock func(t time.Time) time.Duration) ([]byte, error) {
	slices.SortFunc(streams, func(a, b origin.Stream) int {
		return cmp.Or(b.Until.Compare(a.Until), strings.Compare(string(a.Key[:]), string(b.Key[:])))
	})
	var row wireStreams
	index := map[origin.Origin]int{}
	for _, s := range streams[:min(len(streams), maxRowStreams)] {
		i, ok := index[s.Origin]
		if !ok {
			if len(row.Origins) == maxRowOrigins {
				continue
			}
			i = len(row.Origins)
			index[s.Origin] = i
			row.Origins = append(row.Origins, wireOrigin{Service: s.Service, Software: s.Software})
		}
		row.Streams = append(row.Streams, wireStream{Key: s.Key[:], Origin: i, UntilMS: clock(s.Until).Milliseconds()})
	}
	return cbor.Marshal(row)
}

// decodeStreams calls add for the streams of a row that may still be resumed at a time of the store's clock. It
// returns their number.
func decodeStreams(value []byte, clock time.Duration, add func(k origin.Key, o origin.Origin, until time.Duration)) (int, error) {
	var row wireStreams
	if err := cbor.Unmarshal(value, &row); err != nil {
		return 0, fmt.Errorf("row of streams: %w", err)
	}
	if len(row.Streams) > maxRowStreams || len(row.Origins) > maxRowOrigins {
		return 0, fmt.Errorf("%w: %d streams of %d versions", errInvalidRow, len(row.Streams), len(row.Origins))
	}
	n := 0
	for _, s := range row.Streams {
		until := time.Duration(s.UntilMS) * time.Millisecond
		if len(s.Key) != len(origin.Key{}) || s.Origin < 0 || s.Origin >= len(row.Origins) || until <= clock {
			continue
		}
		o, err := row.Origins[s.Origin].decode()
		if err != nil {
			return n, err
		}
		add(origin.Key(s.Key), o, until)
		n++
	}
	return n, nil
}
