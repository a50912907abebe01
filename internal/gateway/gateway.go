// Package gateway serves callers according to a route table: it checks their keys, chooses a
// service and an upstream, relays the answer, and moves running generations away from engines
// that are leaving. Each gateway process of a deployment, called an entry, runs one Gateway,
// which package daemon connects to the store and to the other entries. Every request ends with an
// answer that shows whether it may have run, or with a cut connection if part of its answer was
// already sent. The wire format is left to a protocol.Protocol.
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
	"github.com/sparshore/sparshore/internal/membudget"
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/pace"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routing"
)

// Settings configures a Gateway.
type Settings struct {
	// Name is the name of this entry among all entries.
	Name string
	// Incarnation identifies this incarnation of the entry.
	Incarnation string
	// Zone is the availability zone of the entry.
	Zone string
	// MaxRoutesAge is how long a route table is trusted without confirmation. An older table
	// proves neither that a key is still valid nor that a key does not exist.
	MaxRoutesAge time.Duration
	// HardKeyBound refuses requests with keys if the table is older than that. Without it, the
	// keys in the last known table are accepted for as long as the store is unavailable.
	HardKeyBound bool
	// RetryRatio, RetryExtra and RetryWindow define the retry budget: the limit on attempts
	// beyond the first at the upstreams of one service, over all entries.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// EarlierProcesses is set if earlier processes of this entry may have used the retry budgets within
	// RetryWindow. No extra attempts are made until RestoreRetries and SetRetriesRestored tell what they
	// used, or until that is out of the window.
	EarlierProcesses bool
	// MemoryBytes limits the memory for buffered requests and responses; 0 means no limit.
	MemoryBytes int64
}

// Gateway is the http.Handler that serves callers.
type Gateway struct {
	settings Settings
	routes   *belief.Routes
	fleet    *fleet.Set
	link     *link.Pool
	proto    protocol.Protocol
	rec      *events.Recorder
	met      *metrics
	now      func() time.Time
	loads    *loadTracker
	// latestEnd is when a planned stop ends this entry at the latest, and zero if none is under way. New
	// requests have to be answered by lastAnswer, and streams end before lastStreamEnd. stopNoticedAt is when the
	// load balancer has noticed the stop.
	latestEnd     atomicTime
	lastAnswer    atomicTime
	lastStreamEnd atomicTime
	stopNoticedAt atomicTime
	// unansweredStopped is cancelled by giveUpUnanswered when a planned stop gives up the requests in
	// flight whose answer has not begun, stopping by giveUpAll when it gives up the others.
	unansweredStopped context.Context
	giveUpUnanswered  context.CancelFunc
	stopping          context.Context
	giveUpAll         context.CancelCauseFunc
	unanswered        unansweredRequests
	// running measures this process near the end of a planned stop.
	running runMeter
	// inFlight is the number of callers' requests; lastRequestAt is when the latest one started or
	// ended.
	inFlight      atomic.Int64
	lastRequestAt atomicTime
	eventInterval eventInterval
	readTime      readTime
	// durations measures how long generations take.
	durations *durations
	moveRoom  placement.MoveReserve
	prefixes  *prefixes
	// paces tracks how fast engines generate.
	paces *pace.Set
	// relocating is set while a generation is moved away from a slow engine.
	relocating atomic.Bool
	trusted    atomic.Bool
	// quarantine tracks the requests that crash upstreams.
	quarantine *quarantine.Set
	// startedAt is when this entry started. entriesListed is set once it has read the list of
	// entries.
	startedAt     time.Time
	entriesListed atomic.Bool
	// liveEntries is the number of reachable entries with this one, as counted by CountReachable.
	liveEntries atomic.Int64
	// retriesRestored is set once it is known what earlier processes of this entry used of the retry
	// budgets.
	retriesRestored atomic.Bool
	// limits tracks the rate limits that upstreams state.
	limits *limits.Set
	// origins tracks which software version began each stream that its caller may resume.
	origins *origin.Set
	// memory limits what is buffered for requests; nil for no limit. readAheads are the streams that
	// may be read ahead of their callers.
	memory     *membudget.Budget
	readAheads readAheadSet

	mu sync.Mutex
	// entries is the number of entries that share the retry budgets.
	entries int
	budgets map[string]*routing.SharedBudget
	streams map[string]map[*stream]bool
	moving  map[string]bool
	// retryPeers holds what the other entries reported last of their use of the retry budgets.
	retryPeers map[string]retryPeer
	// retriesUsedUp counts, by service, the attempts that the retry budgets did not allow.
	retriesUsedUp map[string]usedUp
	// overloads holds the overload state of each service.
	overloads map[string]*placement.Overload
	// lines holds the generations of each service that wait for room.
	lines map[string]*placement.Line
	// briefForecasts holds the forecast of brief generations of each service.
	briefForecasts map[string]*placement.BriefForecast
	// retryTimes staggers the retries of callers that were refused while all upstreams of their
	// service were in backoff.
	retryTimes placement.RetrySchedule
	// queriedAt holds the time at which each engine was last queried for its state.
	queriedAt map[string]time.Time
	// endChecks holds the end checks of each upstream.
	endChecks     map[string]*endChecks
	endProofTimes endProofTimes
	// probing holds the upstreams that are being probed for a crash.
	probing map[string]bool
	peers   Peers
}

