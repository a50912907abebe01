package membership

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
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

// The list of VMs is read twice at a time, as beside a change of the configuration. The
// read that began first came back last, with a list from before a VM was there. It was
// taken for the newest, and the connection to that VM's process was closed with all that
// ran over it.
func TestOlderListOfVMsClosesNoConnection(t *testing.T) {
	self := &Self{Identity: NewIdentity("e", RoleEntry, "a", "", "i", time.Now()), Recorder: events.Nop(), Status: func() Status { return Status{} }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(listener, self.Methods(), nil)
	server.Start()
	t.Cleanup(server.Close)
	began, older := make(chan struct{}), make(chan []platform.VM)
	lists := make(chan func() []platform.VM, 2)
	lists <- func() []platform.VM { close(began); return <-older }
	lists <- func() []platform.VM {
		return []platform.VM{platform.NewVM("v", "a", server.Addr(), platform.VMLive)}
	}
	s := NewSet(self, &platform.VMs{List: func(context.Context) ([]platform.VM, error) { return (<-lists)(), nil }}, DefaultTiming(), nil)
	var cancel context.CancelFunc
	s.runCtx, cancel = context.WithCancel(t.Context())
	t.Cleanup(s.wg.Wait)
	t.Cleanup(cancel)
	first := make(chan error)
	go func() { first <- s.Refresh(t.Context()) }()
	<-began
	if err := s.Refresh(t.Context()); err != nil {
		t.Fatal(err)
	}
	older <- nil
	if err := <-first; err != nil {
		t.Fatal(err)
	}
	if !s.Listed("v") {
		t.Error("a VM of the newest list is not known after an older one came back")
	}
}
