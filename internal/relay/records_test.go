package relay

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"reflect"
	"testing"
	"time"

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

// Two entries tell all others of a change. Each told twenty of them of a table of four
// thousand routes over a link of 12 Mbit/s, a megabyte each time: their questions ended
// after 0.75 s, they turned to one another and to the store, and some served by a version
// that had been replaced more than three seconds before. What settled it were lines like
//
//	relay-failed  error="relay.changes: context deadline exceeded"
//	relay-failed  error="the other entry's answer is too old: ... knew the table of 2.147s ago"
//
// at every entry, and none of them once the same table took an eighth of the bytes.
func TestLargeTableIsToldInTime(t *testing.T) {
	const (
		askers         = 20
		bytesPerSecond = 12e6 / 8
		// within is the time in which a change has to be in force, less that of the
		// questions that follow the first one.
		within = 2 * time.Second
	)
	l := NewLog(time.Now)
	a, err := answerOf(platform.Snapshot{Version: 7, Records: []platform.Record{{Name: "config", Version: 7, Value: largeTable(4000)}}})
	if err != nil {
		t.Fatal(err)
	}
	message, err := json.Marshal(l.encode(a, time.Now()))
	if err != nil {
		t.Fatal(err)
	}
	if took := time.Duration(float64(askers*len(message)) / bytesPerSecond * float64(time.Second)); took > within {
		t.Errorf("%d entries are told of %d bytes in %s, want %s", askers, len(message), took, within)
	}
}
