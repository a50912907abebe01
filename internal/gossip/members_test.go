package gossip

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/roster"
)

// hears makes a node hear from another entry.
func (n *node) hears(t *testing.T, name string, port int) {
	t.Helper()
	_, b, err := encodeBody(Settings{Name: name, Life: "1"}, State{Zone: "z"}, time.Second, n.now())
	if err != nil {
		t.Fatal(err)
	}
	d, err := encode(format, echo{}, b)
	if err != nil {
		t.Fatal(err)
	}
	n.receiveDatagram(d, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
}

// converse lets a compare with b until both have nothing more to say, and returns the bytes of it.
func converse(a, b *node) (bytes int) {
	a.wire.sent, b.wire.sent = nil, nil
	a.mu.Lock()
	a.writeMembers(a.peers[b.settings.Name], membersBody{From: a.settings.Name, Sum: a.sum()})
	a.mu.Unlock()
	for from, to := a, b; len(from.wire.sent) > 0; from, to = to, from {
		for _, d := range from.wire.sent {
			bytes += len(d)
			to.receiveDatagram(d, &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9})
		}
		from.wire.sent = nil
	}
	return bytes
}

// TestComparisonIsSmall: entries that hear the same ones say next to nothing, and the others no more
// than the marks and what lacks. With whole lists each comparison in a cut took 25 KB.
func TestComparisonIsSmall(t *testing.T) {
	const entries = 412
	for _, tc := range []struct {
		name string
		// onlyA and onlyB are entries that only one of both hears.
		onlyA, onlyB, most int
	}{
		{"both hear the same", 0, 0, 64},
		{"one hears three more", 3, 0, 5000},
		{"each hears some that the other does not", 3, 5, 5200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
			say(t, a, b)
			say(t, b, a)
			for i := range entries {
				name := fmt.Sprintf("front-zone-a-%d", i)
				if i >= tc.onlyB {
					a.hears(t, name, 1000+i)
				}
				if i < tc.onlyB || i >= tc.onlyA+tc.onlyB {
					b.hears(t, name, 1000+i)
				}
			}
			bytes := converse(a, b)
			t.Logf("%d bytes", bytes)
			if bytes > tc.most {
				t.Errorf("%d bytes, want %d at most", bytes, tc.most)
			}
			if named := a.pending(); named != tc.onlyB {
				t.Errorf("a learns of %d, want %d", named, tc.onlyB)
			}
			if named := b.pending(); named != tc.onlyA {
				t.Errorf("b learns of %d, want %d", named, tc.onlyA)
			}
		})
	}
}

// TestSizesAreLearnt: an entry that was heard before it was found in the list is known by what
// another one tells of its machine.
func TestSizesAreLearnt(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	say(t, a, b)
	say(t, b, a)
	large := roster.NewSize(1.6, 1000)
	a.hears(t, "other", 1000)
	b.Know(map[string]roster.Entry{"other": {Address: "127.0.0.1:1000", Size: large}, "a": {Address: "127.0.0.1:9"}})
	b.hears(t, "other", 1000)
	converse(a, b)
	if got := a.Peers()["other"].Size; got != large {
		t.Errorf("the machine is known as %+v, want %+v", got, large)
	}
}
