package daemon

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
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
	"github.com/sparshore/sparshore/internal/origin"
	"github.com/sparshore/sparshore/internal/originstore"
	product "github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/relay"
	"github.com/sparshore/sparshore/internal/reload"
	"github.com/sparshore/sparshore/internal/retryuse"
	"github.com/sparshore/sparshore/platform"
)

// The names under which the services of a gateway look each other up.
const (
	serviceGateway   kernel.Name = "gateway"
	serviceFollow    kernel.Name = "follow"
	serviceGossip    kernel.Name = "gossip"
	serviceCallers   kernel.Name = "callers"
	serviceResponses kernel.Name = "responses"
	serviceReadiness kernel.Name = "readiness"
	serviceMetrics   kernel.Name = "metrics"
	serviceLog       kernel.Name = "log"
)

// Times, rates and sizes of a gateway that are not settings.
const (
	// routesWait is how long the store holds a call until the routes change. It determines how old
	// the confirmation of the routes gets. A shorter time costs more calls to the store.
	routesWait = 1400 * time.Millisecond
	// upstreamsWait is the same for upstreams. It stays below relayMaxAge, because other entries do
	// not use what a delegate reports when it is older than that.
	upstreamsWait = 1800 * time.Millisecond
	// followTimeoutMargin is added to the timeout of such a call for the network and a late answer.
	followTimeoutMargin = 700 * time.Millisecond
	// storeOverdueMin is how late an answer of the store may be before the call is repeated on a new
	// connection: many round trips. A store that is slow gets up to storeOverdueMax, of which
	// followTimeoutMargin leaves some time for the repetition.
	storeOverdueMin = 150 * time.Millisecond
	storeOverdueMax = 550 * time.Millisecond
	// followListTimeout bounds a read of a whole table. Such a read takes several pages, each with
	// its own timeout, on the slowest network.
	followListTimeout = 10 * time.Second
	// followBackoffMin and followBackoffMax bound the backoff after failed calls.
	followBackoffMin = 50 * time.Millisecond
	followBackoffMax = 500 * time.Millisecond
	// followBatchDelayMin is the delay after an answer with changes. Changes that follow within it
	// share the next call.
	followBatchDelayMin = 40 * time.Millisecond
	// followBatchDelayMax bounds that delay while changes continue, as when many upstreams start.
	// An engine that leaves gives notice of about 1.5 s, and the delay may use up a seventh of it.
	followBatchDelayMax = 200 * time.Millisecond
	// delegateCount is the number of entries that follow the store on behalf of all others. One of
	// them may fail without other entries having to call the store.
	delegateCount = 2
	// relayWait and relayTimeoutMargin bound how late it is noticed that a delegate does not
	// answer. An engine that leaves gives notice of about 1.5 s.
	relayWait          = 500 * time.Millisecond
	relayTimeoutMargin = 250 * time.Millisecond
	// relayOverdue is how late an answer of an entry may be before the call is repeated on a new connection.
	relayOverdue = 150 * time.Millisecond
	// relayRecheckAge is the time for which the store may hold a call for the routes without another call that
	// it does not hold.
	relayRecheckAge = 500 * time.Millisecond
	// relayMaxAge is the age beyond which data from a delegate is not used. It is slightly longer
	// than the age of that data in normal operation and shorter than the age up to which routes are
	// trusted.
	relayMaxAge = 2 * time.Second
	// relayAvoidFailed is how long an entry that failed to answer is not asked again: the time of a
	// few calls to the store, which is followed instead.
	relayAvoidFailed = 3 * time.Second
	// relayAvoidStale is how long an entry whose answer was too old is not asked again. A delegate
	// that is only late catches up in about this time.
	relayAvoidStale = 250 * time.Millisecond
	// relayCallInterval is the time between two calls to the store, over all entries that cannot
	// get its data from another entry. It bounds how late the end of an outage is noticed.
	relayCallInterval = 100 * time.Millisecond
	// relayRetryInterval is how long an entry that cannot reach the store leaves following it to
	// others. Each attempt is a call that the platform charges for.
	relayRetryInterval = 4 * time.Second
	// settleTime is how long after an outage of the store upstreams whose rows lapsed may take to
	// come back. The operators of the platform state about two seconds.
	settleTime = 2200 * time.Millisecond
	// restoreTime is how long after the store was restored from an older copy its rows may be
	// incomplete: rows are still written again, and rows of upstreams that have stopped meanwhile
	// still disappear. It covers a few heartbeats.
	restoreTime = 5 * time.Second
	// keyBoundMargin is subtracted from the key bound, because the feed of the store may report
	// nothing for up to a second while changes are made.
	keyBoundMargin = 1200 * time.Millisecond
	// gossipInterval is the time between two messages to a peer. Within it, the load of other
	// entries changes by a few requests at most.
	gossipInterval = 200 * time.Millisecond
	// gossipIntervalMin is the least time between two messages to a peer, so that a burst of
	// placements shares a message.
	gossipIntervalMin = 10 * time.Millisecond
	// gossipRate bounds the messages a second that an entry sends to its own zone, and those to all
	// other zones together. With 103 entries, placements reach the 17 entries of the own zone after
	// 68 ms at most and the others after 344 ms.
	gossipRate = 250
	// gossipUrgentIntervalMin is the least time between two urgent messages to all entries. Urgent
	// messages carry faults of engines, retries and planned stops, of which there are a few a
	// second.
	gossipUrgentIntervalMin = 100 * time.Millisecond
	// gossipUrgentRate bounds the urgent messages a second that are sent to all entries directly.
	// At this rate they use a tenth of the processor of a small VM.
	gossipUrgentRate = 1000
	// gossipPeerTimeout is the silence after which the state of a peer is not used any more: a few
	// lost messages in a row.
	gossipPeerTimeout = 1500 * time.Millisecond
	// directoryInterval bounds how late entries that have lost contact with each other find out.
	// directoryReadSpacing bounds the calls of all entries for that: two reads a second and, for
	// renewals, two thirds of a call.
	directoryInterval    = 10 * time.Second
	directoryReadSpacing = 500 * time.Millisecond
	// directoryRetryInterval is the time after which a refused renewal is sent again.
	directoryRetryInterval = 2 * time.Second
	// directoryCallTimeout bounds one call for the list of entries.
	directoryCallTimeout = 1500 * time.Millisecond
	// directoryContactTimeout is the time in which a starting entry receives a message of one of
	// the listed entries: a few round trips, a busy processor and a lost message.
	directoryContactTimeout = time.Second
	// directoryFirstReadSpread spreads the first reads of the list when a whole deployment starts
	// for the first time, so that a hundred calls reach the store one after another.
	directoryFirstReadSpread = time.Second
	// directoryAlonePauseMax bounds the pause after which an entry that found no other entry reads
	// the list again. It covers many calls to the store, so that only few of hundreds of entries
	// that start together repeat the read.
	directoryAlonePauseMax = 300 * time.Millisecond
	// directoryWriteSpacing spreads the rows that entries write when they start together. The store
	// accepts twice this rate.
	directoryWriteSpacing = 10 * time.Millisecond
	// directoryPeersTimeout is the time in which an entry in contact reports the other entries: a
	// few round trips and a busy processor.
	directoryPeersTimeout = 150 * time.Millisecond
	// listedTimeout is how long a starting entry waits for the list of entries before it reads the
	// tables from the store: a few calls, also while the store is slow.
	listedTimeout = time.Second
	// verifyTimeout bounds the time in which the store says whether the upstreams have changed, while a caller waits to
	// resume a stream. After a failure it is not asked again for verifyRetryAfter.
	// verifySpacing is the least time between two such calls of all entries together.
	verifyTimeout    = time.Second
	verifyRetryAfter = 250 * time.Millisecond
	verifySpacing    = time.Millisecond
	// sweepInterval is the time between two checks for lapsed upstreams and idle connections.
	sweepInterval = 250 * time.Millisecond
	// dialTimeout bounds the time to connect to an upstream: a few round trips between zones.
	dialTimeout = 400 * time.Millisecond
	// defaultUpstreamIdle is how long an idle connection is kept if the upstream does not state its
	// idle timeout. upstreamIdleMargin is subtracted from a stated timeout. Both keep a request
	// from being sent while the upstream closes the connection.
	defaultUpstreamIdle = 300 * time.Millisecond
	upstreamIdleMargin  = 700 * time.Millisecond
	// cancelledHeadTimeout is how long the response headers of a cancelled request are awaited. A
	// refusal of a request that was just sent arrives within this time.
	cancelledHeadTimeout = 50 * time.Millisecond
	// silenceTimeout closes connections to upstreams whose VM has stopped acknowledging data.
	silenceTimeout = 3 * time.Second
	// callerIdleTimeout and callerHeaderTimeout bound connections of callers while no routes are
	// known, and are an upper bound for the limits that operators set, because net/http cannot
	// change them later.
	callerIdleTimeout   = 5 * time.Minute
	callerHeaderTimeout = time.Minute
	// quietPeriod is the time without any request after which a stopping gateway concludes that the
	// load balancer sends callers elsewhere. The balancer checks readiness each second.
	quietPeriod = time.Second
	// quietPollInterval is the time between two checks of that.
	quietPollInterval = 50 * time.Millisecond
	// closeReserve is the time that remains for the responses to the latest callers once a stopping
	// gateway accepts no more connections: a few round trips. Requests that would take longer are
	// refused before, without being executed.
	closeReserve = 200 * time.Millisecond
	// stopReserve is the part of the stop time that remains when requests without an answer have been given up and
	// answered.
	stopReserve = 250 * time.Millisecond
	// exitReserve is the part of the stop time that remains for the other services and the log once the last
	// responses have been awaited and the last answers are cut. Most of the services have nothing left to do.
	exitReserve = 50 * time.Millisecond
	// handlerReserve is the part of the stop time in which handlers end once their connections are closed, and
	// logReserve the part that remains then to write the log.
	handlerReserve = 5 * time.Millisecond
	logReserve     = 5 * time.Millisecond
	// retryBudgetShare is the part of the allowed additional attempts that entries use. The rest
	// compensates for windows that differ between entries.
	retryBudgetShare = 0.85
	// logQueueLines is the size of the log queue: the lines of about a second.
	logQueueLines = 512
	// tableEntries is the table in which entries register themselves.
	tableEntries = "entries"
	// tableRetries is the table in which entries store their use of the retry budgets.
	tableRetries = "retries"
	// retryUseTick is the time between two checks for extra attempts to store. retryUseInterval is the
	// least time between two writes of an entry, and retryUseSpacing the one between the writes of all
	// entries together.
	retryUseTick     = 100 * time.Millisecond
	retryUseInterval = time.Second
	retryUseSpacing  = 25 * time.Millisecond
	// retryUseCallTimeout bounds a call to the store for that, and retryUseAskTimeout one to another entry:
	// a few round trips and a busy processor.
	retryUseCallTimeout = time.Second
	retryUseAskTimeout  = 250 * time.Millisecond
	// tableOrigins is the table in which entries store the software versions in service and the streams that
	// they began.
	tableOrigins = "origins"
	// originStoreTick is the time between two checks for what to store, originStoreInterval the least time
	// between two writes of an entry's streams, and originStoreSpacing the one between the writes of all
	// entries together.
	originStoreTick     = 50 * time.Millisecond
	originStoreInterval = time.Second
	originStoreSpacing  = 25 * time.Millisecond
	// originStoreCallTimeout bounds a call to the store for that, which a caller may wait for.
	originStoreCallTimeout = time.Second
)

