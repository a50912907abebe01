package sidecar

import (
	"net"
	"testing"
)

// TestStartsOfTheUpstream covers how a sidecar tells that its upstream ended under a request,
// and the starts of it apart.
func TestStartsOfTheUpstream(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	s := newStarts("http://"+address, "inc")
	expect := func(what, want string) {
		t.Helper()
		if got := s.ended(t.Context()); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	expect("it listens", "")
	_ = l.Close()
	expect("it ended", "inc#0")
	expect("another answer broke off with it", "inc#0")
	if l, err = net.Listen("tcp4", address); err != nil {
		t.Fatal(err)
	}
	s.answered()
	expect("it is back", "")
	_ = l.Close()
	expect("the next start ended", "inc#1")
	if l, err = net.Listen("tcp4", address); err != nil {
		t.Fatal(err)
	}
	expect("it is back, and breaks off an answer", "")
	_ = l.Close()
	expect("the third start ended", "inc#2")
}
