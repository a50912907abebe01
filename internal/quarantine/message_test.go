package quarantine

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func TestMessageRoundTrip(t *testing.T) {
	now := time.Now()
	want := []Report{
		{Request: Request{Fingerprint: named("a"), Route: "r", Account: "acme"}, Crashes: map[string]time.Time{"1": now.Add(-time.Second)}, Voided: []string{"0"}, Runs: true},
		{Request: Request{Fingerprint: named("b")}},
	}
	for _, tc := range []struct {
		name   string
		encode func(v any) ([]byte, error)
		decode func(b []byte, v any) error
	}{
		{"CBOR", cbor.Marshal, cbor.Unmarshal},
		{"JSON", json.Marshal, json.Unmarshal},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b, err := tc.encode(Encode(want, now))
			if err != nil {
				t.Fatal(err)
			}
			var m []Message
			if err := tc.decode(b, &m); err != nil {
				t.Fatal(err)
			}
			if got := Decode(m, now); !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, want %+v", got, want)
			}
		})
	}
}

// TestMessageWithoutFingerprintIsDropped guards against accepting a message whose fingerprint is
// malformed: it would not identify a request.
func TestMessageWithoutFingerprintIsDropped(t *testing.T) {
	if reports := Decode([]Message{{Fingerprint: []byte{1}, EndAgesMS: map[string]int64{"e": 1}}}, time.Now()); len(reports) != 0 {
		t.Errorf("accepted %v", reports)
	}
}
