package relay

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"github.com/sparshore/sparshore/internal/platform"
)

// wireRecord is a row as sent between entries.
type wireRecord struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version int64
	Value   []byte
	Gone    bool
}

// maxDecodedBytes bounds the decompressed size of the records of an answer. It is enough for a
// table of some hundred thousand routes.
const maxDecodedBytes = 64 << 20

// errTooLarge is wrapped if records would decompress to more than maxDecodedBytes.
var errTooLarge = errors.New("decompressed records are too large")

// encodeRecords encodes and compresses rows for peers. Tables are repetitive, and both sides
// process the message several times, so a smaller message is cheaper (see BenchmarkLargeAnswer).
func encodeRecords(rows []platform.Record) ([]byte, error) {
	list := make([]wireRecord, len(rows))
	for i, r := range rows {
		list[i] = wireRecord{Name: r.Name, Version: r.Version, Value: r.Value, Gone: r.Removed}
	}
	b, err := cbor.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode records: %w", err)
	}
	return s2.Encode(nil, b), nil
}

// decodeRecords decompresses and decodes rows sent by a peer.
func decodeRecords(packed []byte) ([]platform.Record, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return nil, fmt.Errorf("decode records of a peer: %w", err)
	}
	if size > maxDecodedBytes {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, size)
	}
	b, err := s2.Decode(nil, packed)
	if err != nil {
		return nil, fmt.Errorf("decode records of a peer: %w", err)
	}
	var list []wireRecord
	if err := cbor.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("decode records of a peer: %w", err)
	}
	out := make([]platform.Record, len(list))
	for i, r := range list {
		out[i] = platform.Record{Name: r.Name, Version: r.Version, Value: r.Value, Removed: r.Gone}
	}
	return out, nil
}
