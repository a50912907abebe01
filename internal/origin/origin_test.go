package origin

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/events"
)

// network connects Sets; it loses a part of the messages and delivers the others after some time.
type network struct {
	t     *testing.T
	loss  float64
	delay time.Duration

	mu   sync.Mutex
	rng  *rand.Rand
	sets map[string]*Set
	// silent lists the entries that exist and do not answer, and cut those that nothing reaches or leaves.
	silent, cut map[string]bool
	sent        int
}

func newNetwork(t *testing.T, entries int) *network {
	n := &network{t: t, delay: time.Millisecond, rng: rand.New(rand.NewPCG(1, 2)), sets: map[string]*Set{}, silent: map[string]bool{}, cut: map[string]bool{}}
	for i := range entries {
		n.start(entryName(i))
	}
	return n
}

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

// start starts an entry with an empty memory.
func (n *network) start(name string) *Set {
	names := func(include func(other string) bool) func() []string {
		return func() []string {
			n.mu.Lock()
			defer n.mu.Unlock()
			var out []string
			for other := range n.sets {
				if other != name && include(other) {
					out = append(out, other)
				}
			}
			slices.Sort(out)
			return out
		}
	}
	s := New(Peers{
		Live:      names(func(other string) bool { return !n.cut[name] && !n.cut[other] }),
		Known:     names(func(string) bool { return true }),
		Send:      func(to string, m Message) { n.send(name, to, m) },
		RoundTrip: func() time.Duration { return 2 * n.delay },
	}, events.Nop(), time.Now)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sets[name] = s
	return s
}

func (n *network) send(from, to string, m Message) {
	b, err := cbor.Marshal(m)
	if err != nil {
		n.t.Error(err)
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent++
	receiver := n.sets[to]
	if receiver == nil || n.silent[to] || n.cut[from] || n.cut[to] || n.rng.Float64() < n.loss {
		return
	}
	go func() {
		time.Sleep(n.delay)
		var m Message
		if err := cbor.Unmarshal(b, &m); err != nil {
			n.t.Error(err)
			return
		}
		receiver.Receive(from, m)
	}()
}

// kill ends an entry.
func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.sets, name)
}

var testOrigin = Origin{Service: "llm", Software: "v1"}

func (n *network) began(name, request string) {
	n.sets[name].Began(KeyOf(request), testOrigin, time.Now().Add(30*time.Second))
}

// TestOriginOfStreamIsLost guards against streams whose software version nobody knows once the entry that
// began them is killed, starts again or loses messages.
func TestOriginOfStreamIsLost(t *testing.T) {
	for _, tc := range []struct {
		name    string
		entries int
		loss    float64
		disturb func(n *network)
		want    Source
	}{
		{"the entry that began it is alive", 103, 0, func(*network) {}, FromPeer},
		{"the entry that began it is killed", 4, 0, func(n *network) { n.kill("entry-0") }, FromRecord},
		{"the entry that began it is killed, of many", 103, 0, func(n *network) { n.kill("entry-0") }, FromPeer},
		{"a fifth of the messages get lost", 103, 0.2, func(n *network) { n.kill("entry-0") }, FromPeer},
		{"half of the entries are killed with it", 103, 0, func(n *network) {
			for i := range 52 {
				if name := entryName(2 * i); name != "entry-1" {
					n.kill(name)
				}
			}
		}, FromPeer},
		{"the asking entry has just started", 4, 0, func(n *network) {
			n.kill("entry-0")
			n.start("entry-1")
		}, FromPeer},
		{"all others have just started", 4, 0, func(n *network) {
			for i := range 4 {
				n.start(entryName(i))
			}
		}, FromNobody},
		{"the others do not answer", 4, 0, func(n *network) {
			n.start("entry-1")
			n.silent["entry-0"], n.silent["entry-2"], n.silent["entry-3"] = true, true, true
		}, NoAnswer},
		{"the asking entry is cut off", 4, 0, func(n *network) {
			n.start("entry-1")
			n.cut["entry-1"] = true
		}, NoAnswer},
		{"the entries that know it are cut off", 4, 0, func(n *network) {
			n.start("entry-1")
			n.start("entry-2")
			n.cut["entry-0"], n.cut["entry-3"] = true, true
		}, FromSome},
		{"it was never begun", 4, 0, func(n *network) {
			for _, s := range n.sets {
				s.mu.Lock()
				delete(s.records, KeyOf("r"))
				s.mu.Unlock()
			}
		}, FromNobody},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, tc.entries)
				n.loss = tc.loss
				n.began("entry-0", "r")
				time.Sleep(10 * time.Millisecond)
				tc.disturb(n)
				asked := time.Now()
				o, source := n.sets["entry-1"].Lookup(t.Context(), KeyOf("r"))
				if known := source == FromRecord || source == FromPeer; source != tc.want || known != (o == testOrigin) {
					t.Errorf("%+v, %q; want %q", o, source, tc.want)
				}
				if took := time.Since(asked); took > askTimeout || source == FromNobody && took > 10*time.Millisecond {
					t.Errorf("took %s", took)
				}
				time.Sleep(time.Second)
			})
		})
	}
}

