package gossip

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
)

// silentToldFor is the time for which it is told that an entry is not heard: until the delegates
// that failed at the same moment are replaced.
const silentToldFor = 2 * time.Second

// tellSilent has it passed on which entries of the own zone are not heard any more: those of other
// zones would notice much later. It needs the lock.
func (n *Node) tellSilent(now time.Time) {
	for name, p := range n.peers {
		if p.lost && p.State.Zone == n.settings.Zone && now.Sub(p.lostAt) < silentToldFor {
			n.out.others.silent[name] = wireSilent{Name: name, Life: p.life}
			ask(n.passing)
		}
	}
}

// silentFor is the number of regular messages that an entry has missed when the word of others of
// its zone is believed.
const silentFor = 1.5

// takeSilent doubts the entries that others of their zone do not hear.
func (n *Node) takeSilent(b bundleBody) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range b.Silent {
		p, ok := n.peers[w.Name]
		if !ok || p.life != w.Life || !n.mayDoubt(b.From, p) {
			continue
		}
		p.doubted = true
		if b.Part == toOtherDelegates {
			n.out.zone.silent[w.Name] = w
			ask(n.passing)
		}
	}
}

// silenceToForget is the silence after which an entry is forgotten: sooner if others of its zone
// do not hear it either. It needs the lock.
func (n *Node) silenceToForget(p *peer) time.Duration {
	every, _, forget := n.settings.timing(n.sizes[n.group(p)])
	if p.doubted {
		return min(time.Duration(silentFor*float64(every)), forget)
	}
	return forget
}

// mayDoubt reports whether what an entry says of another one raises a doubt: it is of that one's
// zone, or of the own one, which passes it on. It needs the lock.
func (n *Node) mayDoubt(from string, of *peer) bool {
	p, ok := n.peers[from]
	return ok && !p.lost && (p.State.Zone == of.State.Zone || p.State.Zone == n.settings.Zone)
}

// lose forgets an entry that is not heard. It needs the lock.
func (n *Node) lose(name string, p *peer, now time.Time) {
	p.lost, p.lostAt = true, now
	n.rec.Note(events.EntrySilent, "", "peer", name, "heard-before", now.Sub(p.Heard))
}
