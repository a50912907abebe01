package daemon

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/platform"
	"github.com/sparshore/sparshore/internal/policy"
	"github.com/sparshore/sparshore/internal/reload"
	"github.com/sparshore/sparshore/internal/rollout"
	"github.com/sparshore/sparshore/internal/timeline"
)

// The names under which services look each other up.
const (
	serviceNode    kernel.Name = "node"
	serviceMembers kernel.Name = "membership"
	serviceRollout kernel.Name = "rollout"
	servicePeers   kernel.Name = "peers"
	serviceHTTP    kernel.Name = "http"
	serviceEntry   kernel.Name = "entry"
	serviceSidecar kernel.Name = "sidecar"
)

const (
	startLimit      = 2 * time.Minute
	stopMargin      = 5 * time.Second
	incarnationSize = 6
)

// node holds what entries and sidecars have in common: an identity, the clients of the platform, a
// recorder and metrics. Its context ends when the process stops.
type node struct {
	settings Common
	identity membership.Identity
	rec      *events.Recorder
	reg      *prometheus.Registry
	table    *platform.Table
	objects  *platform.Objects
	vms      *platform.VMs
	ctx      context.Context
	cancel   context.CancelFunc
}

// now returns the wall clock time without the monotonic reading, because a monotonic clock may
// stand still while a VM is suspended.
func now() time.Time { return time.Now().Round(0) }

func newNode(c Common, role membership.Role, upstream string, logs io.Writer) *node {
	incarnation := newIncarnation()
	log := newLogger(logs).WithValues("process", c.Name, "incarnation", incarnation)
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	creds := platform.Credentials{Key: c.AccessKey, Secret: c.SecretKey}
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{
		settings: c,
		identity: membership.NewIdentity(c.Name, role, c.Zone, upstream, incarnation, now()),
		rec:      events.New(events.LogTo(log), c.Name, incarnation, c.TimelineSize, now),
		reg:      reg,
		table:    platform.NewTable(c.TableURL, c.TableName, creds),
		objects:  platform.NewObjects(c.ObjectsURL, c.Bucket, creds),
		vms:      platform.NewVMs(c.VMsURL),
		ctx:      ctx,
		cancel:   cancel,
	}
	platform.CountCalls(n.table, n.objects, n.vms, reg)
	return n
}

func newIncarnation() string {
	b := make([]byte, incarnationSize)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

func newLogger(w io.Writer) logr.Logger {
	return funcr.NewJSON(func(line string) { _, _ = io.WriteString(w, line+"\n") }, funcr.Options{LogTimestamp: true})
}

func (n *node) timing() membership.Timing {
	return membership.Timing{
		List:         n.settings.VMsEvery,
		Heartbeat:    n.settings.Heartbeat,
		Pings:        n.settings.Pings,
		SuspectAfter: n.settings.SuspectAfter,
		LostAfter:    n.settings.LostAfter,
	}
}

// nodeService registers the node. It starts first and stops last.
func nodeService(n *node) kernel.Service {
	return kernel.Service{
		Name:  serviceNode,
		Build: func(*kernel.Registry) (any, error) { return n, nil },
		Start: func(context.Context, *kernel.Registry) error {
			go logReloads(n.ctx, reload.Requests(), n.rec, "name="+n.settings.Name+" zone="+n.settings.Zone)
			return nil
		},
		Stop: func(context.Context, *kernel.Registry) error {
			n.cancel()
			n.rec.Note(events.ProcessStopped, "")
			return nil
		},
	}
}

// peerService returns a service that serves methods to other processes.
func peerService(n *node, methods func(r *kernel.Registry) (peer.Methods, error), onOpen func(r *kernel.Registry) func(*peer.Conn)) kernel.Service {
	return listenForPeers(n.rec, "--peer-listen", n.settings.PeerListen, methods, onOpen)
}

// recordPanics returns a function that records a panic of a peer method.
func recordPanics(rec *events.Recorder) func(method string, err error) {
	return func(method string, err error) { rec.Note(events.HandlerPanicked, "", "method", method, "error", err) }
}

// listenForPeers returns a service that serves methods to other processes at an address. Errors
// name the flag that set the address.
func listenForPeers(rec *events.Recorder, flag, address string, methods func(r *kernel.Registry) (peer.Methods, error), onOpen func(r *kernel.Registry) func(*peer.Conn)) kernel.Service {
	return kernel.Service{
		Name: servicePeers,
		Build: func(r *kernel.Registry) (any, error) {
			m, err := methods(r)
			if err != nil {
				return nil, err
			}
			l, err := net.Listen("tcp", address)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", flag, err)
			}
			return peer.NewServer(l, m.WithRecovery(recordPanics(rec)), onOpen(r)), nil
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

// httpService returns a service that serves an HTTP handler.
func httpService(n *node, handler func(r *kernel.Registry) (http.Handler, error)) kernel.Service {
	return kernel.Service{
		Name: serviceHTTP,
		Build: func(r *kernel.Registry) (any, error) {
			h, err := handler(r)
			if err != nil {
				return nil, err
			}
			return &httpServer{server: &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}, connections: newUnlimitedLimiter()}, nil
		},
		Start: func(_ context.Context, r *kernel.Registry) error {
			s, err := kernel.Lookup[*httpServer](r, serviceHTTP)
			if err != nil {
				return err
			}
			l, err := net.Listen("tcp", n.settings.HTTPListen)
			if err != nil {
				return fmt.Errorf("--http-listen: %w", err)
			}
			s.start(smallBufferListener{l})
			n.rec.Note(events.ProcessStarted, "", "http", s.listener.Addr(), "role", n.identity.Role())
			return nil
		},
		Stop: func(ctx context.Context, r *kernel.Registry) error {
			s, err := kernel.Lookup[*httpServer](r, serviceHTTP)
			if err != nil {
				return err
			}
			if err := s.stop(ctx); err != nil {
				n.rec.Note(events.DrainTooShort, "", "error", err)
			}
			return nil
		},
	}
}

// validate returns an error if the policies of a configuration do not compile.
func validate(c *config.Config) error {
	_, err := policy.CompileAll(c)
	return err
}

func baseMethods(n *node, self *membership.Self, store *rollout.Store) peer.Methods {
	m := peer.Methods{}
	maps.Copy(m, self.Methods())
	maps.Copy(m, store.Methods())
	maps.Copy(m, timeline.Methods(n.rec))
	return m
}

// runUntilStop runs f in the background; the context of f ends when the process stops.
func (n *node) runUntilStop(f func(ctx context.Context)) { go f(n.ctx) }

func stopLimits(c Common) kernel.Limits {
	return kernel.Limits{Start: startLimit, Stop: c.StopWithin + stopMargin}
}
