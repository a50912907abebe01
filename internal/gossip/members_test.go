package gossip

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// receiveFrom delivers a state of another entry to a node.
func (n *node) receiveFrom(t *testing.T, name string, port int) {
	t.Helper()
	_, b, err := encodeBody(Settings{Name: name, Incarnation: "1"}, State{Zone: "z"}, time.Second, n.now())
	if err != nil {
		t.Fatal(err)
	}
	d, err := encodeDatagram(formatState, echo{}, b)
	if err != nil {
		t.Fatal(err)
	}
	n.receiveDatagram(d, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
}

// compareUntilDone runs a comparison of a with b to its end, and returns the number of bytes sent.
func compareUntilDone(a, b *node) (bytes int) {
	a.conn.sent, b.conn.sent = nil, nil
	a.mu.Lock()
	a.writeMembers(a.peers[b.settings.Name], membersBody{From: a.settings.Name, Sum: a.checksum()})
	a.mu.Unlock()
	for from, to := a, b; len(from.conn.sent) > 0; from, to = to, from {
		for _, d := range from.conn.sent {
			bytes += len(d)
			to.receiveDatagram(d, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
		}
		from.conn.sent = nil
	}
	return bytes
}

// TestComparisonIsSmall bounds the bytes of a comparison. Two entries with the same live peers exchange only
// checksums, others only digests and the missing entries. If they exchanged whole lists, each comparison
// during a network partition would take 25 KB.
func TestComparisonIsSmall(t *testing.T) {
	const entries = 412
	for _, tc := range []struct {
		name string
		// onlyA and onlyB are the numbers of entries that are live for only one of the two.
		onlyA, onlyB, maxBytes int
	}{
		{"same live entries", 0, 0, 64},
		{"one has three more", 3, 0, 5000},
		{"each has some that the other lacks", 3, 5, 5200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
			deliver(t, a, b)
			deliver(t, b, a)
			for i := range entries {
				name := fmt.Sprintf("front-zone-a-%d", i)
				if i >= tc.onlyB {
					a.receiveFrom(t, name, 1000+i)
				}
				if i < tc.onlyB || i >= tc.onlyA+tc.onlyB {
					b.receiveFrom(t, name, 1000+i)
				}
			}
			bytes := compareUntilDone(a, b)
			t.Logf("%d bytes", bytes)
			if bytes > tc.maxBytes {
				t.Errorf("%d bytes, want %d at most", bytes, tc.maxBytes)
			}
			if unverified := a.unverifiedCount(); unverified != tc.onlyB {
				t.Errorf("a learns of %d entries, want %d", unverified, tc.onlyB)
			}
			if unverified := b.unverifiedCount(); unverified != tc.onlyA {
				t.Errorf("b learns of %d entries, want %d", unverified, tc.onlyA)
			}
		})
	}
}

// TestSizesAreLearnt checks that an entry which has sent a state before it was listed gets its machine size
// from a comparison with a peer that has read the list.
func TestSizesAreLearnt(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, a, b)
	deliver(t, b, a)
	want := roster.NewSize(1.6, 1000)
	a.receiveFrom(t, "other", 1000)
	b.SetListed(map[string]roster.Entry{"other": {Address: "127.0.0.1:1000", Size: want}, "a": {Address: "127.0.0.1:9"}})
	b.receiveFrom(t, "other", 1000)
	compareUntilDone(a, b)
	if got := a.Peers()["other"].Size; got != want {
		t.Errorf("machine size %+v, want %+v", got, want)
	}
}
