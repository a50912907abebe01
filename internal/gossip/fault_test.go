package gossip

import (
	"testing"
	"time"
)

// A panic in the handler of a message must not end the receiver. Otherwise one message that causes it ends
// every entry to which it is sent.
func TestPanicDoesNotStopReceiver(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	received := 0
	b.Node.received = func(string, State) {
		received++
		if received == 1 {
			panic("oops")
		}
	}
	deliver(t, a, b)
	deliver(t, a, b)
	if received != 2 {
		t.Errorf("%d messages received, want 2", received)
	}
}
