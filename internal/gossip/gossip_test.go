package gossip

import (
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/roster"
	"github.com/sparshore/sparshore/internal/routetable"
	"github.com/sparshore/sparshore/internal/routing"
)

// clock is a monotonic clock that tests advance.
type clock struct{ at time.Time }

func (c *clock) now() time.Time { return c.at }

// recordingConn records the datagrams that a node sends.
type recordingConn struct {
	net.PacketConn
	sent [][]byte
}

func (c *recordingConn) WriteTo(b []byte, _ net.Addr) (int, error) {
	c.sent = append(c.sent, append([]byte(nil), b...))
	return len(b), nil
}

// node is one entry with the latest state that it received.
type node struct {
	*Node
	conn     *recordingConn
	received State
	state    State
	limits   *limits.Set
}

func newNode(c *clock, name, incarnation string) *node {
	n := &node{conn: &recordingConn{}}
	n.limits = limits.New(name, incarnation, limits.Peers{
		LivePeers: func() []limits.Entry { return n.LivePeers() }, Send: func(to string, m limits.Message, at time.Time) { n.Send(to, m, at) },
		Broadcast: func() {}, BroadcastTime: func() time.Duration { return time.Second }, RoundTrip: func() time.Duration { return 0 },
	}, events.Nop(), c.now)
	n.Node = New(Settings{Name: name, Incarnation: incarnation, Interval: time.Second, SilenceTimeout: 3 * time.Second, Rate: 100}, n.conn,
		func() State { return n.state }, func(_ string, s State) { n.received = s }, n.limits, origin.New(origin.Alone(), events.Nop(), c.now), events.Nop(), c.now)
	return n
}

// deliver sends one message from a to b.
func deliver(t *testing.T, a, b *node) {
	t.Helper()
	a.SetListed(map[string]roster.Entry{b.settings.Name: {Address: "127.0.0.1:9"}})
	a.conn.sent = nil
	a.send(near, far)
	if len(a.conn.sent) != 1 {
		t.Fatalf("%s sent %d messages, want 1", a.settings.Name, len(a.conn.sent))
	}
	b.receiveDatagram(a.conn.sent[0], &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
}

func TestConfirmationIsNotTooRecent(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	confirmed := c.at
	b.state = State{Routes: 7, Confirmed: confirmed}
	c.at = c.at.Add(400 * time.Millisecond)
	deliver(t, a, b)
	c.at = c.at.Add(100 * time.Millisecond)
	deliver(t, b, a)
	if a.received.Routes != routetable.Version(7) {
		t.Fatalf("received route table version %d, want 7", a.received.Routes)
	}
	if a.received.Confirmed.IsZero() || a.received.Confirmed.After(confirmed) {
		t.Errorf("confirmed %s after it was, want not after", a.received.Confirmed.Sub(confirmed))
	}
	if late := confirmed.Sub(a.received.Confirmed); late > 150*time.Millisecond {
		t.Errorf("confirmed %s before it was, want at most the time since the echoed message", late)
	}
}

// A message that was buffered while the process was stopped must not count as fresh. The age of its echo
// shows when it was sent at the earliest.
func TestDelayedMessageIsNotFresh(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, a, b)
	b.state = State{Routes: 7, Confirmed: c.at}
	b.SetListed(map[string]roster.Entry{"a": {Address: "127.0.0.1:9"}})
	b.send(near, far)
	old := b.conn.sent[len(b.conn.sent)-1]
	sent := c.at
	c.at = c.at.Add(time.Minute)
	a.receiveDatagram(old, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	if a.received.Confirmed.After(sent) {
		t.Errorf("confirmed %s after the message was sent", a.received.Confirmed.Sub(sent))
	}
}

// The monotonic clock of a process starts anew with each incarnation, so an echo of an earlier incarnation
// must not confirm routes.
func TestEchoOfEarlierIncarnation(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	c.at = c.at.Add(30 * time.Second)
	deliver(t, a, b)
	b.state = State{Routes: 7, Confirmed: c.at}
	restarted := newNode(c, "a", "2")
	deliver(t, b, restarted)
	if !restarted.received.Confirmed.IsZero() {
		t.Errorf("confirmed at %s after the start, want not at all", restarted.received.Confirmed.Sub(c.at))
	}
}

// With many peers the message interval grows, so that the message rate stays below Settings.Rate. The
// silence timeout grows with it, so that the number of missed messages is the same.
func TestMessagesAreBounded(t *testing.T) {
	s := Settings{Interval: 200 * time.Millisecond, MinInterval: 10 * time.Millisecond, Rate: 200, SilenceTimeout: 1500 * time.Millisecond}
	for _, tc := range []struct {
		name                 string
		peers                int
		every, least, forget time.Duration
	}{
		{"few peers", 3, 200 * time.Millisecond, 15 * time.Millisecond, 1500 * time.Millisecond},
		{"tens of peers", 26, 200 * time.Millisecond, 130 * time.Millisecond, 1500 * time.Millisecond},
		{"hundreds of peers", 349, 1745 * time.Millisecond, 1745 * time.Millisecond, 13087500 * time.Microsecond},
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
	a.state = State{Faults: map[string]time.Time{"e": fault}, Retries: map[string]routing.Use{"llm": {Requests: 12, Extra: 3}}}
	deliver(t, a, b)
	if got := b.received.Faults["e"]; got.Sub(fault).Abs() > time.Millisecond {
		t.Errorf("fault of %s, want %s ago", c.at.Sub(got), c.at.Sub(fault))
	}
	if got := b.received.Retries["llm"]; got != (routing.Use{Requests: 12, Extra: 3}) {
		t.Errorf("retries %+v, want 12 requests and 3 repeats", got)
	}
}

func TestPlannedStopArrives(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, a, b)
	if !b.received.StopBy.IsZero() {
		t.Error("a state without a planned stop arrives with StopBy")
	}
	a.state = State{StopBy: c.at.Add(7 * time.Second)}
	deliver(t, a, b)
	if late := b.received.StopBy.Sub(a.state.StopBy).Abs(); late > time.Millisecond {
		t.Errorf("StopBy is off by %s", late)
	}
}
