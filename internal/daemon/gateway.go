package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/directory"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/gateway"
	"github.com/sparshore/sparshore/internal/gossip"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/link"
	"github.com/sparshore/sparshore/internal/logline"
	"github.com/sparshore/sparshore/internal/peer"
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
	// followPauseLeast and followPauseMost bound the back-off.
	followPauseLeast = 50 * time.Millisecond
	followPauseMost  = 500 * time.Millisecond
	// followGather joins changes that come close together in one call.
	followGather = 40 * time.Millisecond
	// delegates is the number of entries that follow the store for all others:
	// one more than may be lost at a time without asking the store again.
	delegates = 2
	// relayWait and relaySlack bound how late the silence of a delegate is
	// noticed; an engine that leaves gives notice of some 1.5 s.
	relayWait  = 500 * time.Millisecond
	relaySlack = 250 * time.Millisecond
	// relayStale is beyond the age of what a delegate knows in steady state, and
	// under the age to which routes are trusted.
	relayStale = 2500 * time.Millisecond
	// relayAvoid is some tries' worth of following the store instead.
	relayAvoid = 3 * time.Second
	// settleFor is how long after an outage lapsed upstreams have to come back:
	// the platform's operators state about two seconds.
	settleFor = 2200 * time.Millisecond
	// trustMargin is taken off the key bound: the store's feed may be silent for
	// up to a second while changes are made.
	trustMargin = 1200 * time.Millisecond
	// gossipEvery makes load of others at most a few requests old.
	gossipEvery = 200 * time.Millisecond
	// gossipLeast lets a burst of placements share a message.
	gossipLeast = 10 * time.Millisecond
	// gossipRate bounds an entry's messages a second: some 20 microseconds of
	// processor time each, on cores of which an entry may have a seventh.
	gossipRate = 200
	// gossipForget is some lost messages in a row.
	gossipForget = 1500 * time.Millisecond
	// directoryEvery bounds how late a new entry learns of the others.
	directoryEvery = 10 * time.Second
	// directoryCall bounds one call for the list of entries.
	directoryCall = 1500 * time.Millisecond
	// sweepEvery is the pause between looks at lapsed upstreams and idle connections.
	sweepEvery = 250 * time.Millisecond
	// dialWithin bounds a new connection to an upstream: some round trips between zones.
	dialWithin = 400 * time.Millisecond
	// idleUnknown and idleMargin keep requests from crossing an upstream's close.
	idleUnknown = 300 * time.Millisecond
	idleMargin  = 700 * time.Millisecond
	// silentAfter ends connections to upstreams whose VM stopped acknowledging.
	silentAfter = 3 * time.Second
	// callerIdle is how long an idle caller's connection is kept.
	callerIdle = 75 * time.Second
	// callerHeader bounds the time a caller has to send the headers.
	callerHeader = 10 * time.Second
	// readyPause is how long a stopping gateway still takes new connections: the
	// balancer asks each second and believes the second refusal.
	readyPause = 2500 * time.Millisecond
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
	life    string
	lines   *logline.Writer
	rec     *events.Recorder
	reg     *prometheus.Registry
	store   *product.Store
	log     *relay.Log
	source  *relay.Store
	routes  *belief.Routes
	fleet   *fleet.Set
	pool    *link.Pool
	gateway *gateway.Gateway
	callers *http.Server
	tables  *belief.Follower
	members *belief.Follower
	gossip  *gossip.Node
	ctx     context.Context
	cancel  context.CancelFunc
}

func newGatewayBuilder(s GatewaySettings, logs io.Writer) *gatewayBuilder {
	b := &gatewayBuilder{settings: s, reg: prometheus.NewRegistry()}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.lines = logline.New(logline.Settings{Lines: s.LogLines, Queue: logQueue}, logs, time.Now)
	b.life = newIncarnation()
	log := newLogger(b.lines).WithValues("process", s.Name, "incarnation", b.life)
	b.rec = events.New(log, s.Name, b.life, s.TimelineSize, time.Now)
	b.reg.MustRegister(collectors.NewGoCollector())
	b.store = belief.Anchored(platform.NewStore(s.Store, storeClient()), time.Now)
	b.log = relay.NewLog(time.Now)
	b.source = relay.New(relay.Settings{
		Name: s.Name, Zone: s.Zone, Delegates: delegates,
		Wait: relayWait, Slack: relaySlack, Stale: relayStale, AvoidFor: relayAvoid,
	}, b.store, b.log, b.relayPeers, b.rec, time.Now)
	b.routes = belief.NewRoutes(platform.RowRoutes, platform.DecodeRoutes, b.rec, time.Now)
	b.fleet = fleet.New(b.rec, time.Now, func(id string) { b.gateway.Evacuate(id) })
	proto := platform.NewProtocol()
	b.pool = link.New(link.Settings{DialWithin: dialWithin, IdleUnknown: idleUnknown, IdleMargin: idleMargin, IDHeader: proto.IDHeader}, dialer(), time.Now)
	b.gateway = gateway.New(gateway.Settings{
		Zone: s.Zone, RoutesTrusted: s.KeyBound - trustMargin,
		RetryRatio: s.RetryRatio * retryShare, RetryExtra: s.RetryExtra * retryShare, RetryWindow: s.RetryWindow,
	}, b.routes, b.fleet, b.pool, proto, func() { b.gossip.Nudge() }, b.rec, b.reg, time.Now)
	b.tables = belief.New(followSettings(platform.TableRoutes, routesWait), b.source.Platform(), b.routes.Apply, b.routes.ConfirmCurrent, func() { b.members.Interrupt() }, b.rec, time.Now)
	b.members = belief.New(followSettings(platform.TableUpstreams, upstreamsWait), b.source.Platform(), b.applyUpstreams, func(time.Time) {}, func() {}, b.rec, time.Now)
	return b
}