// Peers gives access to the other entries of the deployment.
type Peers struct {
	// SendSoon sends them the load of this entry soon, and SendNow sends it at once.
	SendSoon func()
	SendNow  func()
	// LivePeers returns the reachable entries and what they reported.
	LivePeers func() map[string]gossip.Peer
	// Delay returns how long it takes this entry to learn of a request that an entry in a zone
	// placed. sentSoon is set if that entry called SendSoon for the request.
	Delay func(zone string, sentSoon bool) time.Duration
	// DeliveryTimes returns the time within which all entries receive what SendNow sends, and the silence
	// after which an entry must not be relied on.
	DeliveryTimes func() (delivery, silence time.Duration)
	// Limits is how entries share the capacity of rate-limited upstreams.
	Limits limits.Peers
	// Origins is how entries report to each other which software version began a stream.
	Origins origin.Peers
	// StoredOrigins is what the entries stored of that.
	StoredOrigins StoredOrigins
	// VerifyUpstreams makes sure that the rows of all upstreams are known as of a steady time or later.
	VerifyUpstreams func(ctx context.Context, after time.Time) error
}

// New returns a Gateway.
func New(settings Settings, routes *belief.Routes, set *fleet.Set, pool *link.Pool, proto protocol.Protocol, peers Peers, rec *events.Recorder, reg prometheus.Registerer, now func() time.Time) *Gateway {
	g := &Gateway{
		settings: settings, routes: routes, fleet: set, link: pool, proto: proto, rec: rec,
		met: newMetrics(reg, func() float64 { return routesAge(routes, now).Seconds() }), now: now, loads: newLoadTracker(now), prefixes: newPrefixes(), entries: 1,
		budgets: map[string]*routing.SharedBudget{}, retryPeers: map[string]retryPeer{}, retriesUsedUp: map[string]usedUp{}, streams: map[string]map[*stream]bool{}, moving: map[string]bool{}, overloads: map[string]*placement.Overload{}, lines: map[string]*placement.Line{}, briefForecasts: map[string]*placement.BriefForecast{},
		queriedAt: map[string]time.Time{}, endChecks: map[string]*endChecks{}, probing: map[string]bool{}, peers: peers,
		quarantine: quarantine.New(rec, now, peers.SendNow), limits: limits.New(settings.Name, settings.Incarnation, peers.Limits, rec, now), origins: origin.New(peers.Origins, rec, now), startedAt: now(),
	}
	g.durations = newDurations()
	g.paces = pace.New(g.recordPaceChange)
	reg.MustRegister(newLimitRates(g.limits.List), newRetryUse(g.RetryUse), newHeadroomGauge(g.headroomByService), newPaceCollector(g.paces))
	g.memory = newMemoryBudget(settings.MemoryBytes, reg)
	registerOriginMetrics(reg, g.origins.Size)
	g.unansweredStopped, g.giveUpUnanswered = context.WithCancel(context.Background())
	g.stopping, g.giveUpAll = context.WithCancelCause(context.Background())
	return g
}

// Ready answers the load balancer's readiness check.
func (g *Gateway) Ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case !g.StopDeadline().IsZero():
		http.Error(w, "stopping", http.StatusServiceUnavailable)
	case !g.servesKeys(g.readRoutes()):
		http.Error(w, "no confirmed routes", http.StatusServiceUnavailable)
	case !g.peersKnown():
		http.Error(w, "other entries are not known", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ok\n"))
	}
}

