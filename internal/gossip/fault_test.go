package gossip

import (
	"testing"
	"time"
)

// A message that an entry fails over ended it, and each other entry that it was sent to.
func TestMessageThatEndsNoReader(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	taken := 0
	b.Node.heard = func(string, State) {
		taken++
		if taken == 1 {
			panic("oops")
		}
	}
	say(t, a, b)
	say(t, a, b)
	if taken != 2 {
		t.Errorf("%d messages taken, want 2", taken)
	}
}
