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

var from = &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: 9}

// datagramOf encodes a body of some format as a peer sends it.
func datagramOf(tb testing.TB, version int, body any) []byte {
	tb.Helper()
	b, err := cbor.Marshal(body)
	if err != nil {
		tb.Fatal(err)
	}
	d, err := encode(version, echo{}, b)
	if err != nil {
		tb.Fatal(err)
	}
	return d
}

// TestPeerThatClaimsManyEntries: what a peer names counts for nothing until it is heard. It takes
// bounded memory, and makes messages to the others no rarer.
func TestPeerThatClaimsManyEntries(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	say(t, b, a)
	before := a.counts()
	for i := range 100 {
		claims := membersBody{From: "b", Sum: 1}
		for k := range 800 {
			claims.Entries = append(claims.Entries, wireEntry{Name: fmt.Sprintf("ghost-%d-%d", i, k), Address: "127.0.0.1:9", Zone: "z", MilliCores: 1 << 40})
		}
		claims.Entries = append(claims.Entries,
			wireEntry{Name: strings.Repeat("n", 1<<10), Address: "127.0.0.1:9"}, wireEntry{Name: "named", Address: "ghost.example:9"},
			wireEntry{Name: "six", Address: "[::1]:9"}, wireEntry{Name: "none", Address: "127.0.0.1:0"}, wireEntry{Address: "127.0.0.1:9"})
		a.receiveDatagram(datagramOf(t, formatMembers, claims), from)
	}
	if known := len(a.peers); known > mostNamed+1 {
		t.Errorf("%d entries known, want %d at most", known, mostNamed+1)
	}
	if got := a.counts(); got != before {
		t.Errorf("%v entries share the messages, want %v", got, before)
	}
	a.wire.sent = nil
	a.send(near, far)
	if len(a.wire.sent) != 1 {
		t.Errorf("%d regular messages, want one to the entry that is heard", len(a.wire.sent))
	}
	c.at = c.at.Add(expectedFor + time.Second)
	a.compare()
	if known := len(a.peers); known != 1 {
		t.Errorf("%d entries known once the others did not answer, want 1", known)
	}
}

// TestBundlesThatMoveNothing covers states that were passed on and cannot be true.
func TestBundlesThatMoveNothing(t *testing.T) {
	state := func(name, life string, sent int64) wireState {
		b, err := cbor.Marshal(body{From: name, Life: life, Sent: sent, AgeMS: -1, Leaving: []string{"u"}})
		if err != nil {
			t.Fatal(err)
		}
		return wireState{Version: format, Body: b}
	}
	held := func(s wireState, us int64) wireState {
		s.HeldUS = us
		return s
	}
	for _, tc := range []struct {
		name string
		wireState
		want bool
	}{
		{"a newer state", state("b", "1", 2000), true},
		{"the state that is known", state("b", "1", 1), false},
		{"of an entry that is not known", state("ghost", "1", 2000), false},
		{"of another life", state("b", "2", 2000), false},
		{"of a time to come", state("b", "1", int64(time.Hour)), false},
		{"of the end of time", state("b", "1", math.MaxInt64), false},
		{"held for longer than it was underway", held(state("b", "1", 2000), time.Hour.Microseconds()), false},
		{"held for a negative time", held(state("b", "1", 2000), -1), false},
		{"of no format", wireState{Version: 99, Body: []byte{0xa0}}, false},
		{"of no body", wireState{Version: format, Body: []byte{0x01}}, false},
		{"of itself", state("a", "1", 2000), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := &clock{at: time.Now()}
			a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
			say(t, b, a)
			a.receiveDatagram(datagramOf(t, formatBundle, bundleBody{From: "b", Part: toZone, States: []wireState{tc.wireState}}), from)
			if got := len(a.heard.Leaving) > 0; got != tc.want {
				t.Errorf("taken over: %v, want %v", got, tc.want)
			}
			// What the entry itself says is heard after all of these.
			c.at = c.at.Add(100 * time.Millisecond)
			b.state = State{Leaving: []string{"v"}}
			say(t, b, a)
			if len(a.heard.Leaving) != 1 || a.heard.Leaving[0] != "v" {
				t.Errorf("heard %v of the entry itself", a.heard.Leaving)
			}
		})
	}
}

// TestSilenceThatIsNotTrue: an entry that is heard is not forgotten, whoever says that it is silent.
func TestSilenceThatIsNotTrue(t *testing.T) {
	c := &clock{at: time.Now()}
	a, b := newNode(c, "a", "1"), newNode(c, "b", "1")
	say(t, b, a)
	a.receiveDatagram(datagramOf(t, formatBundle, bundleBody{From: "b", Silent: []wireSilent{{Name: "b", Life: "1"}, {Name: "a", Life: "1"}, {Name: "ghost"}}}), from)
	c.at = c.at.Add(a.settings.Every)
	a.send(near, far)
	if len(a.Peers()) != 1 {
		t.Error("an entry is forgotten that was heard a message ago")
	}
}

// FuzzMembersAndBundles reads what no entry sends.
func FuzzMembersAndBundles(f *testing.F) {
	f.Add(datagramOf(f, formatMembers, membersBody{From: "b", Sum: 1, Entries: []wireEntry{{Name: "c", Address: "127.0.0.1:9"}}, Asks: true}))
	f.Add(datagramOf(f, formatBundle, bundleBody{From: "b", States: []wireState{{Version: format, Body: encodeBodyOf(f)}}, Silent: []wireSilent{{Name: "b", Life: "1"}}}))
	f.Add(datagramOf(f, formatLimits, limitsBody{From: "b"}))
	f.Fuzz(func(t *testing.T, b []byte) {
		c := &clock{at: time.Now()}
		a, other := newNode(c, "a", "1"), newNode(c, "b", "1")
		say(t, other, a)
		a.receiveDatagram(b, from)
		if len(a.peers) > mostNamed+2 {
			t.Errorf("%d entries known", len(a.peers))
		}
	})
}

// encodeBodyOf is a state with words of requests under which upstreams ended.
func encodeBodyOf(tb testing.TB) []byte {
	tb.Helper()
	now := time.Now()
	_, b, err := encodeBody(Settings{Name: "b", Life: "1"}, State{Suspects: []quarantine.Word{{Ends: map[string]time.Time{"e": now}}}}, time.Second, now)
	if err != nil {
		tb.Fatal(err)
	}
	return b
}
