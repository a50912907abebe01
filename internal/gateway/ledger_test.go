package gateway

import (
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
)

// TestLoadTrackerTotals: totals follow this entry's claims and the load that other entries report,
// and nothing remains of load that has ended.
func TestLoadTrackerTotals(t *testing.T) {
	l := newLoadTracker(time.Now)
	load := func(n int) gossip.Load { return gossip.Load{Running: 1, Tokens: n, Held: n / 2} }
	c := l.add("a", load(100))
	l.setPeer("p", map[string]gossip.Load{"a": load(10), "b": load(20)})
	l.setPeer("q", map[string]gossip.Load{"a": load(1)})
	if got := l.total("a"); got.Running != 3 || got.Tokens != 111 {
		t.Errorf("total of a %+v, want 3 running and 111 tokens", got)
	}
	c.update(load(200))
	l.setPeer("p", map[string]gossip.Load{"b": load(30)})
	if got := l.total("a"); got.Running != 2 || got.Tokens != 201 {
		t.Errorf("total of a %+v, want 2 running and 201 tokens", got)
	}
	l.keepPeers(func(name string) bool { return name == "p" })
	c.release()
	c.release()
	if got := l.total("a"); got != (gossip.Load{}) {
		t.Errorf("total of a %+v, want nothing", got)
	}
	if got := l.total("b"); got != load(30) {
		t.Errorf("total of b %+v", got)
	}
	l.setPeer("p", nil)
	if len(l.totals) != 0 || len(l.own) != 0 || len(l.peers) != 0 {
		t.Errorf("not empty: %v %v %v", l.totals, l.own, l.peers)
	}
}
