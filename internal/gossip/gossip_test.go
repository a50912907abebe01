package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/roster"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// clock is a steady clock that tests move.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// wire keeps what a node sends.
type wire struct {
	net.PacketConn
	sent [][]byte
}

func (w *wire) WriteTo(b []byte, _ net.Addr) (int, error) {
	w.sent = append(w.sent, append([]byte(nil), b...))
	return len(b), nil
}

// node is one entry with what it heard last.
type node struct {
	*Node
	wire   *wire
	heard  State
	state  State
	limits *limits.Set
}

func newNode(c *clock, name, life string) *node {
	n := &node{wire: &wire{}}
	n.limits = limits.New(name, life, limits.Others{
		Heard: func() []limits.Entry { return n.Heard() }, Send: func(to string, m limits.Message) { n.Send(to, m) },
		Urge: func() {}, Told: func() time.Duration { return time.Second }, Way: func() time.Duration { return 0 },
	}, events.Nop(), c.now)
	n.Node = New(Settings{Name: name, Life: life, Every: time.Second, Forget: 3 * time.Second, Rate: 100}, n.wire,
		func() State { return n.state }, func(_ string, s State) { n.heard = s }, n.limits, events.Nop(), c.now)
	return n
}

// say delivers one message from a to b.
func say(t *testing.T, a, b *node) {
	t.Helper()
	a.Know(map[string]roster.Entry{b.settings.Name: {Address: "127.0.0.1:9"}})
	a.wire.sent = nil
	a.send(near, far)
	if len(a.wire.sent) != 1 {
		t.Fatalf("%s sent %d messages, want 1", a.settings.Name, len(a.wire.sent))
	}
	b.receiveDatagram(a.wire.sent[0], &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
}

func TestConfirmationIsNeverTooYoung(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	confirmed := c.at
	b.state = State{Routes: 7, Confirmed: confirmed}
	c.at = c.at.Add(400 * time.Millisecond)
	say(t, a, b)
	c.at = c.at.Add(100 * time.Millisecond)
	say(t, b, a)
	if a.heard.Routes != routetable.Version(7) {
		t.Fatalf("heard of version %d, want 7", a.heard.Routes)
	}
	if a.heard.Confirmed.IsZero() || a.heard.Confirmed.After(confirmed) {
		t.Errorf("confirmed %s after it was, want not after", a.heard.Confirmed.Sub(confirmed))
	}
	if late := confirmed.Sub(a.heard.Confirmed); late > 150*time.Millisecond {
		t.Errorf("confirmed %s before it was, want at most the time since the echoed message", late)
	}
}

// A message that lay in a buffer while this process was stopped must not count
// as fresh: its echo is as old as it is.
func TestMessageThatLayInABuffer(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	say(t, a, b)
	b.state = State{Routes: 7, Confirmed: c.at}
	b.Know(map[string]roster.Entry{"a": {Address: "127.0.0.1:9"}})
	b.send(near, far)
	old := b.wire.sent[len(b.wire.sent)-1]
	sent := c.at
	c.at = c.at.Add(time.Minute)
	a.receiveDatagram(old, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	if a.heard.Confirmed.After(sent) {
		t.Errorf("confirmed %s after the message was sent", a.heard.Confirmed.Sub(sent))
	}
}

// After a restart the steady clock of the process counts from another moment,
// so an echo of the earlier life says nothing about the present one.
func TestEchoOfAnEarlierLife(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	c.at = c.at.Add(30 * time.Second)
	say(t, a, b)
	b.state = State{Routes: 7, Confirmed: c.at}
	restarted := newNode(c, "a", "2")
	say(t, b, restarted)
	if !restarted.heard.Confirmed.IsZero() {
		t.Errorf("confirmed at %s after the start, want not at all", restarted.heard.Confirmed.Sub(c.at))
	}
}

// With many peers messages become rarer, so that all together keep to the bound,
// and a peer is forgotten after as many missed messages as with few.
func TestMessagesAreBounded(t *testing.T) {
	s := Settings{Every: 200 * time.Millisecond, Least: 10 * time.Millisecond, Rate: 200, Forget: 1500 * time.Millisecond}
	for _, tc := range []struct {
		name                 string
		peers                int
		every, least, forget time.Duration
	}{
		{"a few", 3, 200 * time.Millisecond, 15 * time.Millisecond, 1500 * time.Millisecond},
		{"some tens", 26, 200 * time.Millisecond, 130 * time.Millisecond, 1500 * time.Millisecond},
		{"hundreds", 349, 1745 * time.Millisecond, 1745 * time.Millisecond, 13087500 * time.Microsecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			every, least, forget := s.timing(tc.peers)
			if every != tc.every || least != tc.least || forget.Round(time.Microsecond) != tc.forget {
				t.Errorf("every %s, least %s, forget %s; want %s, %s, %s", every, least, forget, tc.every, tc.least, tc.forget)
			}
		})
	}
}

func TestFaultsAndRetriesArrive(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	fault := c.at.Add(-700 * time.Millisecond)
	a.state = State{Faults: map[string]time.Time{"e": fault}, Retries: map[string]routing.Use{"llm": {Requests: 12, Repeats: 3}}}
	say(t, a, b)
	if got := b.heard.Faults["e"]; got.Sub(fault).Abs() > time.Millisecond {
		t.Errorf("fault of %s, want %s ago", c.at.Sub(got), c.at.Sub(fault))
	}
	if got := b.heard.Retries["llm"]; got != (routing.Use{Requests: 12, Repeats: 3}) {
		t.Errorf("retries %+v", got)
	}
}

func TestOthersHearOfAPlannedStop(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	say(t, a, b)
	if !b.heard.StopBy.IsZero() {
		t.Error("an entry that does not stop is heard to stop")
	}
	a.state = State{StopBy: c.at.Add(7 * time.Second)}
	say(t, a, b)
	if late := b.heard.StopBy.Sub(a.state.StopBy).Abs(); late > time.Millisecond {
		t.Errorf("heard of a stop %s off", late)
	}
}
