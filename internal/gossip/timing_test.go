package gossip

import (
	"github.com/sparshore/sparshore/internal/roster"
	"net"
	"testing"
	"time"
)

// TestSchedule covers when peers of the own zone and of others get messages.
func TestSchedule(t *testing.T) {
	settings := Settings{Every: 200 * time.Millisecond, Least: 10 * time.Millisecond, Urgent: 100 * time.Millisecond, Rate: 250, Forget: 1500 * time.Millisecond}
	for _, tc := range []struct {
		name      string
		peers     [groups]int
		ask       asked
		near, far time.Duration
	}{
		{"a few, nothing new", [groups]int{1, 2}, nothing, 200 * time.Millisecond, 200 * time.Millisecond},
		{"a few, nudged", [groups]int{1, 2}, nudge, 10 * time.Millisecond, 10 * time.Millisecond},
		{"a hundred, nothing new", [groups]int{17, 86}, nothing, 200 * time.Millisecond, 344 * time.Millisecond},
		{"a hundred, nudged", [groups]int{17, 86}, nudge, 68 * time.Millisecond, 344 * time.Millisecond},
		{"a hundred, urged", [groups]int{17, 86}, urge, 68 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			s := schedule{sent: [groups]time.Time{start, start}}
			s.ask(tc.ask)
			if got := s.at(near, settings, tc.peers[near]).Sub(start); got != tc.near {
				t.Errorf("the own zone gets a message after %s, want %s", got, tc.near)
			}
			if got := s.at(far, settings, tc.peers[far]).Sub(start); got != tc.far {
				t.Errorf("other zones get a message after %s, want %s", got, tc.far)
			}
			if due := s.due(settings, tc.peers, start.Add(time.Hour)); len(due) != 2 || s.asked != [groups]asked{} {
				t.Errorf("%v are due after an hour, asked %v", due, s.asked)
			}
		})
	}
}

// TestDelay: how old the news of a zone's entries is follows from what was measured.
func TestDelay(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	const way, between = 15 * time.Millisecond, 400 * time.Millisecond
	carry := func(from, to *node) {
		from.Know(map[string]roster.Entry{to.settings.Name: {Address: "127.0.0.1:9"}})
		from.send(near, far)
		sent := from.wire.sent[len(from.wire.sent)-1]
		c.at = c.at.Add(way)
		to.receiveDatagram(sent, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	}
	for range 500 {
		carry(a, b)
		carry(b, a)
		c.at = c.at.Add(between - 2*way)
	}
	got := a.Delay("z", false)
	if want := (between + 2*way) / 2; (got - want).Abs() > 10*time.Millisecond {
		t.Errorf("news is %s old, want about %s", got, want)
	}
	if told, _ := a.Told(); told < 2*way+time.Second-5*time.Millisecond {
		t.Errorf("all are told within %s, want the time of two messages at least", told)
	}
}
