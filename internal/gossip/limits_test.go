package gossip

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/roster"
)

// anyAddress is where the nodes of these tests are said to be.
var anyAddress = &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}

// rounds sends a round of messages from one node to another and returns their formats.
func rounds(t *testing.T, from, to *node) []int {
	t.Helper()
	from.Know(map[string]roster.Entry{to.settings.Name: {Address: "127.0.0.1:9"}})
	from.wire.sent = nil
	from.send(near, far)
	var formats []int
	for _, b := range from.wire.sent {
		d, err := decodeDatagram(b)
		if err != nil {
			t.Fatal(err)
		}
		formats = append(formats, d.Format)
		to.receiveDatagram(b, anyAddress)
	}
	return formats
}

// Nothing is told of limits while there is none. All are told of news, and later only those with
// which it is not settled that both are aware of limits, as with entries that start anew, also if what
// they say is lost.
func TestWhoIsToldOfLimits(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	want := func(what string, from, to *node, n int) {
		t.Helper()
		if got := rounds(t, from, to); len(got) != n {
			t.Errorf("%s: messages of the formats %v, want %d", what, got, n)
		}
	}
	want("no limit", a, b, 1)
	a.limits.Named("u", 3.2)
	want("news", a, b, 2)
	want("news of news", b, a, 2)
	if got := b.limits.Rate("u"); got != 3.2 {
		t.Fatalf("b knows a limit of %v, want 3.2", got)
	}
	c.at = c.at.Add(time.Minute)
	want("b asked whether a knows", a, b, 2)
	want("both know", a, b, 1)
	want("both know", b, a, 1)

	again := newNode(c, "b", "2")
	say(t, again, a)
	again.limits.Named("u", 3.2)
	c.at = c.at.Add(time.Minute)
	want("b started again and a has heard nothing of limits from it", a, again, 2)
	want("a asks", again, a, 2)
	want("a answers", a, again, 2)
	want("both know again", again, a, 1)
	want("both know again", a, again, 1)
}

func TestHeard(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "7")
	b.state.StopBy = c.at.Add(time.Second)
	say(t, b, a)
	if got := a.Heard(); len(got) != 1 || got[0] != (limits.Entry{Name: "b", Life: "7", Stops: true}) {
		t.Fatalf("heard are %+v, want b, which stops", got)
	}
	c.at = c.at.Add(tellsMissed*a.settings.Every + time.Millisecond)
	if got := a.Heard(); len(got) != 0 {
		t.Errorf("heard are %+v, want none of one that is silent", got)
	}
}

// What is told of a limit that is over counts from a time at which it was not sent yet.
func TestWhenLimitsWereTold(t *testing.T) {
	c := &clock{at: time.Now()}
	a := newNode(c, "a", "1")
	begun := c.at
	c.at = c.at.Add(time.Minute)
	for _, tc := range []struct {
		name string
		echo echo
		want time.Time
	}{
		{"it has heard nothing of this process", echo{}, time.Time{}},
		{"it has heard of an earlier life", echo{Sent: int64(time.Second), Life: "0"}, time.Time{}},
		{"it has heard, and sent 300 ms later", echo{Sent: int64(time.Second), Life: "1", HeldUS: 300_000}, begun.Add(1300 * time.Millisecond)},
		{"it held it for longer than can be", echo{Sent: int64(time.Second), Life: "1", HeldUS: 3_600_000_000}, c.at},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := a.sentNotBefore(tc.echo); !got.Equal(tc.want) {
				t.Errorf("not sent before %v, want %v", got, tc.want)
			}
		})
	}
}

func TestLimitsOfNobody(t *testing.T) {
	c := &clock{at: time.Now()}
	a := newNode(c, "a", "1")
	for _, from := range []string{"", "a"} {
		body, err := cbor.Marshal(limitsBody{From: from})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encode(formatLimits, echo{}, body)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.read(b, anyAddress); !errors.Is(err, ErrMessage) {
			t.Errorf("a message from %q: %v, want that it cannot be used", from, err)
		}
	}
}

// TestLimitsMessageSize bounds what entries send each other about limited upstreams: for each
// permit a question and an answer.
func TestLimitsMessageSize(t *testing.T) {
	const most = 150
	c := &clock{at: time.Now()}
	a, b := newNode(c, "front-zone-a-13", "73b131248192"), newNode(c, "front-zone-a-17", "cdd8feadaaac")
	say(t, a, b)
	say(t, b, a)
	a.limits.Named("i-7f3a91c2e0@mx76mb10", 3.2)
	rounds(t, a, b)
	rounds(t, b, a)
	for range 2 {
		c.at = c.at.Add(time.Second)
		a.wire.sent, b.wire.sent = nil, nil
		_ = a.limits.Take(t.Context(), "i-7f3a91c2e0@mx76mb10")
		_ = b.limits.Take(t.Context(), "i-7f3a91c2e0@mx76mb10")
		for _, sent := range a.wire.sent {
			b.receiveDatagram(sent, anyAddress)
		}
		for _, sent := range b.wire.sent {
			a.receiveDatagram(sent, anyAddress)
		}
	}
	longest := 0
	for _, sent := range append(a.wire.sent, b.wire.sent...) {
		longest = max(longest, len(sent))
		t.Logf("%d bytes", len(sent))
	}
	if longest == 0 || longest > most {
		t.Errorf("%d bytes, want at most %d", longest, most)
	}
}

// BenchmarkLimitsMessage measures a question on its way into a Node, and its answer out.
func BenchmarkLimitsMessage(b *testing.B) {
	c := &clock{at: time.Now()}
	a, from := newNode(c, "a", "1"), newNode(c, "b", "1")
	from.Know(map[string]roster.Entry{"a": {Address: "127.0.0.1:9"}})
	from.Send("a", limits.Message{Question: &limits.Question{ID: 1}})
	for b.Loop() {
		a.receiveDatagram(from.wire.sent[0], anyAddress)
	}
}
