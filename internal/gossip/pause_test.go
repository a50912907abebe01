package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// pauses are the lengths of the pauses that tests put between two steps of a sender.
var pauses = []time.Duration{0, 50 * time.Millisecond, time.Second, 4 * time.Second}

// pauseAtReading pauses a node after it has read its clock for the nth time. Unless the node holds its lock then,
// arrives delivers messages during the pause. The returned function reports whether the clock was read that often.
func pauseAtReading(n *node, c *clock, nth int, pause time.Duration, arrives func()) (reached func() bool) {
	readings := 0
	n.now = func() time.Time {
		now := c.at
		readings++
		if readings != nth {
			return now
		}
		c.at = c.at.Add(pause)
		if n.mu.TryLock() {
			n.mu.Unlock()
			n.now = c.now
			arrives()
		}
		return now
	}
	return func() bool { return readings >= nth }
}

// confirmedByPreviousRelease returns the time of confirmation that the previous release computes for a message:
// it does not use how long the echoed message was held.
func confirmedByPreviousRelease(t *testing.T, receiver *node, b []byte) time.Time {
	t.Helper()
	d, err := decodeDatagram(b)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeState(d)
	if err != nil {
		t.Fatal(err)
	}
	return receiver.start.Add(time.Duration(m.echo.Sent) - time.Duration(m.body.AgeMS)*time.Millisecond)
}

// A sender that was paused after it had computed the age of its routes echoed a message that had arrived during the
// pause, and the receiver took the routes for confirmed later than they were.
func TestPausedSenderDoesNotRenewConfirmation(t *testing.T) {
	for _, pause := range pauses {
		for nth, more := 1, true; more; nth++ {
			t.Run(fmt.Sprintf("%s at reading %d", pause, nth), func(t *testing.T) {
				c := &clock{at: time.Now()}
				a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
				deliver(t, a, b)
				b.state = State{Routes: 7, Confirmed: c.at}
				c.at = c.at.Add(400 * time.Millisecond)
				b.SetListed(map[string]roster.Entry{"a": {Address: "127.0.0.1:9"}})
				reached := pauseAtReading(b, c, nth, pause, func() { deliver(t, a, b) })
				b.conn.sent = nil
				b.send(near, far)
				more = reached()
				a.receiveDatagram(b.conn.sent[0], anyAddress)
				if late := a.received.Confirmed.Sub(b.state.Confirmed); late > 0 {
					t.Errorf("confirmed %s later than it was", late)
				}
				if late := confirmedByPreviousRelease(t, a, b.conn.sent[0]).Sub(b.state.Confirmed); late > 0 {
					t.Errorf("an entry of the previous release takes it for confirmed %s later than it was", late)
				}
			})
		}
	}
}

// An entry of the previous release may echo a message that arrived after it had taken the age of its routes. It
// then states a negative time for which it held the echoed message.
func TestAgeFromBeforeTheEchoOfPreviousRelease(t *testing.T) {
	for _, pause := range pauses {
		t.Run(pause.String(), func(t *testing.T) {
			c := &clock{at: time.Now()}
			a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
			confirmed := c.at
			c.at = c.at.Add(400 * time.Millisecond)
			encodedAt := c.at
			version, body, err := encodeBody(b.settings, State{Routes: 7, Confirmed: confirmed}, encodedAt.Sub(b.start), encodedAt)
			if err != nil {
				t.Fatal(err)
			}
			c.at = c.at.Add(pause)
			deliver(t, a, b)
			p := b.peers["a"]
			d, err := encodeDatagram(version, echo{Sent: p.echoSent, Life: p.incarnation, HeldUS: encodedAt.Sub(p.Heard).Microseconds()}, body)
			if err != nil {
				t.Fatal(err)
			}
			a.receiveDatagram(d, anyAddress)
			if late := a.received.Confirmed.Sub(confirmed); late > 0 {
				t.Errorf("confirmed %s later than it was", late)
			}
			if early := confirmed.Sub(a.received.Confirmed); early > 2*time.Millisecond {
				t.Errorf("confirmed %s earlier than it was", early)
			}
		})
	}
}

// meshConn delivers each datagram at once to the node with the receiver's address.
type meshConn struct {
	net.PacketConn
	own   net.Addr
	nodes map[string]*node
}

func (c meshConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	c.nodes[addr.String()].receiveDatagram(b, c.own)
	return len(b), nil
}

// newMesh returns nodes that reach each other and have the routes that were confirmed now.
func newMesh(c *clock, size int) (mesh []*node) {
	nodes, listed := map[string]*node{}, map[string]roster.Entry{}
	for i := range size {
		addr := &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9000 + i}
		n := newNode(c, fmt.Sprint("e", i), "1")
		n.conn, n.state = nil, State{Routes: 7, Confirmed: c.at}
		n.Node.conn = meshConn{own: addr, nodes: nodes}
		n.Node.received = func(_ string, s State) {
			if s.Confirmed.After(n.state.Confirmed) {
				n.state.Confirmed = s.Confirmed
			}
		}
		nodes[addr.String()], listed[n.settings.Name] = n, roster.Entry{Address: addr.String()}
		mesh = append(mesh, n)
	}
	for _, n := range mesh {
		n.SetListed(listed)
	}
	return mesh
}

