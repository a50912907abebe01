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
	"github.com/sparshore/sparshore/platform"
)

func followSettings(table string, wait time.Duration) belief.Settings {
	return belief.Settings{
		Table: table, Wait: wait, Slack: followSlack, ListWithin: followList,
		PauseLeast: followPauseLeast, PauseMost: followPauseMost, SettleFor: settleFor, RestoreFor: restoreFor, Gather: followGather, GatherMost: followGatherMost,
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

// applyUpstreams hands the rows of upstreams to the fleet.
func (b *gatewayBuilder) applyUpstreams(s product.Snapshot, full bool) {
	settled, _ := b.members.Settled()
	if s.Restored {
		b.upstreams.restore(s.Records, settled)
		return
	}
	b.upstreams.apply(s.Records, full, settled)
}

// applyOperators returns what takes over the rows that operators write: the route table
// and the zones that they closed.
func (b *gatewayBuilder) applyOperators() func(s product.Snapshot, full bool) {
	zones := belief.NewZones(platform.ClosedZone, b.fleet.CloseZones)
	return func(s product.Snapshot, full bool) {
		b.routes.Apply(s, full)
		if row, ok := b.routes.Kept(); ok {
			b.log.Keep(platform.TableRoutes, row)
		}
		zones.Apply(s, full)
		if s.Restored {
			b.listAgain()
		}
	}
}

// listAgain writes the own row anew some time after the store was restored from a copy, which may lack
// it. Entries spread over the time in which the store takes the rows of all.
func (b *gatewayBuilder) listAgain() {
	entries := len(b.gossip.Peers()) + 1
	time.AfterFunc(time.Duration(rand.Int64N(int64(entries)*int64(directoryWriteEach)+1)), b.directory.RenewSoon)
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

// sweep ends what has a time limit and, while the store cannot tell, asks the
// engines themselves whether they leave.
func (b *gatewayBuilder) sweep() {
	b.every(sweepEvery, func() {
		b.fleet.Sweep()
		b.pool.Sweep()
		b.gateway.ForgetSilent()
		b.gateway.CountHeard()
		b.gateway.SweepQuarantine()
		b.gateway.SweepLimits()
		b.tellHeld()
		if _, ok := b.members.Settled(); !ok {
			b.gateway.InquireAll(b.ctx)
		}
	})
}
