package gossip

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// silentReportPeriod is how long an entry is reported after it became silent. Delegates that failed at
// the same moment are replaced within this time.
const silentReportPeriod = 2 * time.Second

// reportSilent queues reports about silent entries of the own zone for the delegates of other zones,
// where messages of these entries arrive rarely and their silence would be detected much later. The
// caller must hold n.mu.
func (n *Node) reportSilent(now time.Time) {
	for name, p := range n.peers {
		if p.silent && p.State.Zone == n.settings.Zone && now.Sub(p.silentSince) < silentReportPeriod {
			n.outbox.otherDelegates.silent[name] = wireSilent{Name: name, Life: p.incarnation}
			signal(n.forwardDue)
		}
	}
}

// reportedSilentIntervals is the silence timeout, in regular intervals, of an entry that was reported
// silent.
const reportedSilentIntervals = 1.5

// receiveSilent stores the reports of silent entries in a bundle, and forwards those from other zones
// to the own zone.
func (n *Node) receiveSilent(b bundleBody) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range b.Silent {
		p, ok := n.peers[w.Name]
		if !ok || p.incarnation != w.Life || !n.mayReport(b.From, p) {
			continue
		}
		p.reportedSilent = true
		if b.Part == toOtherDelegates {
			n.outbox.zone.silent[w.Name] = w
			signal(n.forwardDue)
		}
	}
}

// silenceTimeout returns the time without a message after which a peer is marked as silent. It is
// shorter for a peer that was reported silent. The caller must hold n.mu.
func (n *Node) silenceTimeout(p *peer) time.Duration {
	every, _, forget := n.settings.timing(n.sizes[n.group(p)])
	if p.reportedSilent {
		return min(time.Duration(reportedSilentIntervals*float64(every)), forget)
	}
	return forget
}

// mayReport reports whether an entry is trusted to report a peer as silent: it is live, and it is in
// the zone of that peer or, as a delegate that forwards reports, in the own zone. The caller must hold
// n.mu.
func (n *Node) mayReport(from string, about *peer) bool {
	p, ok := n.peers[from]
	return ok && !p.silent && (p.State.Zone == about.State.Zone || p.State.Zone == n.settings.Zone)
}

// markSilent marks a peer as silent and records that. The caller must hold n.mu.
func (n *Node) markSilent(name string, p *peer, now time.Time) {
	p.silent, p.silentSince = true, now
	n.rec.Note(events.EntrySilent, "", "peer", name, "heard-before", now.Sub(p.Heard))
}
