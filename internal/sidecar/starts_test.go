package sidecar

import (
	"net"
	"testing"
)

// The sidecar must notice that its upstream ended while it ran a request, and tell the incarnations
// of the upstream apart.
func TestUpstreamIncarnations(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	s := newUpstreamIncarnations("http://"+address, "inc")
	expect := func(what, want string) {
		t.Helper()
		if got := s.probeEnded(t.Context()); got != want {
			t.Errorf("%s: %q, want %q", what, got, want)
		}
	}
	expect("upstream listens", "")
	_ = l.Close()
	expect("upstream ended", "inc#0")
	expect("another answer broke off at the same end", "inc#0")
	if l, err = net.Listen("tcp4", address); err != nil {
		t.Fatal(err)
	}
	s.markUp()
	expect("upstream listens again", "")
	_ = l.Close()
	expect("second incarnation ended", "inc#1")
	if l, err = net.Listen("tcp4", address); err != nil {
		t.Fatal(err)
	}
	expect("upstream listens again, but an answer broke off", "")
	_ = l.Close()
	expect("third incarnation ended", "inc#2")
}