// RunGateway runs a gateway until the process is asked to stop.
func RunGateway(ctx context.Context, s GatewaySettings, logs io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	b := newGatewayBuilder(s, logs)
	return kernel.Run(ctx, kernel.Limits{Start: startLimit, Stop: s.StopWithin}, []kernel.Service{
		b.logService(),
		b.responseService(),
		b.metricsService(),
		b.relayService(),
		b.gossipService(),
		b.followService(),
		b.readinessService(),
		b.callerService(),
		b.gatewayService(),
	})
}

// gatewayBuilder holds the parts of a gateway while the kernel builds and starts them.
type gatewayBuilder struct {
	settings GatewaySettings
	// incarnation is the identifier of this run of the process.
	incarnation string
	logWriter   *logline.Writer
	rec         *events.Recorder
	reg         *prometheus.Registry
	store       *product.Store
	relayLog    *relay.Log
	source      *relay.Store
	routes      *belief.Routes
	// staleTable detects that other entries have later routes than the store.
	staleTable belief.StaleTableDetector
	fleet      *fleet.Set
	// upstreams applies the rows of the upstreams table to the fleet.
	upstreams         *upstreamRows
	pool              *link.Pool
	gateway           *gateway.Gateway
	callers           *httpServer
	routesFollower    *belief.Follower
	upstreamsFollower *belief.Follower
	upstreamsVerifier *belief.Verifier
	gossip            *gossip.Node
	directory         *directory.Directory
	// retryUse carries the use of the retry budgets over to the next process of this entry.
	retryUse *retryuse.Keeper
	// originStore stores what a process needs to resume streams after a loss of all entries.
	originStore *originstore.Keeper
	stalls      *stallDetector
	lags        *lagDetector
	// publishedQuarantines is the number of quarantines of this entry as of the latest renewal
	// of its row.
	publishedQuarantines int
	// listed is closed by listedOnce once the list of entries has been read.
	listed     chan struct{}
	listedOnce sync.Once
	ctx        context.Context
	cancel     context.CancelFunc
}

