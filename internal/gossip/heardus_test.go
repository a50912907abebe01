package gossip

import (
	"testing"
	"time"
)

// TestTimeOfLastReceivedMessage checks LastReceived: it is the send time of the message that a peer echoes, and
// zero if that message was sent by an earlier incarnation.
func TestTimeOfLastReceivedMessage(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, b, a)
	if !a.received.LastReceived.IsZero() {
		t.Errorf("LastReceived is %s before a has sent anything", a.received.LastReceived)
	}
	sent := c.at
	deliver(t, a, b)
	c.at = c.at.Add(5 * time.Second)
	deliver(t, b, a)
	if got := a.received.LastReceived; got.Sub(sent).Abs() > time.Microsecond {
		t.Errorf("LastReceived is %s, want %s", got, sent)
	}
	later := newNode(c, "a", "2")
	deliver(t, b, later)
	if !later.received.LastReceived.IsZero() {
		t.Error("the echo of an earlier incarnation sets LastReceived of the later one")
	}
}
