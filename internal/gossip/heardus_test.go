package gossip

import (
	"testing"
	"time"
)

// TestWhenOthersHeardUs covers what an entry knows of when another one last heard it: the time at
// which it sent the message that the other one tells of, and nothing of an earlier life.
func TestWhenOthersHeardUs(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	say(t, b, a)
	if !a.heard.HeardUs.IsZero() {
		t.Errorf("b heard a at %s, and a has said nothing", a.heard.HeardUs)
	}
	sent := c.at
	say(t, a, b)
	c.at = c.at.Add(5 * time.Second)
	say(t, b, a)
	if got := a.heard.HeardUs; got.Sub(sent).Abs() > time.Microsecond {
		t.Errorf("b heard a at %s, want %s", got, sent)
	}
	later := newNode(c, "a", "2")
	say(t, b, later)
	if !later.heard.HeardUs.IsZero() {
		t.Error("what b heard of an earlier life counts for the later one")
	}
}
