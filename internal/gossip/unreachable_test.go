package gossip

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/pace"
)

var failedAt = pacesAt.Add(-400 * time.Millisecond)

// Guards against an unreachable upstream that the others do not learn of, and whose load or pace they misread,
// also in a release in which some entries do not know these reports yet.
func TestUnreachableUpstreamsArriveAsSent(t *testing.T) {
	sent := State{
		Loads: map[string]Load{"load": load, "all": load}, Paces: map[string]pace.Report{"pace": report, "all": report},
		Unreachable: map[string]time.Time{"load": failedAt, "pace": failedAt, "all": failedAt, "alone": failedAt},
	}
	_, b, err := encodeBody(Settings{Name: "a"}, sent, time.Second, pacesAt)
	if err != nil {
		t.Fatal(err)
	}
	got := decodeBody(t, b)
	if len(got.Unreachable) != len(sent.Unreachable) {
		t.Errorf("unreachable: %v, want %v", got.Unreachable, sent.Unreachable)
	}
	for id, at := range sent.Unreachable {
		if !got.Unreachable[id].Equal(at) {
			t.Errorf("%s was unreachable at %v, want %v", id, got.Unreachable[id], at)
		}
	}
	if len(got.Loads) != 2 || got.Loads["load"] != load || got.Loads["all"] != load {
		t.Errorf("loads %v", got.Loads)
	}
	if len(got.Paces) != 2 || got.Paces["pace"] != report || got.Paces["all"] != report {
		t.Errorf("paces %v", got.Paces)
	}
	var old previousBody
	if err := cbor.Unmarshal(b, &old); err != nil {
		t.Fatalf("the previous release: %v", err)
	}
	if want := (previousLoad{load.Running, load.Tokens, load.Prefill, load.Held}); old.Loads["load"] != want || old.Loads["alone"] != (previousLoad{}) {
		t.Errorf("the previous release reads the loads %v", old.Loads)
	}
}

// Guards against numbers that are no time, and that would exclude an upstream.
func TestBadTimesOfFailedConnections(t *testing.T) {
	for _, l := range []wireLoad{{1, 2, 3, 4}, {0, 0, 0, 0, 0, 0, 0}, {0, 0, 0, 0, 0, 0, 0, 0}, {0, 0, 0, 0, 0, 0, 0, -1}, {0, 0, 0, 0, 0, 0, 0, -1 << 62}, {0, 0, 0, 0, 0, 0, 0, 1 << 62}} {
		body, err := cbor.Marshal(stateBody{From: "b", Loads: map[string]wireLoad{"e": l}})
		if err != nil {
			t.Fatal(err)
		}
		if at, ok := decodeBody(t, body).Unreachable["e"]; ok && pacesAt.Sub(at) < time.Hour {
			t.Errorf("%v: unreachable at %v", l, at)
		}
	}
}

// Guards against messages that grow with the number of unreachable upstreams.
func TestUnreachableUpstreamsDoNotGrowMessages(t *testing.T) {
	size := func(n int) int {
		unreachable := map[string]time.Time{}
		for i := range n {
			unreachable[fmt.Sprintf("i-%010d", i)] = failedAt
		}
		_, b, err := encodeBody(Settings{Name: "a"}, State{Unreachable: unreachable}, time.Second, pacesAt)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	most, many := size(fleet.MaxUnreachable), size(620)
	t.Logf("%d bytes for each of %d upstreams, %d with 620", (most-size(0))/fleet.MaxUnreachable, fleet.MaxUnreachable, many)
	if many != most {
		t.Errorf("%d bytes with 620 unreachable upstreams, %d with %d", many, most, fleet.MaxUnreachable)
	}
}
