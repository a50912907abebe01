package relay

import (
	"encoding/binary"
	"errors"
	"reflect"
	"testing"

	"github.com/klauspost/compress/s2"

	"github.com/sparshore/sparshore/internal/platform"
)

func TestRecordsComeBack(t *testing.T) {
	for _, tc := range []struct {
		name string
		rows []platform.Record
	}{
		{"one row", []platform.Record{{Name: "a", Version: 7, Value: []byte("text \x00\xff")}}},
		{"a row that is gone", []platform.Record{{Name: "a", Version: 8, Gone: true}}},
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

// TestRecordsThatCannotBeRead covers what a faulty entry may send.
func TestRecordsThatCannotBeRead(t *testing.T) {
	whole, err := encodeRecords([]platform.Record{{Name: "config", Version: 7, Value: largeTable(10)}})
	if err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		name   string
		packed []byte
		want   error
	}{
		{"nothing", nil, s2.ErrCorrupt},
		{"half of the bytes", whole[:len(whole)/2], s2.ErrCorrupt},
		{"a size without bound", binary.AppendUvarint(nil, 1<<31), errTooLarge},
		{"no list of rows", s2.Encode(nil, []byte{0x61, 'x'}), nil},
		{"rows that end early", s2.Encode(nil, []byte{0x82, 0x84}), nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got, err := decodeRecords(tc.packed)
			if err == nil || tc.want != nil && !errors.Is(err, tc.want) {
				t.Errorf("got %v, %v", got, err)
			}
		})
	}
}
