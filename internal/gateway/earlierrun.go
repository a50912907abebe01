package gateway

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/protocol"
)

// dropTime is how long an engine gets to drop a request whose connection was closed, before it is commanded to stop
// the generation.
const dropTime = 100 * time.Millisecond

// stopEarlierRun stops the run of a generation that goes on at another engine without a copy of its memory. Not all
// engines drop a request whose connection closes. The copy to target that the command makes is not used, because
// the generation reads its prompt there meanwhile.
func (g *Gateway) stopEarlierRun(callID string, from, target fleet.Upstream) {
	if u, known := g.fleet.Get(from.ID); !known || u.InBackOff(g.now()) {
		return
	}
	r := g.repeatCopyCommand(callID, from, target, true, func() bool { return false })
	if r.Outcome != protocol.Copied && r.Outcome != protocol.NoRoom {
		return
	}
	g.rec.Note(events.EarlierRunStopped, callID, "at", from.ID, "goes-on-at", target.ID, "copied", r.Outcome == protocol.Copied)
	if r.Handle == "" {
		return
	}
	at := target
	if r.Outcome == protocol.NoRoom {
		at = from
	}
	g.release(callID, heldCopy{copy: protocol.Copy{Source: from.Address, Handle: r.Handle}, at: at})
}
