package gossip

import (
	"github.com/sparshore/sparshore/internal/roster"
	"net"
	"testing"
	"time"
)

// TestSchedule checks when near and far peers get messages, by urgency and number of peers.
func TestSchedule(t *testing.T) {
	settings := Settings{Interval: 200 * time.Millisecond, MinInterval: 10 * time.Millisecond, UrgentInterval: 100 * time.Millisecond, Rate: 250, SilenceTimeout: 1500 * time.Millisecond}
	for _, tc := range []struct {
		name      string
		peers     [groups]int
		ask       urgency
		near, far time.Duration
	}{
		{"few peers, regular", [groups]int{1, 2}, regular, 200 * time.Millisecond, 200 * time.Millisecond},
		{"few peers, sent soon", [groups]int{1, 2}, soon, 10 * time.Millisecond, 10 * time.Millisecond},
		{"a hundred peers, regular", [groups]int{17, 86}, regular, 200 * time.Millisecond, 344 * time.Millisecond},
		{"a hundred peers, sent soon", [groups]int{17, 86}, soon, 68 * time.Millisecond, 344 * time.Millisecond},
		{"a hundred peers, sent urgently", [groups]int{17, 86}, urgent, 68 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(tc.name, func(t *testing.T) {
			start := time.Now()
			s := schedule{sent: [groups]time.Time{start, start}}
			s.request(tc.ask)
			if got := s.sendAt(near, settings, tc.peers[near]).Sub(start); got != tc.near {
				t.Errorf("near peers get a message after %s, want %s", got, tc.near)
			}
			if got := s.sendAt(far, settings, tc.peers[far]).Sub(start); got != tc.far {
				t.Errorf("far peers get a message after %s, want %s", got, tc.far)
			}
			if due := s.due(settings, tc.peers, start.Add(time.Hour)); len(due) != 2 || s.urgency != [groups]urgency{} {
				t.Errorf("groups %v are due after an hour, urgency %v", due, s.urgency)
			}
		})
	}
}

// TestDelay checks that Delay follows the measured message interval and round-trip time.
func TestDelay(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	const oneWay, interval = 15 * time.Millisecond, 400 * time.Millisecond
	exchange := func(from, to *node) {
		from.SetListed(map[string]roster.Entry{to.settings.Name: {Address: "127.0.0.1:9"}})
		from.send(near, far)
		sent := from.conn.sent[len(from.conn.sent)-1]
		c.at = c.at.Add(oneWay)
		to.receiveDatagram(sent, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
	}
	for range 500 {
		exchange(a, b)
		exchange(b, a)
		c.at = c.at.Add(interval - 2*oneWay)
	}
	got := a.Delay("z", false)
	if want := (interval + 2*oneWay) / 2; (got - want).Abs() > 10*time.Millisecond {
		t.Errorf("delay %s, want about %s", got, want)
	}
	if within, _ := a.DeliveryTime(); within < 2*oneWay+time.Second-5*time.Millisecond {
		t.Errorf("Told returns %s, want at least a regular interval and a round trip", within)
	}
}
