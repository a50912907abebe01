package membership

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
)

// A peer answers a ping at the moment at which it would be suspected: the timer's
// callback has begun, and stopping the timer does not reach it. It suspected the peer
// after the answer had been taken, so that requests that waited for the peer were
// taken away from it and no new ones came until the next ping.
func TestAnsweredPingLeavesNoSuspicion(t *testing.T) {
	self := &Self{Identity: NewIdentity("e", RoleEntry, "a", "", "i", time.Now()), Recorder: events.Nop(), Status: func() Status { return Status{} }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(listener, self.Methods(), nil)
	server.Start()
	t.Cleanup(server.Close)
	s := NewSet(self, nil, DefaultTiming(), nil)
	var late []func()
	s.after = func(_ time.Duration, f func()) func() bool {
		late = append(late, f)
		return func() bool { return false }
	}
	p := &Peer{address: server.Addr()}
	if err := s.connect(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	for range 2 {
		if !s.beat(t.Context(), p, p.Conn()) {
			t.Fatal("the ping got no answer")
		}
	}
	for _, f := range late {
		f()
	}
	if p.Suspected() || !p.Usable() {
		t.Error("a peer that answered its ping is suspected")
	}
}

// A ping stays unanswered until the peer is suspected, and is answered then.
func TestSilentPeerIsSuspectedUntilItAnswers(t *testing.T) {
	self := &Self{Identity: NewIdentity("e", RoleEntry, "a", "", "i", time.Now()), Recorder: events.Nop(), Status: func() Status { return Status{} }}
	s := NewSet(self, nil, DefaultTiming(), nil)
	silent := make(chan func(), 1)
	s.after = func(_ time.Duration, f func()) func() bool {
		silent <- f
		return func() bool { return true }
	}
	p := &Peer{}
	suspected := false
	methods := self.Methods()
	methods[methodPing] = func(context.Context, *peer.Conn, json.RawMessage) (any, error) {
		(<-silent)()
		suspected = p.Suspected()
		return pingResult{}, nil
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(listener, methods, nil)
	server.Start()
	t.Cleanup(server.Close)
	p.address = server.Addr()
	if err := s.connect(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	if !s.beat(t.Context(), p, p.Conn()) {
		t.Fatal("the ping got no answer")
	}
	if !suspected {
		t.Error("a peer whose ping is unanswered is not suspected")
	}
	if p.Suspected() {
		t.Error("a peer that answered is still suspected")
	}
}
