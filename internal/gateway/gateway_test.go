package gateway

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sparshore/sparshore/internal/gossip"
)

// TestNumberOfEntriesSharingRetryBudget: an entry that found few others in the list also counts
// those that it can reach. An entry that can no longer reach any goes on sharing with all of
// them.
func TestNumberOfEntriesSharingRetryBudget(t *testing.T) {
	f := newFixture(t)
	heard := map[string]gossip.Peer{}
	f.gateway.peers.LivePeers = func() map[string]gossip.Peer { return heard }
	check := func(when string, want int) {
		t.Helper()
		if got := f.gateway.entries; got != want {
			t.Errorf("%s: %d entries share, want %d", when, got, want)
		}
	}
	f.gateway.SetListedEntries(3)
	check("three are listed", 3)
	for i := range 9 {
		heard[fmt.Sprint(i)] = gossip.Peer{}
	}
	f.gateway.CountReachable()
	check("nine others are reachable", 10)
	clear(heard)
	f.gateway.CountReachable()
	check("no other entry is reachable any more", 10)
	f.gateway.SetListedEntries(2)
	check("the list has two", 2)
}

// TestReadyOnceOtherEntriesAreKnown guards against an entry that reports ready before it has learned
// of any other entry. Three entries that learned of each other 3 to 4 s after their start each
// tracked a poison request alone, and it crashed six upstreams.
func TestReadyOnceOtherEntriesAreKnown(t *testing.T) {
	for _, tc := range []struct {
		name   string
		listed bool
		peers  map[string]gossip.Peer
		age    time.Duration
		want   int
	}{
		{"nothing is known", false, nil, 0, http.StatusServiceUnavailable},
		{"the list was read", true, nil, 0, http.StatusOK},
		{"another entry is reachable", false, map[string]gossip.Peer{"b": {}}, 0, http.StatusOK},
		{"the list has been unreadable for long", false, nil, peersWait + time.Second, http.StatusOK},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t)
			f.gateway.entriesListed.Store(tc.listed)
			f.peers = tc.peers
			f.gateway.startedAt = time.Now().Add(-tc.age)
			w := httptest.NewRecorder()
			f.gateway.Ready(w, nil)
			if w.Code != tc.want {
				t.Errorf("ready answers %d, want %d", w.Code, tc.want)
			}
		})
	}
}
