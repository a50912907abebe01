package gateway

import (
	"fmt"
	"testing"

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
