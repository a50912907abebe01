package daemon

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/decision"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/lease"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/rollout"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// RunSidecar runs a sidecar until the process is asked to stop.
func RunSidecar(ctx context.Context, s SidecarSettings, logs io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	n := newNode(s.Common, membership.RoleSidecar, s.Upstream, logs)
	b := &sidecarBuilder{node: n, settings: s}
	b.build()
	return kernel.Run(ctx, stopLimits(s.Common), []kernel.Service{
		nodeService(n),
		b.rolloutService(),
		peerService(n, b.methods, func(*kernel.Registry) func(*peer.Conn) { return b.server.Open }),
		httpService(n, b.handler),
		b.sidecarService(),
	})
}

// sidecarBuilder holds the parts of a sidecar while the kernel builds and starts them.
type sidecarBuilder struct {
	node     *node
	settings SidecarSettings

	store  *rollout.Store
	coord  *rollout.Coordinator
	self   *membership.Self
	lease  *lease.Lease
	server *sidecar.Server
}

func (b *sidecarBuilder) build() {
	n, s := b.node, b.settings
	b.store = rollout.NewStore(n.settings.Name, n.settings.Zone, n.rec)
	b.store.Validate = validate
	b.self = &membership.Self{Identity: n.identity, Recorder: n.rec, Status: b.status, OnNewerMark: b.onNewerMark}
	noTargets := func(context.Context) ([]rollout.Target, error) { return nil, nil }
	b.coord = rollout.NewCoordinator(b.store, n.table, n.objects, noTargets, n.rec, rollout.DefaultDeadlines(), now)
	b.lease = lease.New(n.table, s.Upstream, n.identity.Incarnation(), lease.Settings{Term: s.LeaseTerm, Skew: s.Skew}, now)
	b.server = sidecar.New(sidecar.Settings{
		Upstream: s.Upstream,
		URL:      s.UpstreamURL,
		Decision: decision.Settings{
			Blocks: s.Blocks, BlockTokens: s.BlockTokens, MaxBatch: s.MaxBatch, TokenGap: s.TokenGap, Risk: s.Risk,
		},
		DetachGrace: s.Grace, KeepEnded: s.Kept, UnackedBytes: s.UnackedBytes, RetainedBytes: s.RetainedBytes,
		CallWindow: s.CallWindow, AnswerBytes: s.AnswerBytes, Skew: s.Skew, CallTimeout: s.CallTimeout, LimitHeader: s.LimitHeader, LeavingHeader: s.LeavingHeader,
	}, n.identity, b.lease, n.rec, sidecar.NewMetrics(n.reg), b.store.Active, now)
	b.store.OnActivate = func(a *config.Active) { b.server.Compile(a.Config()) }
	b.server.OnConfigBehind = func(c *peer.Conn) { b.onNewerMark(c, 0) }
}

func (b *sidecarBuilder) status() membership.Status {
	return membership.Status{Leaving: b.server.Draining(), Mark: b.store.Mark(), Load: b.server.Load()}
}

func (b *sidecarBuilder) onNewerMark(c *peer.Conn, _ config.Mark) { _ = b.store.CatchUp(b.node.ctx, c) }

func (b *sidecarBuilder) methods(*kernel.Registry) (peer.Methods, error) {
	m := baseMethods(b.node, b.self, b.store)
	maps.Copy(m, b.server.Methods())
	return m, nil
}

func (b *sidecarBuilder) handler(*kernel.Registry) (http.Handler, error) {
	mux := http.NewServeMux()
	mux.Handle("/metrics", promhttp.HandlerFor(b.node.reg, promhttp.HandlerOpts{}))
	mux.HandleFunc("/livez", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if b.server.Draining() || b.store.Active() == nil {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ok\n")
	})
	return mux, nil
}

const (
	firstConfigRetryInterval = 500 * time.Millisecond
	releaseTimeout           = 2 * time.Second
)

// rolloutService reads the head of the configuration once. Entries send later versions.
func (b *sidecarBuilder) rolloutService() kernel.Service {
	return kernel.Service{
		Name:  serviceRollout,
		Build: func(*kernel.Registry) (any, error) { return b.store, nil },
		Start: func(context.Context, *kernel.Registry) error {
			b.node.runUntilStop(b.firstConfig)
			return nil
		},
	}
}

// firstConfig reads the head until the table answers or an entry has sent a configuration.
func (b *sidecarBuilder) firstConfig(ctx context.Context) {
	for b.coord.Refresh(ctx) != nil && b.store.Active() == nil {
		select {
		case <-ctx.Done():
			return
		case <-time.After(firstConfigRetryInterval + rand.N(firstConfigRetryInterval)):
		}
	}
}

// keepLease renews the lease and logs when it is acquired and lost.
func (b *sidecarBuilder) keepLease(ctx context.Context) {
	held := false
	b.lease.RenewUntilDone(ctx, func(valid bool, err error) {
		switch {
		case valid && !held:
			b.node.rec.Note(events.LeaseAcquired, "", "fence", b.lease.Fence())
		case !valid && held:
			b.node.rec.Note(events.LeaseLost, "", "error", err)
		}
		held = valid
		if err != nil && !errors.Is(err, lease.ErrHeld) && !errors.Is(err, lease.ErrReleased) {
			b.node.rec.Note(events.PlatformFailed, "", "error", err)
		}
	})
}

func (b *sidecarBuilder) sidecarService() kernel.Service {
	return kernel.Service{
		Name:  serviceSidecar,
		Build: func(*kernel.Registry) (any, error) { return b.server, nil },
		Start: func(context.Context, *kernel.Registry) error {
			b.node.runUntilStop(b.server.Run)
			b.node.runUntilStop(b.keepLease)
			return nil
		},
		Stop: b.stop,
	}
}

// stop immediately stops admitting new work, announces the stop to the entries, and finishes the
// requests in flight before the services that they depend on stop.
func (b *sidecarBuilder) stop(ctx context.Context, r *kernel.Registry) error {
	n := b.node
	deadline := now().Add(n.settings.StopWithin)
	n.rec.Note(events.ProcessStopping, "", "deadline", deadline.Format(time.RFC3339))
	b.server.Drain("stop")
	if s, err := kernel.Lookup[*peer.Server](r, servicePeers); err == nil {
		membership.AnnounceLeaving(ctx, s)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if !b.server.WaitIdle(ctx) {
		n.rec.Note(events.DrainTooShort, "")
		return nil
	}
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	if err := b.lease.Release(releaseCtx); err == nil {
		n.rec.Note(events.LeaseReleased, "")
	}
	return nil
}