func newGatewayBuilder(s GatewaySettings, logs io.Writer) *gatewayBuilder {
	b := &gatewayBuilder{settings: s, reg: prometheus.NewRegistry(), stalls: newStallDetector(time.Now), lags: newLagDetector(time.Now), listed: make(chan struct{})}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.logWriter = logline.New(logline.Settings{Lines: s.LogLines, Queue: logQueueLines}, logs, time.Now)
	b.incarnation = newIncarnation()
	logTo := func(w io.Writer) logr.Logger {
		return newLogger(w).WithValues("process", s.Name, "incarnation", b.incarnation)
	}
	b.rec = events.New(events.Logs{Usual: logTo(b.logWriter), Reserved: logTo(b.logWriter.Reserved())}, s.Name, b.incarnation, s.TimelineSize, time.Now)
	b.reg.MustRegister(collectors.NewGoCollector())
	b.store = belief.WithAnswerTimes(platform.NewStore(s.Store, b.storeClient()), time.Now, platform.TableRoutes)
	b.relayLog = relay.NewLog(time.Now)
	b.source = relay.New(relay.Settings{
		Name: s.Name, Zone: s.Zone, Size: s.size(), Delegates: delegateCount, PeerListTimeout: listedTimeout,
		Wait: relayWait, Slack: relayTimeoutMargin, Overdue: relayOverdue, StoreSlack: followTimeoutMargin, Rechecked: []string{platform.TableRoutes}, RecheckAge: relayRecheckAge, MaxAge: relayMaxAge, AvoidFor: relayAvoidFailed, AvoidStaleFor: relayAvoidStale, StoreCallInterval: relayCallInterval, RetryAfter: relayRetryInterval,
	}, b.store, b.relayLog, b.relayPeers, b.listed, b.rec, time.Now)
	b.routes = belief.NewRoutes(platform.RowRoutes, platform.DecodeRoutes, b.rec, time.Now)
	registerRouteMetrics(b.reg, b.routes.Confirmations)
	registerRelayMetrics(b.reg, b.source.OlderTables)
	b.fleet = fleet.New(b.rec, time.Now, func(id string) { b.gateway.Evacuate(id) })
	b.upstreams = newUpstreamRows(platform.DecodeUpstream, b.fleet, newBadRows(events.UpstreamRejected, platform.RejectReason, b.reg, b.rec, time.Now))
	proto := platform.NewProtocol()
	b.pool = link.New(link.Settings{DialTimeout: dialTimeout, DefaultIdleTimeout: defaultUpstreamIdle, IdleMargin: upstreamIdleMargin, HeadGrace: cancelledHeadTimeout, IDHeader: proto.IDHeader}, dialer(), time.Now)
	b.gateway = gateway.New(gateway.Settings{
		Name: s.Name, Incarnation: b.incarnation, Zone: s.Zone, MaxRoutesAge: s.KeyBound - keyBoundMargin, HardKeyBound: s.KeyBoundHard,
		RetryRatio: s.RetryRatio * retryBudgetShare, RetryExtra: s.RetryExtra * retryBudgetShare, RetryWindow: s.RetryWindow, EarlierProcesses: !s.StartTogether, MemoryBytes: s.bufferLimit(),
	}, b.routes, b.fleet, b.pool, proto, gateway.Peers{
		SendSoon:      func() { b.gossip.SendSoon() },
		LivePeers:     func() map[string]gossip.Peer { return b.gossip.Peers() },
		SendNow:       func() { b.gossip.SendNow() },
		Delay:         func(zone string, sentSoon bool) time.Duration { return b.gossip.Delay(zone, sentSoon) },
		DeliveryTimes: func() (delivery, silence time.Duration) { return b.gossip.DeliveryTime() },
		Limits: limits.Peers{
			LivePeers:     func() []limits.Entry { return b.gossip.LivePeers() },
			Send:          func(to string, m limits.Message, at time.Time) { b.gossip.Send(to, m, at) },
			Broadcast:     func() { b.gossip.Broadcast() },
			BroadcastTime: func() time.Duration { return b.gossip.BroadcastTime() },
			RoundTrip:     func() time.Duration { return b.gossip.RoundTrip() },
		},
		Origins: origin.Peers{
			Live:      func() []string { return b.gossip.LivePeerNames() },
			Known:     func() []string { return b.gossip.PeerNames() },
			Send:      func(to string, m origin.Message) { b.gossip.SendOrigins(to, m) },
			RoundTrip: func() time.Duration { return b.gossip.RoundTrip() },
		},
		StoredOrigins: gateway.StoredOrigins{
			Find: func(ctx context.Context, k origin.Key, service string, after time.Time) (originstore.Stored, error) {
				return b.originStore.Find(ctx, k, service, after)
			},
			Confirm: func(ctx context.Context, o origin.Origin) bool { return b.originStore.Confirm(ctx, o) },
		},
		VerifyUpstreams: func(ctx context.Context, after time.Time) error { return b.upstreamsVerifier.Verify(ctx, after) },
	}, b.rec, b.reg, time.Now)
	b.gateway.Quarantine().SetName(s.Name)
	b.retryUse = b.newRetryUse()
	b.originStore = b.newOriginStore()
	b.newFollowers()
	return b
}