// peersWait is how long after its start an entry stays unready while it has not learned of the
// other entries. It allows a few attempts to read the list of entries while the store is slow.
const peersWait = 5 * time.Second

// peersKnown reports whether this entry has learned which other entries serve, or has waited
// peersWait for that. An entry without that list decides alone which requests are poison
// and uses the whole of the retry budgets that all entries share, so callers should be sent to the
// other entries until then.
func (g *Gateway) peersKnown() bool {
	return g.entriesListed.Load() || len(g.peers.LivePeers()) > 0 || g.now().Sub(g.startedAt) > peersWait
}

// readRoutes reads the route table once, reports whether it is recent enough to check keys with, and logs each
// change of that.
func (g *Gateway) readRoutes() (read belief.Reading, trusted bool) {
	read = g.routes.Read()
	age := g.now().Sub(read.Confirmed)
	trusted = read.Table != nil && age < g.settings.MaxRoutesAge
	if g.trusted.Swap(trusted) != trusted {
		id := events.RoutesConfirmed
		if !trusted {
			id = events.RoutesUnconfirmed
		}
		g.rec.Note(id, "", "age", age, "from", read.Evidence, "row", read.Row, "bound", g.settings.MaxRoutesAge, "known-keys-served", g.servesKeys(read, trusted))
	}
	return read, trusted
}

// servesKeys reports whether requests with known keys are served by a table.
func (g *Gateway) servesKeys(read belief.Reading, trusted bool) bool {
	return read.Table != nil && (trusted || !g.settings.HardKeyBound)
}

// routesAge returns the time since the route table was last confirmed, or 0 if there is none.
func routesAge(routes *belief.Routes, now func() time.Time) time.Duration {
	table, confirmed := routes.Current()
	if table == nil {
		return 0
	}
	return now().Sub(confirmed)
}

// Load returns this entry's load in flight by upstream.
func (g *Gateway) Load() map[string]gossip.Load { return g.loads.snapshot() }

// KnownLoad returns the load in flight of all reachable entries at an upstream.
func (g *Gateway) KnownLoad(upstream string) gossip.Load { return g.loads.total(upstream) }

// SetPeerLoad replaces the load in flight of another entry.
func (g *Gateway) SetPeerLoad(name string, loads map[string]gossip.Load) {
	g.loads.setPeer(name, loads)
}

// ForgetUnreachable drops the load of entries that are no longer reachable. Their connections to
// engines ended with them, and their load must not keep other requests from being admitted.
func (g *Gateway) ForgetUnreachable() {
	peers := g.peers.LivePeers()
	g.loads.keepPeers(func(name string) bool { _, ok := peers[name]; return ok })
	g.sweepEndChecks()
	g.paces.Keep(g.incarnationKnown)
	g.durations.keep(g.incarnationKnown)
	g.prefixes.sweep(func(engine string) bool { _, ok := g.fleet.Get(engine); return ok }, g.now())
}

// SetListedEntries sets how many entries the store lists. The retry budget is shared among these or
// among the reachable entries, whichever are more.
func (g *Gateway) SetListedEntries(registered int) {
	g.entriesListed.Store(true)
	g.limits.SetEntryCount(registered)
	reachable := len(g.peers.LivePeers()) + 1
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setEntries(max(reachable, registered))
}

// RaiseEntries raises the number of entries that share the retry budgets, before the row of this entry
// itself is in the list.
func (g *Gateway) RaiseEntries(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if n > g.entries {
		g.setEntries(n)
	}
}

// CountReachable raises the number of entries if more are reachable than were listed: entries that
// start together find only some of the others in the list. Only SetListedEntries lowers the number,
// since an entry that reaches no other entry must not take the whole budget.
func (g *Gateway) CountReachable() {
	reachable := len(g.peers.LivePeers()) + 1
	g.liveEntries.Store(int64(reachable))
	deliveryTime, silenceLimit := g.peers.DeliveryTimes()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reachable > g.entries {
		g.setEntries(reachable)
		g.limits.SetEntryCount(reachable)
	}
	for _, b := range g.budgets {
		b.SetMessageTimes(deliveryTime, silenceLimit)
	}
}

// setEntries divides the retry budgets among a number of entries. g.mu must be held.
func (g *Gateway) setEntries(entries int) {
	g.entries = entries
	for _, b := range g.budgets {
		b.SetEntries(entries)
	}
}