func followSettings(table string, wait time.Duration) belief.Settings {
	return belief.Settings{
		Table: table, Wait: wait, Slack: followSlack,
		PauseLeast: followPauseLeast, PauseMost: followPauseMost, SettleFor: settleFor, Gather: followGather,
	}
}

// storeClient keeps few connections: one for each table followed and one for
// other calls.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialWithin}).DialContext,
		MaxIdleConnsPerHost: 3,
		DisableCompression:  true,
	}}
}

// dialer opens connections that end when the other VM goes silent.
func dialer() func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silentAfter / 3, Interval: silentAfter / 3, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var failed error
			err := c.Control(func(fd uintptr) {
				failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silentAfter.Milliseconds()))
			})
			return errors.Join(err, failed)
		},
	}
	return func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp4", address)
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of linux/tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

// applyUpstreams hands the rows of upstreams to the fleet.
func (b *gatewayBuilder) applyUpstreams(s product.Snapshot, full bool) {
	records, gone := upstreamChanges(s.Records, b.rec)
	settled, _ := b.members.Settled()
	b.fleet.Update(records, gone, full, settled)
}

// upstreamChanges decodes changed rows. One answer may hold several changes of a
// row, in order; the last one counts.
func upstreamChanges(rows []product.Record, rec *events.Recorder) (records []fleet.Record, gone []string) {
	last := make(map[string]int, len(rows))
	for i, row := range rows {
		last[row.Name] = i
	}
	for i, row := range rows {
		switch {
		case last[row.Name] != i:
		case row.Gone:
			gone = append(gone, row.Name)
		default:
			r, err := platform.DecodeUpstream(row.Name, row.Value)
			if err != nil {
				rec.Note(events.UpstreamRejected, "", "upstream", row.Name, "version", row.Version, "error", err)
				continue
			}
			records = append(records, r)
		}
	}
	return records, gone
}

func (b *gatewayBuilder) logService() kernel.Service {
	return kernel.Service{
		Name:  serviceLog,
		Build: func(*kernel.Registry) (any, error) { return b.rec, nil },
		Start: func(context.Context, *kernel.Registry) error {
			go b.countDropped()
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
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			if n := b.lines.Dropped(); n > 0 {
				b.rec.Note(events.LinesDropped, "", "lines", n)
			}
		}
	}
}

func (b *gatewayBuilder) metricsService() kernel.Service {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(b.reg, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	return b.listenService(serviceMetrics, "--metrics-listen", b.settings.MetricsListen, &http.Server{Handler: r, ReadHeaderTimeout: callerHeader})
}

func (b *gatewayBuilder) readinessService() kernel.Service {
	r := mux.NewRouter()
	r.HandleFunc(platform.PathReady, b.gateway.Ready).Methods(http.MethodGet)
	return b.listenService(serviceReadiness, "--ready-listen", b.settings.ReadyListen, &http.Server{Handler: r, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle})
}

func (b *gatewayBuilder) callerService() kernel.Service {
	b.callers = &http.Server{Handler: b.gateway, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle}
	return b.listenService(serviceCallers, "--listen", b.settings.Listen, b.callers)
}

// listenService serves HTTP at an address.
func (b *gatewayBuilder) listenService(name kernel.Name, flag, address string, s *http.Server) kernel.Service {
	return kernel.Service{
		Name:  name,
		Build: func(*kernel.Registry) (any, error) { return s, nil },
		Start: func(context.Context, *kernel.Registry) error {
			l, err := net.Listen("tcp4", address)
			if err != nil {
				return fmt.Errorf("%s: %w", flag, err)
			}
			go func() { _ = s.Serve(l) }()
			return nil
		},
		Stop: func(ctx context.Context, _ *kernel.Registry) error {
			if err := s.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
				return err
			}
			return s.Close()
		},
	}
}

func (b *gatewayBuilder) followService() kernel.Service {
	return kernel.Service{
		Name:  serviceFollow,
		Build: func(*kernel.Registry) (any, error) { return b.routes, nil },
		Start: func(context.Context, *kernel.Registry) error {
			go b.tables.Run(b.ctx)
			go b.members.Run(b.ctx)
			go b.sweep()
			return nil
		},
	}
}

