package relay

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

	"github.com/klauspost/compress/s2"

	"github.com/sparshore/sparshore/internal/platform"
)

func TestRecordsRoundTrip(t *testing.T) {
	for _, tc := range []struct {
		name string
		rows []platform.Record
	}{
		{"one row", []platform.Record{{Name: "a", Version: 7, Value: []byte("text \x00\xff")}}},
		{"removed row", []platform.Record{{Name: "a", Version: 8, Removed: true}}},
		{"a large table", []platform.Record{{Name: "config", Version: 1 << 40, Value: largeTable(2000)}, {Name: "b", Version: 2, Value: []byte{}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			packed, err := encodeRecords(tc.rows)
			if err != nil {
				t.Fatal(err)
			}
			got, err := decodeRecords(packed)
			if err != nil || !reflect.DeepEqual(got, tc.rows) {
				t.Errorf("got %d rows, %v", len(got), err)
			}
		})
	}
}

// TestCorruptRecordsAreRejected covers what a faulty peer may send.
func TestCorruptRecordsAreRejected(t *testing.T) {
	whole, err := encodeRecords([]platform.Record{{Name: "config", Version: 7, Value: largeTable(10)}})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		packed []byte
		want   error
	}{
		{"empty", nil, s2.ErrCorrupt},
		{"truncated", whole[:len(whole)/2], s2.ErrCorrupt},
		{"decompressed size over the limit", binary.AppendUvarint(nil, 1<<31), errTooLarge},
		{"CBOR that is not a list", s2.Encode(nil, []byte{0x61, 'x'}), nil},
		{"lists nested a million deep", s2.Encode(nil, bytes.Repeat([]byte{0x81}, 1<<20)), nil},
		{"tags nested a million deep", s2.Encode(nil, bytes.Repeat([]byte{0xc1}, 1<<20)), nil},
		{"list that states a billion rows", s2.Encode(nil, []byte{0x9a, 0x3b, 0x9a, 0xca, 0x00}), nil},
		{"truncated list of rows", s2.Encode(nil, []byte{0x82, 0x84}), nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := decodeRecords(tc.packed)
			if err == nil || tc.want != nil && !errors.Is(err, tc.want) {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}

// Two delegates relay each change to all other entries. With 20 peers each, a table of 4,000
// routes and a link of 12 Mbit/s, uncompressed replies of about a megabyte took longer than the
// timeout of 0.75 s. The peers then asked each other and the store, and some used a table that had
// been replaced more than 3 s before. Compression to about an eighth of the size prevents this.
//
// The test checks that the replies to 20 peers fit through the link in time.
func TestLargeTableReachesPeersInTime(t *testing.T) {
	const (
		askers         = 20
		bytesPerSecond = 12e6 / 8
		// within is the time limit for a change to take effect, less the time for the calls that
		// follow the first one.
		within = 2 * time.Second
	)
	l := NewLog(time.Now)
	a, err := newReply(platform.Snapshot{Version: 7, Records: []platform.Record{{Name: "config", Version: 7, Value: largeTable(4000)}}})
	if err != nil {
		t.Fatal(err)
	}
	message, err := json.Marshal(l.encode(a, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Duration(float64(askers*len(message)) / bytesPerSecond * float64(time.Second)); took > within {
		t.Errorf("sending %d entries a message of %d bytes takes %s, want at most %s", askers, len(message), took, within)
	}
}
