package gateway

import (
	"time"

	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/routing"
)

// retryPeer is what another entry reported last of its use of the retry budgets.
type retryPeer struct {
	incarnation string
	// earlierAt is when an earlier process of the entry last reported its use; zero if none did.
	earlierAt time.Time
	// use is the sum over all services.
	use routing.Use
	at  time.Time
}

// takeExtra takes one extra attempt from the retry budget of a service, and logs that the budget is
// used up. reserve is the part of the budget, 0 to 1, that must stay for more important attempts.
func (g *Gateway) takeExtra(service string, reserve float64) bool {
	b := g.budget(service)
	if g.retriesKnown() && b.TakeExtra(reserve) {
		return true
	}
	if times, due := g.countUsedUp(service); due {
		use := b.Use()
		g.rec.Note(events.RetriesUsedUp, "", "service", service, "requests", use.Requests, "extra", use.Extra, "reserve", reserve, "known", g.retriesKnown(), "times", times)
	}
	return false
}

// retriesKnown reports whether it is known what earlier processes of this entry, and the other entries,
// have used of the retry budgets. What was used before the window does not matter.
func (g *Gateway) retriesKnown() bool {
	return !g.settings.EarlierProcesses || g.now().Sub(g.startedAt) >= g.settings.RetryWindow || g.retriesRestored.Load() && g.peersKnown()
}

// RestoreRetries records what earlier processes of this entry have used of the retry budgets, by service.
func (g *Gateway) RestoreRetries(used map[string][]routing.Bucket) {
	for service, buckets := range used {
		g.budget(service).Restore(buckets)
	}
}

// SetRetriesRestored records that RestoreRetries was called with all that earlier processes used.
func (g *Gateway) SetRetriesRestored() { g.retriesRestored.Store(true) }

// RetryUsage returns what this entry, earlier processes included, has used of the retry budgets, by service.
func (g *Gateway) RetryUsage() map[string]routing.Usage {
	return fromBudgets(g, (*routing.SharedBudget).Usage)
}

// fromBudgets returns what read returns for each retry budget, by service.
func fromBudgets[T any](g *Gateway, read func(b *routing.SharedBudget) T) map[string]T {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]T, len(g.budgets))
	for service, b := range g.budgets {
		out[service] = read(b)
	}
	return out
}

// PeerRetries returns what the processes of another entry before the given one have used of the retry
// budgets, by service. ok is false if this entry may not have heard of all of it.
func (g *Gateway) PeerRetries(name, incarnation string) (used map[string][]routing.Bucket, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	used = map[string][]routing.Bucket{}
	for service, b := range g.budgets {
		if buckets := b.PeerUsage(name); len(buckets) > 0 {
			used[service] = buckets
		}
	}
	earlierAt := g.retryPeers[name].earlierAt
	if p := g.retryPeers[name]; p.incarnation != incarnation {
		earlierAt = p.at
	}
	now := g.now()
	upForWindow := now.Sub(g.startedAt) >= g.settings.RetryWindow
	if !g.settings.EarlierProcesses && !upForWindow {
		return used, true
	}
	// An entry that was not heard lately may have made extra attempts out of touch with this one.
	heardLately := !earlierAt.IsZero() && now.Sub(earlierAt) < g.settings.RetryWindow
	return used, heardLately && (upForWindow || g.retriesRestored.Load())
}

// usedUpLogInterval is the least time between two log lines about the used up budget of a service.
const usedUpLogInterval = time.Second

// usedUp counts the attempts that a retry budget did not allow since loggedAt.
type usedUp struct {
	loggedAt time.Time
	times    int
}

// countUsedUp counts an attempt that the retry budget of a service did not allow. It returns the count
// since the last log line, and whether the next one is due.
func (g *Gateway) countUsedUp(service string) (times int, due bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := g.retriesUsedUp[service]
	times, now := u.times+1, g.now()
	if now.Sub(u.loggedAt) < usedUpLogInterval {
		g.retriesUsedUp[service] = usedUp{loggedAt: u.loggedAt, times: times}
		return times, false
	}
	g.retriesUsedUp[service] = usedUp{loggedAt: now}
	return times, true
}

// RetryUse returns this entry's use of the retry budgets by service.
func (g *Gateway) RetryUse() map[string]routing.Use {
	return fromBudgets(g, (*routing.SharedBudget).Use)
}

// SetPeerRetryUse records another entry's use of the retry budgets, and when that entry last
// received a message from this one. incarnation identifies the process of that entry.
func (g *Gateway) SetPeerRetryUse(name, incarnation string, uses map[string]routing.Use, lastReceived time.Time) {
	g.recordRetryPeer(name, incarnation, uses)
	for service, u := range uses {
		g.budget(service).RecordPeerReport(name, u, lastReceived)
	}
}

// recordRetryPeer keeps what another entry reported and logs that the entry runs as a new process.
func (g *Gateway) recordRetryPeer(name, incarnation string, uses map[string]routing.Use) {
	p := retryPeer{incarnation: incarnation, at: g.now()}
	for _, u := range uses {
		p.use.Requests += u.Requests
		p.use.Extra += u.Extra
	}
	g.mu.Lock()
	last, known := g.retryPeers[name]
	p.earlierAt = last.earlierAt
	if known && last.incarnation != incarnation {
		p.earlierAt = last.at
	}
	g.retryPeers[name] = p
	g.mu.Unlock()
	if known && last.incarnation != incarnation {
		g.rec.Note(events.EntryRestarted, "", "peer", name, "requests", last.use.Requests, "extra", last.use.Extra, "ago", p.at.Sub(last.at))
	}
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *routing.SharedBudget {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = routing.NewSharedBudget(g.settings.RetryRatio, g.settings.RetryExtra, g.settings.RetryWindow, g.now)
		b.SetEntries(g.entries)
		if g.settings.EarlierProcesses {
			b.SetRestarted(g.startedAt)
		}
		b.SetMessageTimes(g.peers.DeliveryTimes())
		g.budgets[service] = b
	}
	return b
}