func (b *gatewayBuilder) logService() kernel.Service {
	return kernel.Service{
		Name:  serviceLog,
		Build: func(*kernel.Registry) (any, error) { return b.rec, nil },
		Start: func(context.Context, *kernel.Registry) error {
			go b.reportDroppedLines()
			clocks := newClockWatch(readClocks)
			go b.lags.run(b.ctx, func() {
				b.stalls.tick()
				b.reportClockJump(clocks.tick())
			})
			go logReloads(b.ctx, reload.Requests(), b.rec, b.settings.String())
			return nil
		},
		Stop: func(context.Context, *kernel.Registry) error {
			b.cancel()
			b.rec.Note(events.ProcessStopped, "")
			// Without this, the lines of the last moments are lost with the process.
			b.logWriter.Close()
			return nil
		},
	}
}

// reportDroppedLines logs once a second how many log lines were left out.
func (b *gatewayBuilder) reportDroppedLines() {
	b.every(time.Second, func() {
		if n := b.logWriter.Dropped(); n > 0 {
			b.rec.Note(events.LinesDropped, "", "lines", n)
		}
	})
}

// reportClockJump logs a jump of the time of day; 0 is none.
func (b *gatewayBuilder) reportClockJump(by time.Duration) {
	if by != 0 {
		b.rec.Note(events.ClockJumped, "", "by", by)
	}
}

// every calls f once each period until the process stops.
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
