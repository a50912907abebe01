// Package gateway serves callers over a route table: it checks who they are,
// chooses a service and an upstream, relays the answer, moves running
// generations away from engines that leave, and says plainly what became of
// each request. How requests are spelled on the wire is left to a
// protocol.Protocol.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routing"
)

// Settings are the fixed numbers of a Gateway.
type Settings struct {
	// Name is the entry's own, by which others know it.
	Name string
	// Life tells its starts apart.
	Life string
	// Zone is the availability zone the entry runs in.
	Zone string
	// RoutesTrusted is how long a route table may go unconfirmed before it no
	// longer proves that a key is still valid, or that one is unknown.
	RoutesTrusted time.Duration
	// HardKeyBound refuses requests with keys beyond that time. Without it, keys
	// that the last known table holds are served for as long as the store is away.
	HardKeyBound bool
	// RetryRatio, RetryExtra and RetryWindow bound the attempts beyond the first
	// to the upstreams of one service, over all entries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Gateway serves callers.
type Gateway struct {
	settings Settings
	routes   *belief.Routes
	fleet    *fleet.Set
	link     *link.Pool
	proto    protocol.Protocol
	rec      *events.Recorder
	met      *metrics
	now      func() time.Time
	ledger   *ledger
	// stopBy is when requests in flight are given up in a planned stop; zero while
	// none is under way. noticedAt is when the balancer has noticed the stop.
	stopBy    instant
	noticedAt instant
	// stopping ends when a planned stop gives up the requests in flight, by giveUpAll.
	stopping  context.Context
	giveUpAll context.CancelCauseFunc
	// inFlight counts callers' requests; askedAt is when the latest one began or ended.
	inFlight atomic.Int64
	askedAt  instant
	pace     pace
	reading  reading
	moveRoom placement.MoveRoom
	prefixes *prefixes
	trusted  atomic.Bool
	// quarantine knows the requests that end upstreams.
	quarantine *quarantine.Set
	// began is when this entry began, and listed is set once it has read the list of
	// entries.
	began  time.Time
	listed atomic.Bool
	// limits knows how much limited upstreams take.
	limits *limits.Set

	mu sync.Mutex
	// entries is the number of entries that share the retry budgets.
	entries int
	budgets map[string]*routing.Window
	streams map[string]map[*stream]bool
	moving  map[string]bool
	// overloads are by service.
	overloads map[string]*placement.Overload
	// returns orders callers that were refused while all upstreams of their service rested.
	returns placement.Returns
	// inquired tells when each engine was last asked for its state.
	inquired map[string]time.Time
	// looking are the upstreams of which it is being found out whether they ended.
	looking map[string]bool
	others  Others
}

// Others are the other entries of the deployment.
type Others struct {
	// Nudge tells them soon what this one has in flight, and Urge at once.
	Nudge func()
	Urge  func()
	// Heard returns those that are heard, and what they say.
	Heard func() map[string]gossip.Peer
	// Delay is how long after an entry of a zone placed a request this one is expected
	// to hear of it, if the other one was nudged or not.
	Delay func(zone string, nudged bool) time.Duration
	// Told is the time within which all know what they were urged to hear, and the
	// silence after which one must not be counted on.
	Told func() (told, silence time.Duration)
	// Limits is how they share what limited upstreams take.
	Limits limits.Others
}

// New returns a Gateway.
func New(settings Settings, routes *belief.Routes, set *fleet.Set, pool *link.Pool, proto protocol.Protocol, others Others, rec *events.Recorder, reg prometheus.Registerer, now func() time.Time) *Gateway {
	g := &Gateway{
		settings: settings, routes: routes, fleet: set, link: pool, proto: proto, rec: rec,
		met: newMetrics(reg, func() float64 { return routesAge(routes, now).Seconds() }), now: now, ledger: newLedger(now), prefixes: newPrefixes(), entries: 1,
		budgets: map[string]*routing.Window{}, streams: map[string]map[*stream]bool{}, moving: map[string]bool{}, overloads: map[string]*placement.Overload{},
		inquired: map[string]time.Time{}, looking: map[string]bool{}, others: others,
		quarantine: quarantine.New(rec, now, others.Urge), limits: limits.New(settings.Name, settings.Life, others.Limits, rec, now), began: now(),
	}
	reg.MustRegister(newLimitRates(g.limits.List))
	g.stopping, g.giveUpAll = context.WithCancelCause(context.Background())
	return g
}

// Ready tells the balancer whether to send callers here.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !g.StopBy().IsZero():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !g.servesKeys():
		http.Error(w, "no confirmed routes", http.StatusServiceUnavailable)
	case !g.knowsOthers():
		http.Error(w, "other entries are not known", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// othersWithin is how long after its start an entry waits to learn who else serves: a few tries to
// read the list of entries while the store is slow.
const othersWithin = 5 * time.Second

// knowsOthers reports whether this entry knows who else serves. One that does not judges requests
// that end upstreams alone and takes what all share, so callers go to the others meanwhile.
func (g *Gateway) knowsOthers() bool {
	return g.listed.Load() || len(g.others.Heard()) > 0 || g.now().Sub(g.began) > othersWithin
}

// routesTrusted reports whether the route table is known and young enough to
// serve requests with keys by it, and notes each change of that.
func (g *Gateway) routesTrusted() bool {
	table, confirmed := g.routes.Current()
	age := g.now().Sub(confirmed)
	ok := table != nil && age < g.settings.RoutesTrusted
	if g.trusted.Swap(ok) != ok {
		id := events.RoutesConfirmed
		if !ok {
			id = events.RoutesUnconfirmed
		}
		g.rec.Note(id, "", "age", age, "bound", g.settings.RoutesTrusted, "known-keys-served", table != nil && (ok || !g.settings.HardKeyBound))
	}
	return ok
}

// servesKeys reports whether requests with known keys are served.
func (g *Gateway) servesKeys() bool {
	if g.routesTrusted() {
		return true
	}
	table, _ := g.routes.Current()
	return table != nil && !g.settings.HardKeyBound
}

// routesAge is the time since the route table was last confirmed; 0 while none
// is known.
func routesAge(routes *belief.Routes, now func() time.Time) time.Duration {
	table, confirmed := routes.Current()
	if table == nil {
		return 0
	}
	return now().Sub(confirmed)
}

// Load returns what this entry has in flight, by upstream.
func (g *Gateway) Load() map[string]gossip.Load { return g.ledger.snapshot() }

// Known returns what all entries that are heard have in flight at an upstream.
func (g *Gateway) Known(upstream string) gossip.Load { return g.ledger.total(upstream) }

// PeerLoad takes over what another entry has in flight.
func (g *Gateway) PeerLoad(name string, loads map[string]gossip.Load) { g.ledger.setPeer(name, loads) }

// ForgetSilent forgets the load of the entries that are not heard any more: their
// connections to engines ended with them, and what they had in flight must not keep
// others from being admitted.
func (g *Gateway) ForgetSilent() {
	peers := g.others.Heard()
	g.ledger.keepPeers(func(name string) bool { _, ok := peers[name]; return ok })
	g.prefixes.forget(func(engine string) bool { _, ok := g.fleet.Get(engine); return ok }, g.now())
}

// Registered sets how many entries are listed. The retry budget is shared among these
// or those that are heard, whichever are more.
func (g *Gateway) Registered(registered int) {
	g.listed.Store(true)
	g.limits.Listed(registered)
	heard := len(g.others.Heard()) + 1
	g.mu.Lock()
	defer g.mu.Unlock()
	g.share(max(heard, registered))
}

// CountHeard takes over that more entries are heard than were listed: those that start
// together find only some of the others in the list. The number falls with the list
// only, since an entry that hears nobody must not take the whole budget.
func (g *Gateway) CountHeard() {
	heard := len(g.others.Heard()) + 1
	told, silence := g.others.Told()
	g.mu.Lock()
	defer g.mu.Unlock()
	if heard > g.entries {
		g.share(heard)
		g.limits.Listed(heard)
	}
	for _, b := range g.budgets {
		b.Messages(told, silence)
	}
}

// share shares the retry budgets among a number of entries. It needs the lock.
func (g *Gateway) share(entries int) {
	g.entries = entries
	for _, b := range g.budgets {
		b.Entries(entries)
	}
}

// RetryUse returns what this entry took of the retry budgets, by service.
func (g *Gateway) RetryUse() map[string]routing.Use {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]routing.Use, len(g.budgets))
	for service, b := range g.budgets {
		out[service] = b.Use()
	}
	return out
}

// PeerRetryUse takes over what another entry took of the retry budgets, and when it last heard
// this one.
func (g *Gateway) PeerRetryUse(name string, uses map[string]routing.Use, heardUs time.Time) {
	for service, u := range uses {
		g.budget(service).HeardBy(name, u, heardUs)
	}
}

// budget returns the retry budget of a service.
func (g *Gateway) budget(service string) *routing.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	b, ok := g.budgets[service]
	if !ok {
		b = routing.NewWindow(g.settings.RetryRatio, g.settings.RetryExtra, g.settings.RetryWindow, g.now)
		b.Entries(g.entries)
		b.Messages(g.others.Told())
		g.budgets[service] = b
	}
	return b
}