func (b *gatewayBuilder) sweep() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-b.ctx.Done():
			return
		case <-t.C:
			b.fleet.Sweep()
			b.pool.Sweep()
			if _, ok := b.members.Settled(); !ok {
				b.gateway.InquireAll(b.ctx)
			}
		}
	}
}

func (b *gatewayBuilder) gossipService() kernel.Service {
	return kernel.Service{
		Name: serviceGossip,
		Build: func(*kernel.Registry) (any, error) {
			conn, err := net.ListenPacket("udp4", b.settings.GossipListen)
			if err != nil {
				return nil, fmt.Errorf("--gossip-listen: %w", err)
			}
			b.gossip = gossip.New(gossip.Settings{Name: b.settings.Name, Life: b.life, Every: gossipEvery, Least: gossipLeast, Rate: gossipRate, Forget: gossipForget}, conn, b.ownState, b.peerState, b.rec, time.Now)
			return b.gossip, nil
		},
		Start: func(context.Context, *kernel.Registry) error {
			d := directory.New(directory.Settings{
				Table: tableEntries, Name: b.settings.Name, Address: b.settings.GossipListen,
				Every: directoryEvery, CallWithin: directoryCall,
			}, b.store, b.found, b.rec, time.Now)
			go b.gossip.Run(b.ctx)
			go d.Run(b.ctx)
			return nil
		},
	}
}

// relayPeers returns the entries that can be asked for tables.
func (b *gatewayBuilder) relayPeers() []relay.Peer {
	var out []relay.Peer
	for name, p := range b.gossip.Peers() {
		if p.State.Relay != "" {
			out = append(out, relay.Peer{Name: name, Zone: p.State.Zone, Address: p.State.Relay, Confirmed: p.State.Confirmed})
		}
	}
	return out
}

func (b *gatewayBuilder) relayService() kernel.Service {
	return kernel.Service{
		Name: servicePeers,
		Build: func(*kernel.Registry) (any, error) {
			l, err := net.Listen("tcp4", b.settings.RelayListen)
			if err != nil {
				return nil, fmt.Errorf("--relay-listen: %w", err)
			}
			return peer.NewServer(l, b.log.Methods(), nil), nil
		},
		Start: func(_ context.Context, r *kernel.Registry) error {
			s, err := kernel.Lookup[*peer.Server](r, servicePeers)
			if err != nil {
				return err
			}
			s.Start()
			return nil
		},
		Stop: func(_ context.Context, r *kernel.Registry) error {
			s, err := kernel.Lookup[*peer.Server](r, servicePeers)
			if err != nil {
				return err
			}
			s.Close()
			return nil
		},
	}
}

// found takes over the list of entries.
func (b *gatewayBuilder) found(addresses map[string]string) {
	b.gossip.Know(addresses)
	b.gateway.Peers(b.gossip.Peers(), len(addresses))
}

// ownState is what this gateway tells the others.
func (b *gatewayBuilder) ownState() gossip.State {
	s := gossip.State{Zone: b.settings.Zone, Relay: b.settings.RelayListen, Loads: b.gateway.Load(), Leaving: b.fleet.KnownLeaving()}
	table, confirmed := b.routes.Current()
	if table != nil {
		s.Routes, s.Confirmed = table.Version(), confirmed
	}
	return s
}

// peerState takes over what another gateway told.
func (b *gatewayBuilder) peerState(from string, s gossip.State) {
	b.gateway.PeerLoad(from, s.Loads)
	for _, id := range s.Leaving {
		b.fleet.MarkLeaving(id, from)
	}
	if !s.Confirmed.IsZero() {
		b.routes.Confirm(s.Routes, s.Confirmed)
	}
}

// gatewayService is the last to start, so its stop comes first: callers in
// flight are served before anything they need goes away.
func (b *gatewayBuilder) gatewayService() kernel.Service {
	return kernel.Service{
		Name:  serviceGateway,
		Build: func(*kernel.Registry) (any, error) { return b.gateway, nil },
		Start: func(context.Context, *kernel.Registry) error {
			b.rec.Note(events.ProcessStarted, "", "role", "gateway", "listen", b.settings.Listen, "settings", b.settings.String())
			return nil
		},
		Stop: b.drain,
	}
}

// drain lets the balancer notice, then waits for the requests in flight.
func (b *gatewayBuilder) drain(ctx context.Context, _ *kernel.Registry) error {
	deadline := time.Now().Add(b.settings.StopWithin - stopSpare)
	b.rec.Note(events.ProcessStopping, "", "stop-within", b.settings.StopWithin)
	b.gateway.Drain(deadline)
	time.Sleep(min(readyPause, b.settings.StopWithin/3))
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// Shutdown takes no new connections, closes idle ones and waits for the rest.
	if err := b.callers.Shutdown(ctx); err != nil {
		b.rec.Note(events.DrainTooShort, "", "error", err)
	}
	return b.callers.Close()
}
