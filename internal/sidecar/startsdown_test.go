package sidecar

import (
	"net"
	"testing"
	"time"
)

// While an upstream is down, connections to it can also end with a reset. A request that was sent
// then must not be reported as one that ran on the incarnation that ended: it would become a
// suspect beside the requests that did run there. This was seen for requests sent 0.2 to 0.7 s
// after the end.
func TestRequestSentWhileTheUpstreamIsDown(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newUpstreamIncarnations("http://"+l.Addr().String(), "inc")
	before := time.Now()
	_ = l.Close()
	if got := s.endedDuring(t.Context(), before); got != "inc#0" {
		t.Errorf("sent before the end: %q, want %q", got, "inc#0")
	}
	if got := s.endedDuring(t.Context(), time.Now()); got != "" {
		t.Errorf("sent while the upstream is down: %q, want none", got)
	}
	if got := s.endedDuring(t.Context(), before); got != "inc#0" {
		t.Errorf("another request sent before the end: %q, want %q", got, "inc#0")
	}
}
