package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/directory"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gateway"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/limits"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/logline"
	product "github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/relay"
	"github.com/sparshore/sparshore/platform"
)

// The names under which the gateway's services find each other.
const (
	serviceGateway   kernel.Name = "gateway"
	serviceFollow    kernel.Name = "follow"
	serviceGossip    kernel.Name = "gossip"
	serviceCallers   kernel.Name = "callers"
	serviceReadiness kernel.Name = "readiness"
	serviceMetrics   kernel.Name = "metrics"
	serviceLog       kernel.Name = "log"
)

// The fixed times of a gateway.
const (
	// routesWait is how long the store holds a call for a change of the routes.
	// It sets how old a confirmation gets, against the price of calls.
	routesWait = 1400 * time.Millisecond
	// upstreamsWait is the same for upstreams. It stays under relayStale, beyond
	// which other entries do not go by what a delegate knows.
	upstreamsWait = 1800 * time.Millisecond
	// followSlack covers the way to the store and a late answer.
	followSlack = 700 * time.Millisecond
	// followList bounds a read of a whole table: some pages, each of which has a bound
	// of its own, on the slowest link.
	followList = 10 * time.Second
	// followPauseLeast and followPauseMost bound the back-off.
	followPauseLeast = 50 * time.Millisecond
	followPauseMost  = 500 * time.Millisecond
	// followGather joins changes that come close together in one call.
	followGather = 40 * time.Millisecond
	// followGatherMost bounds that pause while changes go on coming, as when many
	// upstreams start: an engine that leaves gives notice of some 1.5 s, of which
	// this is a seventh.
	followGatherMost = 200 * time.Millisecond
	// delegates is the number of entries that follow the store for all others:
	// one more than may be lost at a time without asking the store again.
	delegates = 2
	// relayWait and relaySlack bound how late the silence of a delegate is
	// noticed; an engine that leaves gives notice of some 1.5 s.
	relayWait  = 500 * time.Millisecond
	relaySlack = 250 * time.Millisecond
	// relayStale is just beyond the age of what a delegate knows in steady state, and
	// under the age to which routes are trusted.
	relayStale = 2 * time.Second
	// relayAvoid is some tries' worth of following the store instead.
	relayAvoid = 3 * time.Second
	// relayAvoidStale is the time after which an entry whose answer was too old is asked
	// again: about the time in which a delegate that is merely late catches up.
	relayAvoidStale = 250 * time.Millisecond
	// relayCallEach is the time between two calls to the store of all entries that no
	// other one can tell. It bounds how late the end of an outage is noticed.
	relayCallEach = 100 * time.Millisecond
	// relayRetry is how long an entry that does not reach the store leaves it to
	// others to follow it; each try is a call that the platform charges.
	relayRetry = 4 * time.Second
	// settleFor is how long after an outage lapsed upstreams have to come back:
	// the platform's operators state about two seconds.
	settleFor = 2200 * time.Millisecond
	// restoreFor is how long after the store was restored from a copy rows may still be written
	// again, and those of upstreams that ended meanwhile go: some heartbeats.
	restoreFor = 5 * time.Second
	// trustMargin is taken off the key bound: the store's feed may be silent for
	// up to a second while changes are made.
	trustMargin = 1200 * time.Millisecond
	// gossipEvery makes load of others at most a few requests old.
	gossipEvery = 200 * time.Millisecond
	// gossipLeast lets a burst of placements share a message.
	gossipLeast = 10 * time.Millisecond
	// gossipRate bounds an entry's messages a second to its own zone, and to the others
	// together. With 103 entries the 17 of a zone hear of each other's placements after
	// 68 ms at most, and the others after 344 ms.
	gossipRate = 250
	// gossipUrgent is the least time between two urgent messages to all: faults of
	// engines, repeats and planned stops, some in a second.
	gossipUrgent = 100 * time.Millisecond
	// gossipUrgentRate bounds what is urgent and goes to all directly: a tenth of a small machine's
	// processor.
	gossipUrgentRate = 1000
	// gossipForget is some lost messages in a row.
	gossipForget = 1500 * time.Millisecond
	// directoryEvery bounds how late entries that lost each other find out, and
	// directoryReadEach the calls of all entries for that: two a second and, for
	// renewals, two thirds of one.
	directoryEvery    = 10 * time.Second
	directoryReadEach = 500 * time.Millisecond
	// directoryAgain is the time after which a refused renewal is tried again.
	directoryAgain = 2 * time.Second
	// directoryCall bounds one call for the list of entries.
	directoryCall = 1500 * time.Millisecond
	// directoryHeard is the time in which an entry that starts hears one of those that are
	// listed: some round trips, a busy processor and a lost message.
	directoryHeard = time.Second
	// directoryTogether spreads the first looks at the list when a deployment starts for the first
	// time: a hundred calls to the store, one after another.
	directoryTogether = time.Second
	// directoryAlone bounds the pause after which an entry that found no other one looks again:
	// many calls to the store, so that of hundreds that start together few do.
	directoryAlone = 300 * time.Millisecond
	// directoryWriteEach spreads the rows of entries that start together: the store takes twice
	// as many.
	directoryWriteEach = 10 * time.Millisecond
	// directoryTold is some round trips, and a busy processor.
	directoryTold = 150 * time.Millisecond
	// listedWithin is for how long a start waits for the list of entries before it reads the
	// tables from the store: some calls, also while the store is slow.
	listedWithin = time.Second
	// sweepEvery is the pause between looks at lapsed upstreams and idle connections.
	sweepEvery = 250 * time.Millisecond
	// dialWithin bounds a new connection to an upstream: some round trips between zones.
	dialWithin = 400 * time.Millisecond
	// idleUnknown and idleMargin keep requests from crossing an upstream's close.
	idleUnknown = 300 * time.Millisecond
	idleMargin  = 700 * time.Millisecond
	// headWithin is the time in which a refusal of a request that was just sent comes.
	headWithin = 50 * time.Millisecond
	// silentAfter ends connections to upstreams whose VM stopped acknowledging.
	silentAfter = 3 * time.Second
	// callerIdle and callerHeader bound callers' connections while no routes are
	// known and beyond what operators set: net/http cannot change them later.
	callerIdle   = 5 * time.Minute
	callerHeader = time.Minute
	// quietFor is the silence of all callers that tells that the balancer sends them
	// elsewhere: it asks each second.
	quietFor = time.Second
	// quietEach is the pause between two looks at that.
	quietEach = 50 * time.Millisecond
	// closeSpare is left for the answers to the latest callers when a stopping gateway
	// takes no more connections: some round trips. What would last longer is refused
	// unrun before.
	closeSpare = 200 * time.Millisecond
	// stopSpare is left of the time to stop when requests in flight are given up.
	stopSpare = 250 * time.Millisecond
	// retryShare keeps a little of the allowed attempts unused, for windows that
	// entries see differently.
	retryShare = 0.85
	// logQueue is a second's worth of lines.
	logQueue = 512
	// tableEntries is the table in which entries list themselves.
	tableEntries = "entries"
)

