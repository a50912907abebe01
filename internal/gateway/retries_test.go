package gateway

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/routing"
)

// newRestartedGateway returns a Gateway whose entry may have run before, at a time that the test sets.
func newRestartedGateway(at *time.Time, earlier bool) *Gateway {
	now := func() time.Time { return *at }
	g := New(Settings{RetryExtra: 40, RetryWindow: 10 * time.Second, EarlierProcesses: earlier}, nil, nil, nil, testProtocol(), Peers{
		SendSoon: func() {}, SendNow: func() {}, DeliveryTimes: func() (delivery, silence time.Duration) { return 0, 0 },
		LivePeers: func() map[string]gossip.Peer { return nil }, Limits: limits.Alone(),
	}, events.Nop(), prometheus.NewRegistry(), now)
	return g
}

// TestNewProcessSpendsTheBudgetAgain guards against extra attempts before it is known what earlier processes
// used, and against counting without them.
func TestNewProcessSpendsTheBudgetAgain(t *testing.T) {
	at := time.Now()
	g := newRestartedGateway(&at, true)
	if g.takeExtra("llm", 0) {
		t.Error("an extra attempt before the use of earlier processes is known")
	}
	g.RestoreRetries(map[string][]routing.Bucket{"llm": {{Use: routing.Use{Extra: 37}}}})
	g.SetRetriesRestored()
	if g.takeExtra("llm", 0) {
		t.Error("an extra attempt before the number of entries is known")
	}
	g.SetListedEntries(1)
	got := 0
	for g.takeExtra("llm", 0) {
		got++
	}
	if got != 3 {
		t.Errorf("%d extra attempts beside 37 of an earlier process, want 3", got)
	}
	at = at.Add(12 * time.Second)
	if !g.takeExtra("llm", 0) {
		t.Error("no extra attempt although the earlier use is out of the window")
	}
	if g := newRestartedGateway(&at, false); !g.takeExtra("llm", 0) {
		t.Error("no extra attempt in a deployment that starts for the first time")
	}
	late := newRestartedGateway(&at, true)
	at = at.Add(10 * time.Second)
	if !late.takeExtra("llm", 0) {
		t.Error("no extra attempt a window after a start at which nothing was learned")
	}
}

// TestEntryVouchesForWhatItDidNotHear guards against an entry that tells another one that nothing was used,
// though it has not run for long enough to know, or was out of touch with the earlier process.
func TestEntryVouchesForWhatItDidNotHear(t *testing.T) {
	const peer = "entry-2"
	for _, tc := range []struct {
		name string
		// earlier is set if this entry may have run before, restored if it knows what it used then. heard are
		// the processes of the other entry that it heard, up the time for which it ran before, and silent the
		// time after each.
		earlier, restored bool
		heard             []string
		up, silent        time.Duration
		want              bool
	}{
		{"runs for longer than the window, heard the earlier process", true, false, []string{"old"}, 10 * time.Second, time.Second, true},
		{"runs for longer than the window, heard both", true, false, []string{"old", "new"}, 10 * time.Second, time.Second, true},
		{"runs for longer than the window, heard nothing", true, true, nil, 10 * time.Second, 0, false},
		{"runs for longer than the window, heard the new process only", true, true, []string{"new"}, 10 * time.Second, 0, false},
		{"did not hear the earlier process for the window", true, true, []string{"old"}, 10 * time.Second, 10 * time.Second, false},
		{"did not hear the earlier process for the window before the new one", true, true, []string{"old", "new", "new"}, time.Second, 10 * time.Second, false},
		{"first start of the deployment", false, false, nil, time.Second, 0, true},
		{"of the first start, heard nothing in the window", false, false, nil, 10 * time.Second, 0, false},
		{"of the first start, heard the earlier process", false, false, []string{"old"}, 10 * time.Second, 0, true},
		{"has just started, heard nothing", true, true, nil, time.Second, 0, false},
		{"has just started, heard the new process only", true, true, []string{"new"}, time.Second, 0, false},
		{"has just started, heard the earlier process", true, true, []string{"old"}, time.Second, 0, true},
		{"has just started, heard both", true, true, []string{"old", "new"}, time.Second, 0, true},
		{"does not know its own use", true, false, []string{"old", "new"}, time.Second, 0, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			at := time.Now()
			g := newRestartedGateway(&at, tc.earlier)
			if tc.restored {
				g.SetRetriesRestored()
			}
			at = at.Add(tc.up)
			for i, incarnation := range tc.heard {
				g.SetPeerRetryUse(peer, incarnation, map[string]routing.Use{"llm": {Extra: 7 * max(1-i, 0)}}, at)
				at = at.Add(tc.silent)
			}
			used, ok := g.PeerRetries(peer, "new")
			if ok != tc.want {
				t.Errorf("complete %t, want %t", ok, tc.want)
			}
			extra := 0
			for _, b := range used["llm"] {
				extra += b.Extra
			}
			if len(tc.heard) > 0 && tc.heard[0] == "old" && tc.silent < g.settings.RetryWindow && extra != 7 {
				t.Errorf("%d extra attempts of the earlier process, want 7", extra)
			}
		})
	}
}
