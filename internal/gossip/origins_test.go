package gossip

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/origin"
)

// TestOriginsReachAPeer checks that a peer learns from a datagram which software version began a stream, and
// that invalid datagrams change nothing.
func TestOriginsReachAPeer(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, b, a)
	want := origin.Origin{Service: "llm", Software: "v1"}
	began := origin.New(origin.Peers{Live: a.LivePeerNames, Known: a.PeerNames, Send: a.SendOrigins, RoundTrip: func() time.Duration { return 0 }}, events.Nop(), c.now)
	a.conn.sent = nil
	began.Began(origin.KeyOf("r"), want, c.at.Add(time.Minute))
	if len(a.conn.sent) != 1 {
		t.Fatalf("%d datagrams, want 1", len(a.conn.sent))
	}
	for _, body := range []any{"text", originBody{}, originBody{From: "b"}} {
		b.receiveDatagram(newDatagram(t, formatOrigins, body), senderAddr)
	}
	if kept, _ := b.origins.Size(); kept != 0 {
		t.Errorf("%d streams kept from invalid datagrams", kept)
	}
	b.receiveDatagram(a.conn.sent[0], senderAddr)
	if got, source := b.origins.Lookup(t.Context(), origin.KeyOf("r")); got != want || source != origin.FromRecord {
		t.Errorf("%+v, %q; want %+v", got, source, want)
	}
}