// RunGateway runs a gateway until it is told to stop.
func RunGateway(ctx context.Context, s GatewaySettings, logs io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	b := newGatewayBuilder(s, logs)
	return kernel.Run(ctx, kernel.Limits{Start: startLimit, Stop: s.StopWithin}, []kernel.Service{
		b.logService(),
		b.metricsService(),
		b.relayService(),
		b.gossipService(),
		b.followService(),
		b.readinessService(),
		b.callerService(),
		b.gatewayService(),
	})
}

// gatewayBuilder holds the parts of a gateway.
type gatewayBuilder struct {
	settings GatewaySettings
	// life tells the starts of this process apart.
	life   string
	lines  *logline.Writer
	rec    *events.Recorder
	reg    *prometheus.Registry
	store  *product.Store
	log    *relay.Log
	source *relay.Store
	routes *belief.Routes
	// behind tells when others know later routes than the store.
	behind belief.Behind
	fleet  *fleet.Set
	// upstreams takes over the rows of the fleet.
	upstreams *upstreamRows
	pool      *link.Pool
	gateway   *gateway.Gateway
	callers   *httpServer
	tables    *belief.Follower
	members   *belief.Follower
	gossip    *gossip.Node
	directory *directory.Directory
	watch     *runWatch
	lag       *runLag
	// verdicts is the number of requests held for what this entry saw, as of the latest
	// renewal of its row.
	verdicts int
	// listed is closed by listedOnce when the list of entries was first read.
	listed     chan struct{}
	listedOnce sync.Once
	ctx        context.Context
	cancel     context.CancelFunc
}

