package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/sparshore/sparshore/internal/connlimit"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/gateway"
	"github.com/sparshore/sparshore/internal/kernel"
	"github.com/sparshore/sparshore/platform"
)

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

func (b *gatewayBuilder) metricsService() kernel.Service {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(b.reg, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/status", b.status).Methods(http.MethodGet)
	// A gateway knows no operators: who reaches this address may lift a quarantine.
	r.HandleFunc("/admin/v1/quarantine", b.gateway.Quarantine().ServeList).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/quarantine/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		b.gateway.Quarantine().ServeLift(w, r, r.RemoteAddr)
	}).Methods(http.MethodDelete)
	return b.listenService(serviceMetrics, "--metrics-listen", b.settings.MetricsListen, &httpServer{server: &http.Server{Handler: r, ReadHeaderTimeout: callerHeader}, connections: unlimited()})
}

func (b *gatewayBuilder) readinessService() kernel.Service {
	r := mux.NewRouter()
	r.HandleFunc(platform.PathReady, b.gateway.Ready).Methods(http.MethodGet)
	return b.listenService(serviceReadiness, "--ready-listen", b.settings.ReadyListen, &httpServer{server: &http.Server{Handler: r, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle}, connections: unlimited()})
}

func (b *gatewayBuilder) callerService() kernel.Service {
	connections := connlimit.New(b.callerLimits, func(c net.Conn, why string) {
		b.rec.Note(events.CallerEnded, "", "caller", c.RemoteAddr().String(), "why", why)
	}, func(c *connlimit.Conn, request string, err error) {
		b.rec.Note(events.AnswerUndelivered, request, "caller", c.Caller(), "ended-here", c.EndedHere(), "error", err)
	})
	b.callers = &httpServer{server: &http.Server{Handler: b.gateway, ReadHeaderTimeout: callerHeader, IdleTimeout: callerIdle}, connections: connections}
	return b.listenService(serviceCallers, "--listen", b.settings.Listen, b.callers)
}

// callerLimits are the operator's limits for callers' connections.
func (b *gatewayBuilder) callerLimits() connlimit.Limits {
	table, _ := b.routes.Current()
	if table == nil {
		return connlimit.Limits{}
	}
	limits := table.Limits()
	return connlimit.Limits{Header: limits.HeaderWithin, Idle: limits.IdleWithin}
}

// listenService serves HTTP at an address.
func (b *gatewayBuilder) listenService(name kernel.Name, flag, address string, s *httpServer) kernel.Service {
	return kernel.Service{
		Name:  name,
		Build: func(*kernel.Registry) (any, error) { return s, nil },
		Start: func(context.Context, *kernel.Registry) error {
			l, err := net.Listen("tcp4", address)
			if err != nil {
				return fmt.Errorf("%s: %w", flag, err)
			}
			s.start(l)
			return nil
		},
		Stop: func(ctx context.Context, _ *kernel.Registry) error {
			if err := s.stop(ctx); err != nil {
				b.rec.Note(events.DrainTooShort, "", "listener", flag, "error", err)
			}
			return nil
		},
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

// drain ends the callers' service: it lets the balancer notice, goes on serving those it
// sends all the same, waits for the requests in flight, and gives up what is left.
func (b *gatewayBuilder) drain(ctx context.Context, _ *kernel.Registry) error {
	told, earliest := b.toldToStop()
	within := b.settings.StopWithin - stopSpare
	last, deadline := earliest.Add(within), told.Add(within)
	b.rec.Note(events.ProcessStopping, "", "stop-within", b.settings.StopWithin, "noticed-after", time.Since(told), "at-most", time.Since(earliest))
	b.gateway.DrainUntil(last, deadline)
	b.awaitQuiet(time.Now().Add(min(gateway.NoticeTime, b.settings.StopWithin/3)), last.Add(-closeSpare))
	ctx = context.WithoutCancel(ctx)
	served, cancel := context.WithDeadline(ctx, deadline.Add(-gateway.AnswerSpare))
	defer cancel()
	if err := b.callers.connections.Drain(served); err != nil {
		b.rec.Note(events.DrainTooShort, "", "error", err)
		b.giveUp(ctx)
	}
	return b.callers.server.Close()
}

// toldToStop returns when the signal to stop came, as far as the process did not run at all before
// it noticed, and the earliest time at which it may have come if it ran in moments only. Nothing is
// taken that would end too late by the latter. What is in flight is not given up by it: on a busy
// machine it is a second too early at times.
func (b *gatewayBuilder) toldToStop() (told, earliest time.Time) {
	told, earliest = b.watch.earliest(), b.lag.earliest()
	if told.Before(earliest) {
		return told, told
	}
	return told, earliest
}

// giveUp lets the gateway answer what is still in flight. The time for that runs from
// now: a process that did not get to run finds the end of its stop past as well, and
// would close the connections before the answers are written.
func (b *gatewayBuilder) giveUp(ctx context.Context) {
	b.gateway.GiveUp()
	ctx, cancel := context.WithTimeout(ctx, gateway.AnswerSpare)
	defer cancel()
	if err := b.callers.connections.Drain(ctx); err != nil {
		b.rec.Note(events.DrainTooShort, "", "error", err)
	}
}

// awaitQuiet returns when no caller has asked anything for a while, from the time
// least on, and at the time most in any case. A balancer that finds all entries of
// a zone stopping sends callers to them nevertheless, and a closed listener turns all of
// these away.
func (b *gatewayBuilder) awaitQuiet(least, most time.Time) {
	for now := time.Now(); now.Before(most); now = time.Now() {
		if now.After(least) && b.gateway.QuietFor() >= quietFor {
			return
		}
		time.Sleep(quietEach)
	}
}