// Entries that all lost the store confirmed each other's routes anew with each pause of a sender.
func TestEntriesWithoutStoreDoNotRenewConfirmations(t *testing.T) {
	for _, size := range []int{4, 10} {
		for _, pause := range pauses {
			t.Run(fmt.Sprintf("%d entries %s", size, pause), func(t *testing.T) {
				rng := rand.New(rand.NewPCG(1, uint64(size)))
				c := &clock{at: time.Now()}
				confirmed := c.at
				mesh := newMesh(c, size)
				round := func(paused *node) {
					for _, n := range mesh {
						if n == paused {
							continue
						}
						n.send(near, far)
						c.at = c.at.Add(time.Millisecond)
					}
				}
				for range 100 {
					paused := mesh[rng.IntN(size)]
					pauseAtReading(paused, c, 1+rng.IntN(3), pause, func() { round(paused) })
					paused.send(near, far)
					paused.now = c.now
					round(nil)
				}
				for _, n := range mesh {
					if late := n.state.Confirmed.Sub(confirmed); late > 0 {
						t.Errorf("%s: confirmed %s later than the store did", n.settings.Name, late)
					}
				}
			})
		}
	}
}

// upstreamGrantedBy returns the name of an upstream whose permits the first entry grants, and not the second.
func upstreamGrantedBy(granter, other string) string {
	for i := 0; ; i++ {
		if name := fmt.Sprint("u", i); roster.RendezvousHash(name, granter) > roster.RendezvousHash(name, other) {
			return name
		}
	}
}

// A granter repeated its answer with the ages of the first one. The asking entry counted them from its repeated
// question, and took the end of a limit for later than a limit that it had read itself meanwhile.
func TestRepeatedAnswerDoesNotEndLaterLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &clock{at: time.Now()}
		asking, granter := newNode(c, "a", "1"), newNode(c, "b", "1")
		upstream := upstreamGrantedBy("b", "a")
		for _, n := range []*node{asking, granter} {
			n.limits.SetEntryCount(2)
			n.limits.NoteLimit(upstream, 3.2)
		}
		for range 2 {
			sendRound(t, asking, granter)
			sendRound(t, granter, asking)
		}
		advance := func(d time.Duration) {
			time.Sleep(d)
			c.at = c.at.Add(d)
			synctest.Wait()
		}
		advance(time.Millisecond)
		granter.limits.NoteNoLimit(upstream, c.at)
		advance(time.Millisecond)

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		asking.conn.sent, granter.conn.sent = nil, nil
		go func() { _ = asking.limits.Take(ctx, upstream) }()
		synctest.Wait()
		granter.receiveDatagram(asking.conn.sent[0], anyAddress)
		advance(10 * time.Millisecond)
		asking.limits.NoteLimit(upstream, 2.5)
		advance(20 * time.Millisecond)
		if len(asking.conn.sent) != 2 || len(granter.conn.sent) != 1 {
			t.Fatalf("%d questions and %d answers, want a repeated question and an answer that was lost", len(asking.conn.sent), len(granter.conn.sent))
		}
		questions := asking.conn.sent
		sendRound(t, asking, granter)
		granter.conn.sent = nil
		granter.receiveDatagram(questions[1], anyAddress)
		asking.receiveDatagram(granter.conn.sent[0], anyAddress)
		if got := asking.limits.Rate(upstream); got != 2.5 {
			t.Errorf("rate %v after the end of an earlier limit, want 2.5", got)
		}
	})
}

// A delegate read its clock before it waited for the lock. States that were queued meanwhile got a negative age,
// and their receivers rejected them.
func TestStateQueuedWhileForwardingStartsIsNotRejected(t *testing.T) {
	c := &clock{at: time.Now()}
	delegate, other, origin := newNode(c, "d", "1"), newNode(c, "e", "1"), newNode(c, "o", "1")
	for _, n := range []*node{other, origin} {
		deliver(t, n, delegate)
	}
	deliver(t, origin, other)
	c.at = c.at.Add(100 * time.Millisecond)
	uptime := c.at.Sub(origin.start)
	version, body, err := encodeBody(origin.settings, State{Leaving: []string{"i-1"}}, uptime, c.at)
	if err != nil {
		t.Fatal(err)
	}
	m, err := decodeState(datagram{Format: version, Body: body})
	if err != nil {
		t.Fatal(err)
	}
	pauseAtReading(delegate, c, 1, 50*time.Millisecond, func() {
		delegate.receiveForwarded(m, toOwnDelegates, stateUpdate{version: version, body: body, made: c.at})
	})
	delegate.conn.sent = nil
	delegate.forward()
	if len(delegate.conn.sent) == 0 {
		// The clock was read under the lock, so the state is forwarded in the next round.
		delegate.now = c.now
		delegate.receiveForwarded(m, toOwnDelegates, stateUpdate{version: version, body: body, made: c.at})
		delegate.forward()
	}
	for _, b := range delegate.conn.sent {
		other.receiveDatagram(b, anyAddress)
	}
	if got := other.received.Leaving; len(got) != 1 {
		t.Errorf("leaving upstreams %v, want i-1", got)
	}
}
