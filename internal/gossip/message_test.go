package gossip

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routing"
)

// busyState returns the state of an entry with ten requests in flight.
func busyState(now time.Time) State {
	s := State{
		Zone: "zone-a", Relay: "10.1.0.49:7200", Routes: 41, Confirmed: now.Add(-time.Second), Loads: map[string]Load{},
		Retries: map[string]routing.Use{"models": {Requests: 120, Extra: 4}, "plain": {Requests: 200, Extra: 9}},
	}
	for i := range 10 {
		s.Loads[fmt.Sprintf("i-7f3a91c2e%d", i)] = Load{Running: 1, Tokens: 3500 + i, Prefill: 3000, Held: 3100}
	}
	return s
}

// decode decodes a datagram that holds a state.
func decode(b []byte) (message, error) {
	d, err := decodeDatagram(b)
	if err != nil {
		return message{}, err
	}
	return decodeState(d)
}

func encodeState(tb testing.TB, s State, now time.Time) []byte {
	tb.Helper()
	version, b, err := encodeBody(Settings{Name: "front-zone-a-13", Incarnation: "73b131248192"}, s, time.Minute, now)
	if err != nil {
		tb.Fatal(err)
	}
	d, err := encodeDatagram(version, echo{Sent: 1, Life: "cdd8feadaaac", HeldUS: 20000}, b)
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// TestMessageSize bounds the size of a state message, of which an entry sends some hundred per second. In
// JSON the same message has 586 bytes.
func TestMessageSize(t *testing.T) {
	const most = 420
	now := time.Now()
	d := encodeState(t, busyState(now), now)
	t.Logf("%d bytes", len(d))
	if len(d) > most {
		t.Errorf("%d bytes, want at most %d", len(d), most)
	}
}

// TestMessageSizeWithIncarnations bounds the same message with upstreams that report their start times. The
// identifier of each such upstream includes its incarnation.
func TestMessageSizeWithIncarnations(t *testing.T) {
	const most = 450
	now := time.Now()
	s := busyState(now)
	plain := s.Loads
	s.Loads = map[string]Load{}
	for id, load := range plain {
		s.Loads[id+"@mip8q2rf"] = load
	}
	d := encodeState(t, s, now)
	t.Logf("%d bytes", len(d))
	if len(d) > most {
		t.Errorf("%d bytes, want at most %d", len(d), most)
	}
	m, err := decode(d)
	if err != nil {
		t.Fatal(err)
	}
	if got := m.state(now).Loads; !reflect.DeepEqual(got, s.Loads) {
		t.Errorf("loads %v, want %v", got, s.Loads)
	}
}

func TestMessageArrivesAsSent(t *testing.T) {
	now := time.Now()
	want := busyState(now)
	// encodeState encodes the state for this process.
	want.Incarnation = "73b131248192"
	want.StopBy, want.StoreLost, want.Leaving = now.Add(time.Second), true, []string{"e"}
	want.Faults = map[string]time.Time{"e": now.Add(-time.Second)}
	want.Failures = map[string]int{"f": 3}
	want.Suspects = []quarantine.Report{{
		Request: quarantine.Request{Fingerprint: quarantine.Fingerprint{1, 2}, Route: "r", Account: "acme"},
		Crashes: map[string]time.Time{"e": now.Add(-2 * time.Second)}, Voided: []string{"d"}, Runs: true,
	}}
	m, err := decode(encodeState(t, want, now))
	if err != nil {
		t.Fatal(err)
	}
	got := m.state(now)
	got.Confirmed = want.Confirmed
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

func TestInvalidMessages(t *testing.T) {
	encoded := func(v any) []byte {
		b, err := cbor.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return b
	}
	noSender := encoded(stateBody{})
	for _, tc := range []struct {
		name string
		sent []byte
	}{
		{"empty", nil},
		{"not CBOR", []byte("{\"from\":\"a\"}")},
		{"unknown format", encoded(datagram{Format: formatSuspects + 1, Body: encoded(stateBody{From: "a"})})},
		{"no sender", encoded(datagram{Format: formatState, Body: noSender})},
		{"body of another type", encoded([]any{formatState, []any{0, "", 0}, "text"})},
		{"truncated", encodeState(t, State{}, time.Now())[:40]},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if _, err := decode(tc.sent); !errors.Is(err, ErrMessage) {
				t.Errorf("error %v, want %v", err, ErrMessage)
			}
		})
	}
}

// TestStateIsReadableByPreviousRelease checks that a state without suspects is sent in the oldest format,
// whose body is a stateBody alone, so that entries of the previous release can decode it.
func TestStateIsReadableByPreviousRelease(t *testing.T) {
	now := time.Now()
	var d datagram
	if err := cbor.Unmarshal(encodeState(t, busyState(now), now), &d); err != nil {
		t.Fatal(err)
	}
	var b stateBody
	if err := cbor.Unmarshal(d.Body, &b); err != nil || d.Format != formatState || b.From == "" {
		t.Errorf("format %d, from %q, %v", d.Format, b.From, err)
	}
}

// FuzzDecode checks that an arbitrary datagram is either decoded with a sender or rejected.
func FuzzDecode(f *testing.F) {
	now := time.Now()
	f.Add(encodeState(f, busyState(now), now))
	f.Add(encodeState(f, State{}, now))
	f.Add(encodeState(f, State{Suspects: []quarantine.Report{{Crashes: map[string]time.Time{"e": now}}}}, now))
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x81}, maxDatagram))
	f.Add(bytes.Repeat([]byte{0xc1}, maxDatagram))
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decode(b)
		if err == nil && m.body.From == "" {
			t.Error("a message without a sender is accepted")
		}
		m.state(now)
	})
}