func newGatewayBuilder(s GatewaySettings, logs io.Writer) *gatewayBuilder {
	b := &gatewayBuilder{settings: s, reg: prometheus.NewRegistry(), watch: newRunWatch(time.Now), lag: newRunLag(time.Now), listed: make(chan struct{})}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.lines = logline.New(logline.Settings{Lines: s.LogLines, Queue: logQueue}, logs, time.Now)
	b.life = newIncarnation()
	log := newLogger(b.lines).WithValues("process", s.Name, "incarnation", b.life)
	b.rec = events.New(log, s.Name, b.life, s.TimelineSize, time.Now)
	b.reg.MustRegister(collectors.NewGoCollector())
	b.store = belief.Anchored(platform.NewStore(s.Store, storeClient()), time.Now)
	b.log = relay.NewLog(time.Now)
	b.source = relay.New(relay.Settings{
		Name: s.Name, Zone: s.Zone, Size: s.size(), Delegates: delegates, ListedWithin: listedWithin,
		Wait: relayWait, Slack: relaySlack, Stale: relayStale, AvoidFor: relayAvoid, AvoidStaleFor: relayAvoidStale, CallEach: relayCallEach, RetryAfter: relayRetry,
	}, b.store, b.log, b.relayPeers, b.listed, b.rec, time.Now)
	b.routes = belief.NewRoutes(platform.RowRoutes, platform.DecodeRoutes, b.rec, time.Now)
	b.fleet = fleet.New(b.rec, time.Now, func(id string) { b.gateway.Evacuate(id) })
	b.upstreams = newUpstreamRows(platform.DecodeUpstream, b.fleet, newBadRows(events.UpstreamRejected, platform.Reason, b.reg, b.rec, time.Now))
	proto := platform.NewProtocol()
	b.pool = link.New(link.Settings{DialWithin: dialWithin, IdleUnknown: idleUnknown, IdleMargin: idleMargin, HeadWithin: headWithin, IDHeader: proto.IDHeader}, dialer(), time.Now)
	b.gateway = gateway.New(gateway.Settings{
		Name: s.Name, Life: b.life, Zone: s.Zone, RoutesTrusted: s.KeyBound - trustMargin, HardKeyBound: s.KeyBoundHard,
		RetryRatio: s.RetryRatio * retryShare, RetryExtra: s.RetryExtra * retryShare, RetryWindow: s.RetryWindow,
	}, b.routes, b.fleet, b.pool, proto, gateway.Others{
		Nudge: func() { b.gossip.Nudge() },
		Heard: func() map[string]gossip.Peer { return b.gossip.Peers() },
		Urge:  func() { b.gossip.Urge() },
		Delay: func(zone string, nudged bool) time.Duration { return b.gossip.Delay(zone, nudged) },
		Told:  func() (told, silence time.Duration) { return b.gossip.Told() },
		Limits: limits.Others{
			Heard: func() []limits.Entry { return b.gossip.Heard() },
			Send:  func(to string, m limits.Message) { b.gossip.Send(to, m) },
			Urge:  func() { b.gossip.UrgeEach() },
			Told:  func() time.Duration { return b.gossip.ToldEach() },
			Way:   func() time.Duration { return b.gossip.Way() },
		},
	}, b.rec, b.reg, time.Now)
	b.gateway.Quarantine().SetName(s.Name)
	b.tables = belief.New(followSettings(platform.TableRoutes, routesWait), b.source.Platform(), b.applyOperators(), b.routes.ConfirmCurrent, func() { b.members.Interrupt() }, b.rec, time.Now)
	b.members = belief.New(followSettings(platform.TableUpstreams, upstreamsWait), b.source.Platform(), b.applyUpstreams, func(time.Time) {}, func() {}, b.rec, time.Now)
	return b
}

func (b *gatewayBuilder) logService() kernel.Service {
	return kernel.Service{
		Name:  serviceLog,
		Build: func(*kernel.Registry) (any, error) { return b.rec, nil },
		Start: func(context.Context, *kernel.Registry) error {
			go b.countDropped()
			go b.lag.watch(b.ctx, b.watch.look)
			go watchReload(b.ctx, b.rec, b.settings.String())
			return nil
		},
		Stop: func(context.Context, *kernel.Registry) error {
			b.cancel()
			b.rec.Note(events.ProcessStopped, "")
			return nil
		},
	}
}

// countDropped tells once a second how many lines were left out.
func (b *gatewayBuilder) countDropped() {
	b.every(time.Second, func() {
		if n := b.lines.Dropped(); n > 0 {
			b.rec.Note(events.LinesDropped, "", "lines", n)
		}
	})
}

// every calls f each period until the process stops.
func (b *gatewayBuilder) every(period time.Duration, f func()) {
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			f()
		}
	}
}
