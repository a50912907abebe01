package gossip

import (
	"fmt"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/quarantine"
)

var senderAddr = &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}

// newDatagram encodes a body of a given format as a peer sends it.
func newDatagram(tb testing.TB, version int, body any) []byte {
	tb.Helper()
	b, err := cbor.Marshal(body)
	if err != nil {
		tb.Fatal(err)
	}
	d, err := encodeDatagram(version, echo{}, b)
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// TestPeerThatClaimsManyEntries guards against a peer that names many entries which do not exist. They must
// take bounded memory, must not lengthen the message intervals of the others, and must be dropped.
func TestPeerThatClaimsManyEntries(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, b, a)
	before := a.groupSizes()
	for i := range 100 {
		named := membersBody{From: "b", Sum: 1}
		for k := range 800 {
			named.Entries = append(named.Entries, wireEntry{Name: fmt.Sprintf("ghost-%d-%d", i, k), Address: "127.0.0.1:9", Zone: "z", MilliCores: 1 << 40})
		}
		named.Entries = append(named.Entries,
			wireEntry{Name: strings.Repeat("n", 1<<10), Address: "127.0.0.1:9"}, wireEntry{Name: "named", Address: "ghost.example:9"},
			wireEntry{Name: "six", Address: "[::1]:9"}, wireEntry{Name: "none", Address: "127.0.0.1:0"}, wireEntry{Address: "127.0.0.1:9"})
		a.receiveDatagram(newDatagram(t, formatMembers, named), senderAddr)
	}
	if known := len(a.peers); known > maxUnverified+1 {
		t.Errorf("%d entries known, want %d at most", known, maxUnverified+1)
	}
	if got := a.groupSizes(); got != before {
		t.Errorf("group sizes %v, want %v", got, before)
	}
	a.conn.sent = nil
	a.send(near, far)
	if len(a.conn.sent) != 1 {
		t.Errorf("%d regular messages, want one to the live entry", len(a.conn.sent))
	}
	c.at = c.at.Add(expectedPeriod + time.Second)
	a.compare()
	if known := len(a.peers); known != 1 {
		t.Errorf("%d entries known after the unverified ones timed out, want 1", known)
	}
}

// TestInvalidForwardedStates checks that forwarded states with impossible values are ignored, and that
// none of them prevents a later state of the entry itself from being stored.
func TestInvalidForwardedStates(t *testing.T) {
	state := func(name, incarnation string, sent int64) wireState {
		b, err := cbor.Marshal(stateBody{From: name, Life: incarnation, Sent: sent, AgeMS: -1, Leaving: []string{"u"}})
		if err != nil {
			t.Fatal(err)
		}
		return wireState{Version: formatState, Body: b}
	}
	withAge := func(s wireState, us int64) wireState {
		s.HeldUS = us
		return s
	}
	for _, tc := range []struct {
		name string
		wireState
		want bool
	}{
		{"a newer state", state("b", "1", 2000), true},
		{"the stored state", state("b", "1", 1), false},
		{"unknown entry", state("ghost", "1", 2000), false},
		{"another incarnation", state("b", "2", 2000), false},
		{"send time one hour ahead", state("b", "1", int64(time.Hour)), false},
		{"largest send time", state("b", "1", math.MaxInt64), false},
		{"age above the maximum", withAge(state("b", "1", 2000), time.Hour.Microseconds()), false},
		{"negative age", withAge(state("b", "1", 2000), -1), false},
		{"unknown format", wireState{Version: 99, Body: []byte{0xa0}}, false},
		{"invalid body", wireState{Version: formatState, Body: []byte{0x01}}, false},
		{"state of the receiver itself", state("a", "1", 2000), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
			deliver(t, b, a)
			a.receiveDatagram(newDatagram(t, formatBundle, bundleBody{From: "b", Part: toZone, States: []wireState{tc.wireState}}), senderAddr)
			if got := len(a.received.Leaving) > 0; got != tc.want {
				t.Errorf("stored: %v, want %v", got, tc.want)
			}
			// A later state that the entry itself sends must be stored in every case.
			c.at = c.at.Add(100 * time.Millisecond)
			b.state = State{Leaving: []string{"v"}}
			deliver(t, b, a)
			if len(a.received.Leaving) != 1 || a.received.Leaving[0] != "v" {
				t.Errorf("leaving upstreams %v from the entry itself, want [v]", a.received.Leaving)
			}
		})
	}
}

// TestFalseSilenceReport checks that an entry whose messages arrive stays live, whoever reports it silent.
func TestFalseSilenceReport(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	deliver(t, b, a)
	a.receiveDatagram(newDatagram(t, formatBundle, bundleBody{From: "b", Silent: []wireSilent{{Name: "b", Life: "1"}, {Name: "a", Life: "1"}, {Name: "ghost"}}}), senderAddr)
	c.at = c.at.Add(a.settings.Interval)
	a.send(near, far)
	if len(a.Peers()) != 1 {
		t.Error("an entry became silent one regular interval after its message")
	}
}

// FuzzMembersAndBundles checks that arbitrary datagrams neither end the receiver nor add many entries.
func FuzzMembersAndBundles(f *testing.F) {
	f.Add(newDatagram(f, formatMembers, membersBody{From: "b", Sum: 1, Entries: []wireEntry{{Name: "c", Address: "127.0.0.1:9"}}, Asks: true}))
	f.Add(newDatagram(f, formatBundle, bundleBody{From: "b", States: []wireState{{Version: formatState, Body: bodyWithSuspects(f)}}, Silent: []wireSilent{{Name: "b", Life: "1"}}}))
	f.Add(newDatagram(f, formatLimits, limitsBody{From: "b"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &clock{at: time.Now()}
		a, other := newNode(c, "a", "1"), newNode(c, "b", "1")
		deliver(t, other, a)
		a.receiveDatagram(b, senderAddr)
		if len(a.peers) > maxUnverified+2 {
			t.Errorf("%d entries known", len(a.peers))
		}
	})
}

// bodyWithSuspects returns the encoded body of a state with a suspect.
func bodyWithSuspects(tb testing.TB) []byte {
	tb.Helper()
	now := time.Now()
	_, b, err := encodeBody(Settings{Name: "b", Incarnation: "1"}, State{Suspects: []quarantine.Report{{Crashes: map[string]time.Time{"e": now}}}}, time.Second, now)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}
