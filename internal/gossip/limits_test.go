package gossip

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/limits"
)

// tells makes a node tell of an upstream in need.
func (n *node) tells(all bool) {
	n.state.Limits = limits.Telling{Words: []limits.Word{{Start: "u", Rate: 3.2, Named: n.now()}}, All: all, Some: true}
}

// sentBy returns the formats of what a node sends in a round to one peer.
func sentBy(t *testing.T, n, to *node) []int {
	t.Helper()
	n.Know(map[string]string{to.settings.Name: "127.0.0.1:9"})
	n.wire.sent = nil
	n.send(near, far)
	var formats []int
	for _, b := range n.wire.sent {
		d, err := decodeDatagram(b)
		if err != nil {
			t.Fatal(err)
		}
		formats = append(formats, d.Format)
		to.receiveDatagram(b, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	}
	return formats
}

// Nothing is told of limits while there is none. All are told of news, and later only those that
// have told nothing themselves, as entries that start anew.
func TestWhoIsToldOfLimits(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	rounds := func(what string, want int) {
		t.Helper()
		if got := sentBy(t, a, b); len(got) != want {
			t.Errorf("%s: messages of the formats %v, want %d", what, got, want)
		}
	}
	rounds("no limit", 1)
	a.tells(true)
	rounds("news", 2)
	a.tells(false)
	rounds("b has told nothing", 2)
	if len(a.Heedful()) != 0 {
		t.Error("b is taken for one that heeds limits")
	}
	b.tells(true)
	sentBy(t, b, a)
	if got := a.Heedful(); len(got) != 1 || got[0] != "b" {
		t.Errorf("%v heed limits, want b", got)
	}
	rounds("b knows", 1)
	a.tells(true)
	rounds("news again", 2)

	again := newNode(c, "b", "2")
	sentBy(t, again, a)
	if len(a.Heedful()) != 0 {
		t.Error("a later start is taken for one that heeds limits")
	}
	a.tells(false)
	rounds("b started again", 2)
}

func TestHeedfulAreHeardAndServe(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	b.tells(true)
	sentBy(t, b, a)
	if a.Heard() != 1 || len(a.Heedful()) != 1 {
		t.Fatalf("%d heard, %v heed limits; want b", a.Heard(), a.Heedful())
	}
	b.state.StopBy = c.at.Add(time.Second)
	sentBy(t, b, a)
	if a.Heard() != 1 || len(a.Heedful()) != 0 {
		t.Errorf("%d heard, %v heed limits; want that b, which stops, grants no more", a.Heard(), a.Heedful())
	}
	b.state.StopBy = time.Time{}
	sentBy(t, b, a)
	c.at = c.at.Add(tellsMissed*a.settings.Every + time.Millisecond)
	if a.Heard() != 0 || len(a.Heedful()) != 0 {
		t.Errorf("%d heard, %v heed limits; want none of one that is silent", a.Heard(), a.Heedful())
	}
}

// What is told of a limit that is over counts from a time at which it was not sent yet.
func TestWhenLimitsWereTold(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	b.Know(map[string]string{"a": "127.0.0.1:9"})
	b.Send("a", limits.Message{})
	a.receiveDatagram(b.wire.sent[0], &net.UDPAddr{})
	if !a.toldSent.IsZero() {
		t.Errorf("sent at %s, want that nothing is known", a.toldSent)
	}
	say(t, a, b)
	heard := c.at
	c.at = c.at.Add(300 * time.Millisecond)
	b.wire.sent = nil
	b.Send("a", limits.Message{})
	sent := c.at
	c.at = c.at.Add(time.Minute)
	a.receiveDatagram(b.wire.sent[0], &net.UDPAddr{})
	if a.toldSent.Before(heard) || a.toldSent.After(sent.Add(time.Microsecond)) {
		t.Errorf("sent %s before it was at the earliest, want none of the time in which it lay", sent.Sub(a.toldSent))
	}
}

func TestLimitsOfNobody(t *testing.T) {
	c := &clock{at: time.Now()}
	a := newNode(c, "a", "1")
	for _, from := range []string{"", "a"} {
		body, err := encodeLimits(Settings{Name: from, Life: "1"}, limits.Message{})
		if err != nil {
			t.Fatal(err)
		}
		b, err := encode(formatLimits, echo{}, body)
		if err != nil {
			t.Fatal(err)
		}
		if err := a.read(b, &net.UDPAddr{}); !errors.Is(err, ErrMessage) {
			t.Errorf("a message from %q: %v, want that it cannot be used", from, err)
		}
	}
}

// TestLimitsMessageSize bounds what entries send each other about upstreams in need: for each
// permit a question and an answer.
func TestLimitsMessageSize(t *testing.T) {
	const most = 130
	now := time.Now()
	settings := Settings{Name: "front-zone-a-13", Life: "73b131248192"}
	word := limits.Telling{Words: []limits.Word{{Start: "i-7f3a91c2e0@mx76mb10", Rate: 3.2, Named: now.Add(-time.Second)}}}.Encode(now)
	for _, tc := range []struct {
		name string
		m    limits.Message
	}{
		{"one word", word},
		{"a question", limits.Message{Question: &limits.Question{ID: 1 << 60, Word: word.Words[0]}}},
		{"an answer", limits.Message{Answer: &limits.Answer{ID: 1 << 60, WaitUS: 312000, Word: word.Words[0]}}},
	} {
		body, err := encodeLimits(settings, tc.m)
		if err != nil {
			t.Fatal(err)
		}
		b, err := encode(formatLimits, echo{Sent: 60_000_000_000, Life: "cdd8feadaaac", HeldUS: 20000}, body)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", tc.name, len(b))
		if len(b) > most {
			t.Errorf("%s has %d bytes, want at most %d", tc.name, len(b), most)
		}
	}
}

// BenchmarkLimitsMessage measures a question on its way into a Node.
func BenchmarkLimitsMessage(b *testing.B) {
	c := &clock{at: time.Now()}
	a, from := newNode(c, "a", "1"), newNode(c, "b", "1")
	from.Know(map[string]string{"a": "127.0.0.1:9"})
	from.Send("a", limits.Message{Question: &limits.Question{ID: 1}})
	for b.Loop() {
		a.receiveDatagram(from.wire.sent[0], &net.UDPAddr{})
	}
}
