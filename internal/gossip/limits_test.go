package gossip

import (
	"errors"
	"math"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/roster"
)

// anyAddress is the sender address of all messages in these tests.
var anyAddress = &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}

// sendRound sends a round of messages from one node to another and returns their formats.
func sendRound(t *testing.T, from, to *node) []int {
	t.Helper()
	from.SetListed(map[string]roster.Entry{to.settings.Name: {Address: "127.0.0.1:9"}})
	from.conn.sent = nil
	from.send(near, far)
	var formats []int
	for _, b := range from.conn.sent {
		d, err := decodeDatagram(b)
		if err != nil {
			t.Fatal(err)
		}
		formats = append(formats, d.Format)
		to.receiveDatagram(b, anyAddress)
	}
	return formats
}

// TestReceiversOfLimitMessages checks which entries get limit messages: none without a limit, and all after
// a change. Later only those get them that have not confirmed yet that both sides exchange limit messages,
// such as restarted entries, even if a message of theirs was lost.
func TestReceiversOfLimitMessages(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	expect := func(what string, from, to *node, n int) {
		t.Helper()
		if got := sendRound(t, from, to); len(got) != n {
			t.Errorf("%s: messages of the formats %v, want %d of them", what, got, n)
		}
	}
	expect("no limit", a, b, 1)
	a.limits.NoteLimit("u", 3.2)
	expect("new limit", a, b, 2)
	expect("limit that b has just received", b, a, 2)
	if got := b.limits.Rate("u"); got != 3.2 {
		t.Fatalf("b has a limit of %v, want 3.2", got)
	}
	c.at = c.at.Add(time.Minute)
	expect("b asked for a confirmation", a, b, 2)
	expect("both have confirmed", a, b, 1)
	expect("both have confirmed", b, a, 1)

	restarted := newNode(c, "b", "2")
	deliver(t, restarted, a)
	restarted.limits.NoteLimit("u", 3.2)
	c.at = c.at.Add(time.Minute)
	expect("b has restarted and sent no limit message to a", a, restarted, 2)
	expect("a asks for a confirmation", restarted, a, 2)
	expect("a confirms", a, restarted, 2)
	expect("both have confirmed again", restarted, a, 1)
	expect("both have confirmed again", a, restarted, 1)
}

func TestStalePeersAreNotLive(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "7")
	b.state.StopBy = c.at.Add(time.Second)
	deliver(t, b, a)
	if got := a.LivePeers(); len(got) != 1 || got[0] != (limits.Entry{Name: "b", Life: "7", Stops: true}) {
		t.Fatalf("live peers %+v, want b, which stops", got)
	}
	c.at = c.at.Add(maxMissed*a.settings.Interval + time.Millisecond)
	if got := a.LivePeers(); len(got) != 0 {
		t.Errorf("live peers %+v after b became stale, want none", got)
	}
}

// The age of a limit that has ended counts from encodedNotBefore, so that time must not be later than the
// moment at which the message was encoded.
func TestEncodedNotBefore(t *testing.T) {
	c := &clock{at: time.Now()}
	a := newNode(c, "a", "1")
	begun := c.at
	c.at = c.at.Add(time.Minute)
	for _, tc := range []struct {
		name string
		echo echo
		want time.Time
	}{
		{"no echo", echo{}, time.Time{}},
		{"echo of an earlier incarnation", echo{Sent: int64(time.Second), Life: "0"}, time.Time{}},
		{"sent 300 ms after the echoed message arrived", echo{Sent: int64(time.Second), Life: "1", HeldUS: 300_000}, begun.Add(1300 * time.Millisecond)},
		{"encoded 300 ms before the echoed message arrived", echo{Sent: int64(time.Second), Life: "1", HeldUS: -300_000}, begun.Add(700 * time.Millisecond)},
		{"delay that overflows", echo{Sent: int64(time.Second), Life: "1", HeldUS: math.MaxInt64 / 1000}, time.Time{}},
		{"delay that overflows below", echo{Sent: int64(time.Second), Life: "1", HeldUS: math.MinInt64 / 1000}, time.Time{}},
		{"delay that ends in the future", echo{Sent: int64(time.Second), Life: "1", HeldUS: 3_600_000_000}, c.at},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := a.encodedNotBefore(tc.echo); !got.Equal(tc.want) {
				t.Errorf("not encoded before %v, want %v", got, tc.want)
			}
		})
	}
}

// The time for which the echoed message was held ends when the ages of the message were computed, however long it
// took to send it.
func TestLimitMessageCountsFromItsAges(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, b, a)
	c.at = c.at.Add(time.Second)
	for _, late := range []time.Duration{0, 400 * time.Millisecond, 3 * time.Second} {
		a.Send("b", limits.Message{}, c.at.Add(-late))
		d, err := decodeDatagram(a.conn.sent[len(a.conn.sent)-1])
		if want := time.Second - late; err != nil || time.Duration(d.Echo.HeldUS)*time.Microsecond != want {
			t.Errorf("ages of %s ago: the echoed message was held for %d us, error %v, want %s", late, d.Echo.HeldUS, err, want)
		}
	}
}

func TestLimitMessageSender(t *testing.T) {
	c := &clock{at: time.Now()}
	a := newNode(c, "a", "1")
	for _, from := range []string{"", "a"} {
		body, err := cbor.Marshal(limitsBody{From: from})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encodeDatagram(formatLimits, echo{}, body)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.handle(b, anyAddress); !errors.Is(err, ErrMessage) {
			t.Errorf("a message from %q: %v, want ErrMessage", from, err)
		}
	}
}

// TestLimitsMessageSize bounds the size of the question and the answer that each permit of a rate-limited
// upstream takes.
func TestLimitsMessageSize(t *testing.T) {
	const most = 150
	c := &clock{at: time.Now()}
	a, b := newNode(c, "front-zone-a-13", "73b131248192"), newNode(c, "front-zone-a-17", "cdd8feadaaac")
	deliver(t, a, b)
	deliver(t, b, a)
	a.limits.NoteLimit("i-7f3a91c2e0@mx76mb10", 3.2)
	sendRound(t, a, b)
	sendRound(t, b, a)
	for range 2 {
		c.at = c.at.Add(time.Second)
		a.conn.sent, b.conn.sent = nil, nil
		_ = a.limits.Take(t.Context(), "i-7f3a91c2e0@mx76mb10")
		_ = b.limits.Take(t.Context(), "i-7f3a91c2e0@mx76mb10")
		for _, sent := range a.conn.sent {
			b.receiveDatagram(sent, anyAddress)
		}
		for _, sent := range b.conn.sent {
			a.receiveDatagram(sent, anyAddress)
		}
	}
	longest := 0
	for _, sent := range append(a.conn.sent, b.conn.sent...) {
		longest = max(longest, len(sent))
		t.Logf("%d bytes", len(sent))
	}
	if longest == 0 || longest > most {
		t.Errorf("%d bytes, want at most %d", longest, most)
	}
}

// BenchmarkLimitsMessage measures how long a Node takes to receive a question and send the answer.
func BenchmarkLimitsMessage(b *testing.B) {
	c := &clock{at: time.Now()}
	a, from := newNode(c, "a", "1"), newNode(c, "b", "1")
	from.SetListed(map[string]roster.Entry{"a": {Address: "127.0.0.1:9"}})
	from.Send("a", limits.Message{Question: &limits.Question{ID: 1}}, c.at)
	for b.Loop() {
		a.receiveDatagram(from.conn.sent[0], anyAddress)
	}
}
