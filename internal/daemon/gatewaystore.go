package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/kernel"
	product "github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/reconnect"
	"github.com/sparshore/sparshore/platform"
)

func followSettings(table string, wait time.Duration) belief.Settings {
	return belief.Settings{
		Table: table, HoldTime: wait, CallSlack: followTimeoutMargin, ListTimeout: followListTimeout,
		BackoffMin: followBackoffMin, BackoffMax: followBackoffMax, SettleFor: settleTime, RestoreFor: restoreTime, GatherDelay: followBatchDelayMin, GatherDelayMax: followBatchDelayMax,
	}
}

// newFollowers creates the followers of the tables.
func (b *gatewayBuilder) newFollowers() {
	b.routesFollower = belief.New(followSettings(platform.TableRoutes, routesWait), b.source.Platform(), b.applyOperators(), b.confirmRoutes, func() { b.upstreamsFollower.Interrupt() }, b.rec, time.Now)
	b.upstreamsFollower = belief.New(followSettings(platform.TableUpstreams, upstreamsWait), b.source.Platform(), b.applyUpstreams, b.fleet.Followed, func() {}, b.rec, time.Now)
	b.upstreamsVerifier = belief.NewVerifier(belief.VerifierSettings{
		Timeout: verifyTimeout, RetryAfter: verifyRetryAfter,
		Spacing: func() time.Duration { return time.Duration(b.liveEntries()+1) * verifySpacing },
	}, b.upstreamsFollower, b.store, time.Now)
}

// storeClient returns a client that keeps few connections: one for each table that is followed, one to recheck
// the routes and one for other calls.
func (b *gatewayBuilder) storeClient() *reconnect.Client {
	return reconnect.New(reconnect.Settings{OverdueMin: storeOverdueMin, OverdueMax: storeOverdueMax, MaxBody: platform.MaxResponseBytes}, func() *http.Transport {
		return &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 4,
			DisableCompression:  true,
		}
	}, b.rec, time.Now)
}

// applyUpstreams applies rows of the upstreams table to the fleet.
func (b *gatewayBuilder) applyUpstreams(s product.Snapshot, full bool) {
	settled, _ := b.upstreamsFollower.Settled()
	if s.Restored {
		b.upstreams.restore(s.Records, settled)
		b.fleet.MissedChanges()
		b.originStore.Restored()
		return
	}
	b.upstreams.apply(s.Records, full, settled)
}

// applyOperators returns a function that applies the rows that operators write: the route table and
// the zones that they closed.
func (b *gatewayBuilder) applyOperators() func(s product.Snapshot, full bool) {
	zones := belief.NewZones(platform.EvacuatedZone, b.fleet.CloseZones)
	return func(s product.Snapshot, full bool) {
		b.routes.Apply(s, full)
		if row, ok := b.routes.NewerThanStore(); ok {
			b.relayLog.OverrideRow(platform.TableRoutes, row)
		}
		zones.Apply(s, full)
		if s.Restored {
			b.renewAfterRestore()
		}
	}
}

// confirmRoutes records that an answer confirmed the route table as of a steady time.
func (b *gatewayBuilder) confirmRoutes(at time.Time) {
	by := belief.Evidence{Source: belief.FromStore, Entry: b.source.SourceOf(platform.TableRoutes)}
	if by.Entry != "" {
		by.Source = belief.FromRelay
	}
	b.routes.ConfirmCurrent(at, by)
}

// renewAfterRestore renews the row of this entry after a random delay. The store was restored from
// an older copy that may lack the row. The delays of all entries are spread over the time in which
// the store can accept their rows.
func (b *gatewayBuilder) renewAfterRestore() {
	entries := len(b.gossip.Peers()) + 1
	time.AfterFunc(time.Duration(rand.Int64N(int64(entries)*int64(directoryWriteSpacing)+1)), b.directory.RenewSoon)
}

func (b *gatewayBuilder) followService() kernel.Service {
	return kernel.Service{
		Name:  serviceFollow,
		Build: func(*kernel.Registry) (any, error) { return b.routes, nil },
		Start: func(context.Context, *kernel.Registry) error {
			go b.routesFollower.Run(b.ctx)
			go b.upstreamsFollower.Run(b.ctx)
			go b.sweep()
			return nil
		},
	}
}

// sweep ends what has expired. While the store cannot be reached, it asks the engines themselves
// whether they leave.
func (b *gatewayBuilder) sweep() {
	b.every(sweepInterval, func() {
		b.fleet.Sweep()
		b.pool.Sweep()
		b.gateway.ForgetUnreachable()
		b.gateway.CountReachable()
		b.gateway.SweepQuarantine()
		b.gateway.SweepLimits()
		b.gateway.SweepMemory()
		b.gateway.Origins().Sweep()
		b.publishQuarantines()
		if _, ok := b.upstreamsFollower.Settled(); !ok {
			b.gateway.QueryEngines(b.ctx)
		}
	})
}
