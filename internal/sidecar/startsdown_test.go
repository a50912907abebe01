package sidecar

import (
	"net"
	"testing"
	"time"
)

// While an upstream is down, connections to it end in many ways, also by a reset. A request that
// was sent then was told to have been at the start that had ended 0.2 to 0.7 s before, beside
// those that really were: `request-suspected` named `#0` for requests that came later than
// all others with it.
func TestRequestSentWhileTheUpstreamIsDown(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newStarts("http://"+l.Addr().String(), "inc")
	before := time.Now()
	_ = l.Close()
	if got := s.endedUnder(t.Context(), before); got != "inc#0" {
		t.Errorf("sent before the end: %q, want %q", got, "inc#0")
	}
	if got := s.endedUnder(t.Context(), time.Now()); got != "" {
		t.Errorf("sent while it is down: %q, want none", got)
	}
	if got := s.endedUnder(t.Context(), before); got != "inc#0" {
		t.Errorf("another one sent before the end: %q, want %q", got, "inc#0")
	}
}
