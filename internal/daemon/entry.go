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

// RunEntry runs an entry until it is told to stop.
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

// entryBuilder holds the parts of an entry while the kernel puts them together.
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
	b.self = &membership.Self{Identity: n.identity, Recorder: n.rec, Status: b.status, Behind: b.behind, Suspects: b.peerSuspects}
	b.client = sidecar.NewClient(n.rec)
	methods := peer.Methods{}
	maps.Copy(methods, b.store.Methods())
	maps.Copy(methods, b.client.Methods())
	b.set = membership.NewSet(b.self, n.vms, n.timing(), methods.Guarded(noteFault(n.rec)))
	b.coord = rollout.NewCoordinator(b.store, n.table, n.objects, rollout.TargetsOf(b.set), n.rec, rollout.DefaultDeadlines(), now)
	b.entry = entry.New(entry.Settings{
		Zone: n.settings.Zone, MaxBody: b.settings.MaxBody, StartWithin: b.settings.StartWithin,
		GoneGrace: b.settings.GoneGrace, ResumeWithin: b.settings.ResumeWithin, CallWithin: b.settings.CallWithin,
		Attempts: b.settings.Attempts, RetryPart: b.settings.RetryPart, Operators: b.operators,
	}, n.identity, b.set, b.client, b.store, b.coord, n.rec, n.reg, now)
}

func (b *entryBuilder) status() membership.Status {
	return membership.Status{Mark: b.store.Mark(), Load: membership.Load{AtMS: now().UnixMilli()}, Suspects: b.entry.Quarantine().Tell()}
}

func (b *entryBuilder) peerSuspects(process string, words []quarantine.Word) {
	b.entry.Quarantine().Hear(process, words)
}

func (b *entryBuilder) behind(c *peer.Conn, _ config.Mark) { _ = b.store.CatchUp(b.node.ctx, c) }

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

const joinPause = 50 * time.Millisecond

// join waits until the VM list shows this process and only then takes the
// head, from the table or, while the table is out, from peers in the zone: a
// coordinator that missed this process must have committed before.
func (b *entryBuilder) join(ctx context.Context) {
	for ctx.Err() == nil {
		if b.set.Listed(b.node.settings.Name) && (b.coord.Refresh(ctx) == nil || b.peersShown(ctx)) {
			b.entry.Joined()
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinPause):
		}
	}
}

// peersShown takes what peers of the own zone have in force. One that serves
// has all that was accepted.
func (b *entryBuilder) peersShown(ctx context.Context) bool {
	for _, p := range b.set.Peers() {
		if c := p.Conn(); c != nil && p.VMZone() == b.node.settings.Zone && p.Identity().Process() != b.node.settings.Name {
			_ = b.store.CatchUp(ctx, c)
		}
	}
	return b.store.Active() != nil
}

// balancerPause is how long a stopping entry still takes what the balancer
// sends before it has noticed.
const balancerPause = time.Second

// entryService is the last to start, so its stop comes first: callers in
// flight are served before anything they need goes away.
func (b *entryBuilder) entryService() kernel.Service {
	return kernel.Service{
		Name:  serviceEntry,
		Build: func(*kernel.Registry) (any, error) { return b.entry, nil },
		Stop: func(ctx context.Context, _ *kernel.Registry) error {
			n := b.node
			deadline := now().Add(n.settings.StopWithin)
			n.rec.Note(events.ProcessStopping, "", "deadline", deadline.Format(time.RFC3339))
			b.entry.Drain()
			time.Sleep(min(balancerPause, n.settings.StopWithin/2))
			ctx, cancel := context.WithDeadline(ctx, deadline)
			defer cancel()
			if !b.entry.Idle(ctx) {
				n.rec.Note(events.DrainTooShort, "")
			}
			return nil
		},
	}
}
