package daemon

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/entry"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/rollout"
	"github.com/sparshore/sparshore/internal/sidecar"
)

// RunEntry runs an entry until the process is asked to stop.
func RunEntry(ctx context.Context, s EntrySettings, logs io.Writer) error {
	if err := s.Check(); err != nil {
		return err
	}
	operators, err := parseOperators(s.Operators)
	if err != nil {
		return err
	}
	n := newNode(s.Common, membership.RoleEntry, "", logs)
	b := &entryBuilder{node: n, settings: s, operators: operators}
	b.build()
	return kernel.Run(ctx, stopLimits(s.Common), []kernel.Service{
		nodeService(n),
		peerService(n, b.methods, func(*kernel.Registry) func(*peer.Conn) { return nil }),
		b.memberService(),
		b.rolloutService(),
		httpService(n, b.handler),
		b.entryService(),
	})
}

// entryBuilder holds the parts of an entry while the kernel builds and starts them.
type entryBuilder struct {
	node      *node
	settings  EntrySettings
	operators map[string]string

	store  *rollout.Store
	self   *membership.Self
	set    *membership.Set
	client *sidecar.Client
	coord  *rollout.Coordinator
	entry  *entry.Entry
}

func (b *entryBuilder) build() {
	n := b.node
	b.store = rollout.NewStore(n.settings.Name, n.settings.Zone, n.rec)
	b.store.Validate = validate
	b.self = &membership.Self{Identity: n.identity, Recorder: n.rec, Status: b.status, OnNewerMark: b.onNewerMark, Suspects: b.peerSuspects}
	b.client = sidecar.NewClient(n.rec)
	methods := peer.Methods{}
	maps.Copy(methods, b.store.Methods())
	maps.Copy(methods, b.client.Methods())
	b.set = membership.NewSet(b.self, n.vms, n.timing(), methods.WithRecovery(recordPanics(n.rec)))
	b.coord = rollout.NewCoordinator(b.store, n.table, n.objects, rollout.TargetsOf(b.set), n.rec, rollout.DefaultDeadlines(), now)
	b.entry = entry.New(entry.Settings{
		Zone: n.settings.Zone, MaxBody: b.settings.MaxBody, StartWithin: b.settings.StartWithin,
		DisconnectGrace: b.settings.GoneGrace, ResumeWithin: b.settings.ResumeWithin, CallWithin: b.settings.CallWithin,
		Attempts: b.settings.Attempts, RetryRatio: b.settings.RetryPart, Operators: b.operators,
	}, n.identity, b.set, b.client, b.store, b.coord, n.rec, n.reg, now)
}

func (b *entryBuilder) status() membership.Status {
	return membership.Status{Mark: b.store.Mark(), Load: membership.Load{AtMS: now().UnixMilli()}, Suspects: b.entry.Quarantine().Reports()}
}

func (b *entryBuilder) peerSuspects(process string, records []quarantine.Report) {
	b.entry.Quarantine().Merge(process, records)
}

func (b *entryBuilder) onNewerMark(c *peer.Conn, _ config.Mark) { _ = b.store.CatchUp(b.node.ctx, c) }

func (b *entryBuilder) methods(*kernel.Registry) (peer.Methods, error) {
	return baseMethods(b.node, b.self, b.store), nil
}

func (b *entryBuilder) handler(*kernel.Registry) (http.Handler, error) { return b.entry.Handler(), nil }

func (b *entryBuilder) memberService() kernel.Service {
	return kernel.Service{
		Name:  serviceMembers,
		Build: func(*kernel.Registry) (any, error) { return b.set, nil },
		Start: func(context.Context, *kernel.Registry) error {
			b.node.runUntilStop(b.set.Run)
			b.node.runUntilStop(b.entry.SweepQuarantine)
			return nil
		},
	}
}

func (b *entryBuilder) rolloutService() kernel.Service {
	return kernel.Service{
		Name:  serviceRollout,
		Build: func(*kernel.Registry) (any, error) { return b.coord, nil },
		Start: func(context.Context, *kernel.Registry) error {
			b.node.runUntilStop(func(ctx context.Context) {
				b.join(ctx)
				b.coord.Follow(ctx, b.settings.ConfigEvery)
			})
			return nil
		},
	}
}

const joinRetryInterval = 50 * time.Millisecond

// join waits until the VM list contains this process and only then reads the head of the
// configuration: a coordinator that did not see this process in the list must have committed its
// change before. While the table is unavailable, the configuration is taken from peers in the zone.
func (b *entryBuilder) join(ctx context.Context) {
	for ctx.Err() == nil {
		if b.set.Listed(b.node.settings.Name) && (b.coord.Refresh(ctx) == nil || b.adoptPeerConfig(ctx)) {
			b.entry.MarkJoined()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinRetryInterval):
		}
	}
}

// adoptPeerConfig takes the configuration of the peers in the same zone and reports whether one is
// active. A peer that serves callers has every accepted change.
func (b *entryBuilder) adoptPeerConfig(ctx context.Context) bool {
	for _, p := range b.set.Peers() {
		if c := p.Conn(); c != nil && p.VMZone() == b.node.settings.Zone && p.Identity().Process() != b.node.settings.Name {
			_ = b.store.CatchUp(ctx, c)
		}
	}
	return b.store.Active() != nil
}

// balancerNoticeTime is how long a stopping entry still accepts requests that the load balancer
// sends before it notices the stop.
const balancerNoticeTime = time.Second

// entryService starts last and therefore stops first: requests in flight are finished before the
// services that they depend on stop.
func (b *entryBuilder) entryService() kernel.Service {
	return kernel.Service{
		Name:  serviceEntry,
		Build: func(*kernel.Registry) (any, error) { return b.entry, nil },
		Stop: func(ctx context.Context, _ *kernel.Registry) error {
			n := b.node
			deadline := now().Add(n.settings.StopWithin)
			n.rec.Note(events.ProcessStopping, "", "deadline", deadline.Format(time.RFC3339))
			b.entry.Drain()
			time.Sleep(min(balancerNoticeTime, n.settings.StopWithin/2))
			ctx, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			if !b.entry.WaitIdle(ctx) {
				n.rec.Note(events.DrainTooShort, "")
			}
			return nil
		},
	}
}
