package relay

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
	"github.com/klauspost/compress/s2"

	"github.com/sparshore/sparshore/internal/platform"
)

// wireRecord is a row as it goes between entries.
type wireRecord struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Version int64
	Value   []byte
	Gone    bool
}

// mostRecords bounds in bytes what an answer's records may unpack to: some hundred
// thousand routes.
const mostRecords = 64 << 20

// errTooLarge is wrapped when records would unpack to more than that.
var errTooLarge = errors.New("records are too large")

// encodeRecords packs rows for other entries. Tables repeat themselves, and each side goes
// over the message that carries them several times (BenchmarkLargeAnswer).
func encodeRecords(rows []platform.Record) ([]byte, error) {
	list := make([]wireRecord, len(rows))
	for i, r := range rows {
		list[i] = wireRecord{Name: r.Name, Version: r.Version, Value: r.Value, Gone: r.Gone}
	}
	b, err := cbor.Marshal(list)
	if err != nil {
		return nil, fmt.Errorf("encode records: %w", err)
	}
	return s2.Encode(nil, b), nil
}

// decodeRecords unpacks rows of another entry.
func decodeRecords(packed []byte) ([]platform.Record, error) {
	size, err := s2.DecodedLen(packed)
	if err != nil {
		return nil, fmt.Errorf("records of another entry: %w", err)
	}
	if size > mostRecords {
		return nil, fmt.Errorf("%w: %d bytes", errTooLarge, size)
	}
	b, err := s2.Decode(nil, packed)
	if err != nil {
		return nil, fmt.Errorf("records of another entry: %w", err)
	}
	var list []wireRecord
	if err := cbor.Unmarshal(b, &list); err != nil {
		return nil, fmt.Errorf("records of another entry: %w", err)
	}
	out := make([]platform.Record, len(list))
	for i, r := range list {
		out[i] = platform.Record{Name: r.Name, Version: r.Version, Value: r.Value, Gone: r.Gone}
	}
	return out, nil
}
