package sidecar

import (
	"context"
	"sync"

	"github.com/sparshore/sparshore/internal/peer"
)

// outbox batches the frames of all streams on one connection: frames that become ready while a
// message is being written are sent together in the next message. A decode step of a full batch
// then costs a few writes instead of one for each stream.
type outbox struct {
	mu    sync.Mutex
	notes []*tokensNote
	// sent is closed when the frames that are queued now have been written.
	sent chan struct{}
	wake chan struct{}
}

func newOutbox() *outbox {
	return &outbox{sent: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// put queues a frame. The returned channel is closed when the frame has been written, so that a
// stream never queues more than one frame.
func (o *outbox) put(n *tokensNote) <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.notes = append(o.notes, n)
	select {
	case o.wake <- struct{}{}:
	default:
	}
	return o.sent
}

func (o *outbox) take() ([]*tokensNote, chan struct{}) {
	o.mu.Lock()
	defer o.mu.Unlock()
	notes, sent := o.notes, o.sent
	o.notes, o.sent = nil, make(chan struct{})
	return notes, sent
}

// run writes frames until the connection ends.
func (o *outbox) run(c *peer.Conn) {
	for {
		select {
		case <-c.Done():
			return
		case <-o.wake:
		}
		notes, sent := o.take()
		if err := c.Notify(context.Background(), methodTokens, notes); err != nil {
			c.Close()
			return
		}
		close(sent)
	}
}
