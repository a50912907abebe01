package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
)

// TestEntriesThatShareTheRetryBudget: an entry that found few others in the list counts
// those it hears; one that hears nobody any more goes on sharing with all.
func TestEntriesThatShareTheRetryBudget(t *testing.T) {
	f := newFixture(t)
	heard := map[string]gossip.Peer{}
	f.gateway.others.Heard = func() map[string]gossip.Peer { return heard }
	check := func(when string, want int) {
		t.Helper()
		if got := f.gateway.entries; got != want {
			t.Errorf("%s: %d entries share, want %d", when, got, want)
		}
	}
	f.gateway.Registered(3)
	check("three are listed", 3)
	for i := range 9 {
		heard[fmt.Sprint(i)] = gossip.Peer{}
	}
	f.gateway.CountHeard()
	check("nine others are heard", 10)
	clear(heard)
	f.gateway.CountHeard()
	check("nobody is heard any more", 10)
	f.gateway.Registered(2)
	check("the list has two", 2)
}

// An entry that knew no other one told the balancer that it is ready: three that heard of each
// other 3 to 4 s after their start judged a request that ends upstreams each alone, and it ended
// six of them.
func TestReadyOnceOthersAreKnown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed bool
		peers  map[string]gossip.Peer
		age    time.Duration
		want   int
	}{
		{"nothing is known", false, nil, 0, http.StatusServiceUnavailable},
		{"the list was read", true, nil, 0, http.StatusOK},
		{"another entry is heard", false, map[string]gossip.Peer{"b": {}}, 0, http.StatusOK},
		{"the list cannot be read for long", false, nil, othersWithin + time.Second, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.listed.Store(tc.listed)
			f.peers = tc.peers
			f.gateway.began = time.Now().Add(-tc.age)
			w := httptest.NewRecorder()
			f.gateway.Ready(w, nil)
			if w.Code != tc.want {
				t.Errorf("ready answers %d, want %d", w.Code, tc.want)
			}
		})
	}
}