// TestStartedEntriesGetTheStreamsThatTheyHold guards against streams that are forgotten because their
// holders restart one after the other.
func TestStartedEntriesGetTheStreamsThatTheyHold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 4)
		for i := range 200 {
			n.began(entryName(i%4), fmt.Sprint("r-", i))
		}
		time.Sleep(10 * time.Millisecond)
		for restart := range 8 {
			name := entryName(restart % 4)
			n.start(name)
			for other, s := range n.sets {
				if other != name {
					s.PeerSeen(name, fmt.Sprint("incarnation-", restart))
				}
			}
			time.Sleep(10 * time.Millisecond)
		}
		for i := range 200 {
			if _, source := n.sets["entry-2"].Lookup(t.Context(), KeyOf(fmt.Sprint("r-", i))); source != FromRecord {
				t.Fatalf("r-%d: %q", i, source)
			}
		}
	})
}

// TestControlDoesNotGrowWithTheEntries checks the number of messages for a stream and for a question.
func TestControlDoesNotGrowWithTheEntries(t *testing.T) {
	for _, entries := range []int{4, 30, 103, 412} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := newNetwork(t, entries)
				n.began("entry-0", "r")
				if n.sent > holders {
					t.Errorf("%d messages for a stream, want at most %d", n.sent, holders)
				}
				time.Sleep(10 * time.Millisecond)
				n.sent = 0
				n.sets[entryName(entries-1)].Lookup(t.Context(), KeyOf("unknown"))
				if n.sent > 2*askedEntries {
					t.Errorf("%d messages for a question, want at most %d", n.sent, 2*askedEntries)
				}
			})
		})
	}
}

func TestRecordsAreBoundedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(Alone(), events.Nop(), time.Now)
		for i := range maxRecords + 100 {
			s.Began(KeyOf(fmt.Sprint(i)), testOrigin, time.Now().Add(time.Hour))
		}
		if kept, dropped := s.Size(); kept != maxRecords || dropped != 100 {
			t.Errorf("%d kept, %d dropped", kept, dropped)
		}
		time.Sleep(maxKept + time.Second)
		s.Sweep()
		if kept, _ := s.Size(); kept != 0 {
			t.Errorf("%d kept after %s", kept, maxKept)
		}
	})
}

// TestOwnStreams checks that an entry keeps the streams that it began apart from those of other entries.
func TestOwnStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 4)
		n.began("entry-0", "r")
		n.began("entry-1", "other")
		time.Sleep(10 * time.Millisecond)
		s := n.sets["entry-0"]
		s.Receive("entry-1", Message{Streams: []wireStream{{Key: KeyOf("r").bytes(), Service: "llm", Software: "v1", ForMS: 20_000}}})
		if own := s.Own(); len(own) != 1 || own[0].Key != KeyOf("r") || own[0].Origin != testOrigin {
			t.Errorf("%+v", own)
		}
		time.Sleep(time.Minute)
		if own := s.Own(); len(own) != 0 {
			t.Errorf("%d streams that can no longer be resumed", len(own))
		}
	})
}

func (k Key) bytes() []byte { return k[:] }

func TestReceiveIgnoresInvalidMessages(t *testing.T) {
	long := string(make([]byte, maxNameBytes+1))
	key := make([]byte, len(Key{}))
	for _, tc := range []struct {
		name string
		m    Message
	}{
		{"short key", Message{Streams: []wireStream{{Key: key[:3], ForMS: 1000}}, Questions: [][]byte{key[:3]}, Unknown: [][]byte{nil}}},
		{"negative time", Message{Streams: []wireStream{{Key: key, ForMS: -1}}}},
		{"long names", Message{Streams: []wireStream{{Key: key, ForMS: 1000, Service: long}, {Key: key, ForMS: 1000, Software: long}}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			peers := Alone()
			peers.Send = func(string, Message) { t.Error("answered") }
			s := New(peers, events.Nop(), time.Now)
			s.Receive("entry-1", tc.m)
			if kept, _ := s.Size(); kept != 0 {
				t.Errorf("%d records kept", kept)
			}
		})
	}
}

// TestConcurrentLookupsAreAllAnswered checks that requests which ask for the same stream get its origin.
func TestConcurrentLookupsAreAllAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNetwork(t, 4)
		n.began("entry-0", "r")
		time.Sleep(10 * time.Millisecond)
		s := n.start("entry-1")
		var lookups sync.WaitGroup
		for range 8 {
			lookups.Go(func() {
				if o, source := s.Lookup(context.Background(), KeyOf("r")); o != testOrigin {
					t.Errorf("%+v, %q", o, source)
				}
			})
		}
		lookups.Wait()
	})
}
