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

// TestAnsweredPingIsNotUndoneByLateTimer guards against a peer that is suspected although it
// answered: if the answer arrives just as the suspicion timer fires, stopping the timer does not
// stop its callback. A suspicion after the answer would take waiting requests away from the peer
// and keep new ones from it until the next ping.
func TestAnsweredPingIsNotUndoneByLateTimer(t *testing.T) {
	self := &Self{Identity: NewIdentity("e", RoleEntry, "a", "", "i", time.Now()), Recorder: events.Nop(), Status: func() Status { return Status{} }}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer(listener, self.Methods(), nil)
	server.Start()
	t.Cleanup(server.Close)
	s := NewSet(self, nil, DefaultTiming(), nil)
	var timerCallbacks []func()
	s.afterFunc = func(_ time.Duration, f func()) func() bool {
		timerCallbacks = append(timerCallbacks, f)
		return func() bool { return false }
	}
	p := &Peer{address: server.Addr()}
	if err := s.connect(t.Context(), p); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.close)
	for range 2 {
		if !s.heartbeat(t.Context(), p, p.Conn()) {
			t.Fatal("the ping got no answer")
		}
	}
	for _, f := range timerCallbacks {
		f()
	}
	if p.Suspected() || !p.Usable() {
		t.Error("a peer that answered its ping is suspected")
	}
}

// TestSilentPeerIsSuspectedUntilItAnswers checks that a peer is suspected while its ping is
// unanswered, and no longer once the answer arrives.
func TestSilentPeerIsSuspectedUntilItAnswers(t *testing.T) {
	self := &Self{Identity: NewIdentity("e", RoleEntry, "a", "", "i", time.Now()), Recorder: events.Nop(), Status: func() Status { return Status{} }}
	s := NewSet(self, nil, DefaultTiming(), nil)
	timerCallback := make(chan func(), 1)
	s.afterFunc = func(_ time.Duration, f func()) func() bool {
		timerCallback <- f
		return func() bool { return true }
	}
	p := &Peer{}
	suspected := false
	methods := self.Methods()
	methods[methodPing] = func(context.Context, *peer.Conn, json.RawMessage) (any, error) {
		(<-timerCallback)()
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
	if !s.heartbeat(t.Context(), p, p.Conn()) {
		t.Fatal("the ping got no answer")
	}
	if !suspected {
		t.Error("a peer whose ping is unanswered is not suspected")
	}
	if p.Suspected() {
		t.Error("a peer that answered is still suspected")
	}
}

// TestStaleVMListClosesNoConnection guards against a late result of an older read of the VM list.
// Reads overlap, for example during a change of the configuration. A list from before a VM existed
// must not replace a newer one, or the connection to that VM's process would be closed.
func TestStaleVMListClosesNoConnection(t *testing.T) {
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
