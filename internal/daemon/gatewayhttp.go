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

// dialer returns a function that opens connections which fail when the VM at the other end goes
// silent.
func dialer() func(ctx context.Context, address string) (net.Conn, error) {
	d := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: silenceTimeout / 3, Interval: silenceTimeout / 3, Count: 2},
		Control: func(_, _ string, c syscall.RawConn) error {
			var optErr error
			err := c.Control(func(fd uintptr) {
				optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(silenceTimeout.Milliseconds()))
			})
			return errors.Join(err, optErr)
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
	// A gateway has no list of operators: anyone who reaches this address may lift a quarantine.
	r.HandleFunc("/admin/v1/quarantine", b.gateway.Quarantine().ServeList).Methods(http.MethodGet)
	r.HandleFunc("/admin/v1/quarantine/{fingerprint}", func(w http.ResponseWriter, r *http.Request) {
		b.gateway.Quarantine().ServeLift(w, r, r.RemoteAddr)
	}).Methods(http.MethodDelete)
	return b.listenService(serviceMetrics, "--metrics-listen", b.settings.MetricsListen, &httpServer{server: &http.Server{Handler: r, ReadHeaderTimeout: callerHeaderTimeout}, connections: newUnlimitedLimiter()})
}

func (b *gatewayBuilder) readinessService() kernel.Service {
	r := mux.NewRouter()
	r.HandleFunc(platform.PathReady, b.gateway.Ready).Methods(http.MethodGet)
	return b.listenService(serviceReadiness, "--ready-listen", b.settings.ReadyListen, &httpServer{server: &http.Server{Handler: r, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}, connections: newUnlimitedLimiter()})
}

func (b *gatewayBuilder) callerService() kernel.Service {
	connections := connlimit.New(b.callerLimits, func(c net.Conn, why string) {
		b.rec.Note(events.CallerEnded, "", "caller", c.RemoteAddr().String(), "why", why)
	}, func(c *connlimit.Conn, request string, err error) {
		b.rec.Note(events.AnswerUndelivered, request, "caller", c.Caller(), "ended-here", c.EndReason(), "error", err)
	})
	b.callers = &httpServer{server: &http.Server{Handler: b.gateway, ReadHeaderTimeout: callerHeaderTimeout, IdleTimeout: callerIdleTimeout}, connections: connections}
	service := b.listenService(serviceCallers, "--listen", b.settings.Listen, b.callers)
	service.Stop = nil // The connections are closed by responseService.
	return service
}

// responseService closes the connections of callers. It stops after the services that requests in flight depend
// on: responses that are not written yet at the end of drain need only the process. It waits a moment for the handlers
// of connections that it closes, whose last lines belong in the log.
func (b *gatewayBuilder) responseService() kernel.Service {
	return kernel.Service{
		Name:  serviceResponses,
		Build: func(*kernel.Registry) (any, error) { return b.callers, nil },
		Stop: func(ctx context.Context, _ *kernel.Registry) error {
			end, ok := ctx.Deadline()
			if !ok {
				b.stopServer(ctx, "--listen", b.callers)
				return nil
			}
			ctx, cancel := context.WithDeadline(ctx, end.Add(-logReserve))
			defer cancel()
			closeCtx, cancelClose := context.WithDeadline(ctx, end.Add(-logReserve-handlerReserve))
			defer cancelClose()
			b.stopServer(closeCtx, "--listen", b.callers)
			_ = b.callers.connections.Drain(ctx)
			return nil
		},
	}
}

// callerLimits returns the limits that the operator set for connections of callers.
func (b *gatewayBuilder) callerLimits() connlimit.Limits {
	table, _ := b.routes.Current()
	if table == nil {
		return connlimit.Limits{}
	}
	limits := table.Limits()
	return connlimit.Limits{Header: limits.HeaderTimeout, Idle: limits.IdleTimeout}
}

// listenService returns a service that serves HTTP at an address.
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
			b.stopServer(ctx, flag, s)
			return nil
		},
	}
}

// stopServer stops a server and logs if it closed connections with requests in flight.
func (b *gatewayBuilder) stopServer(ctx context.Context, flag string, s *httpServer) {
	if err := s.stop(ctx); err != nil {
		b.rec.Note(events.DrainTooShort, "", "listener", flag, "error", err)
	}
}

// gatewayService starts last and therefore stops first: requests in flight are finished before the
// services that they depend on stop.
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

// drain stops serving callers. It waits until the load balancer has noticed, still serves the
// callers that it sends, waits for the requests in flight and ends those that are left. Connections
// whose responses are not written by then stay open until responseService stops.
func (b *gatewayBuilder) drain(ctx context.Context, _ *kernel.Registry) error {
	signalled, earliest := b.stopSignalTimes()
	noticed := time.Now()
	b.rec.Note(events.ProcessStopping, "", "stop-within", b.settings.StopWithin, "noticed-after", noticed.Sub(signalled), "at-most", noticed.Sub(earliest))
	d := stopDeadlines(earliest, signalled, noticed, b.settings.StopWithin)
	b.gateway.DrainUntil(d)
	notBefore := noticed.Add(min(gateway.ReadinessLag, b.settings.StopWithin/3))
	within := b.settings.StopWithin - stopReserve
	b.awaitQuiet(notBefore, closeBy(earliest.Add(within-closeReserve), notBefore, noticed.Add(within-closeReserve)))
	ctx = context.WithoutCancel(ctx)
	drainCtx, cancel := context.WithDeadline(ctx, d.Unanswered.Add(-gateway.AnswerReserve))
	defer cancel()
	if err := b.callers.connections.Drain(drainCtx); err != nil {
		b.rec.Note(events.DrainTooShort, "", "error", err)
		b.giveUp(ctx, d.End)
	}
	b.gateway.NoteGivenUp(b.callers.connections.Open())
	return nil
}

// stopDeadlines returns when a planned stop ends each kind of request, by the times of stopSignalTimes.
func stopDeadlines(earliest, signalled, noticed time.Time, within time.Duration) gateway.StopDeadlines {
	answered, cut := within-stopReserve, within-exitReserve
	return gateway.StopDeadlines{
		NewRequests: earliest.Add(answered - gateway.AnswerReserve),
		NewStreams:  earliest.Add(cut),
		Unanswered:  signalled.Add(answered),
		End:         noticed.Add(cut),
	}
}

// closeBy returns when the listener closes at the latest. At the kill, a connection that is still accepted ends
// without an answer, whereas a refused one can be repeated, so that is before the earliest time of a kill.
// But as long as the load balancer sends callers, they are answered.
func closeBy(beforeKill, balancerNoticed, end time.Time) time.Time {
	at := beforeKill
	if at.Before(balancerNoticed) {
		at = balancerNoticed
	}
	if at.After(end) {
		at = end
	}
	return at
}

// stopSignalTimes returns two estimates of when the stop signal was sent. signalled takes into
// account only times in which the process did not run at all before it noticed the signal. earliest
// also allows for a process that ran only for moments, and is never later.
//
// A signal carries no time, so both may be too early, and each kind of request is ended by the time whose
// error costs its caller least. New requests that would end too late by earliest are refused: another
// entry can serve them. Unanswered requests are given up by signalled, because earliest is up to a second
// too early on a busy machine. Answers that have begun go on as if the signal had been sent when it was
// noticed: their callers see the same whether they are cut or the process is killed.
func (b *gatewayBuilder) stopSignalTimes() (signalled, earliest time.Time) {
	signalled, earliest = b.stalls.earliestSignal(), b.lags.earliestSignal()
	if signalled.Before(earliest) {
		return signalled, signalled
	}
	return signalled, earliest
}

// giveUp lets the gateway answer the requests without an answer that are still in flight, waits until the
// responses are written and the answers that have begun have ended, until end at most, and cuts the others. If the
// process was not scheduled in time, end may have passed as well, and connections would be closed before the
// responses are written; gateway.AnswerReserve is waited in any case.
func (b *gatewayBuilder) giveUp(ctx context.Context, end time.Time) {
	b.gateway.GiveUpUnanswered()
	if least := time.Now().Add(gateway.AnswerReserve); end.Before(least) {
		end = least
	}
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	if err := b.callers.connections.Drain(ctx); err != nil {
		b.rec.Note(events.DrainTooShort, "", "error", err)
		b.gateway.GiveUp()
	}
}

// awaitQuiet returns once no request has arrived for quietPeriod, but not before notBefore, and at
// notAfter in any case. A load balancer that finds all entries of a zone stopping still sends
// callers to them, and a closed listener would turn all of these away.
func (b *gatewayBuilder) awaitQuiet(notBefore, notAfter time.Time) {
	for now := time.Now(); now.Before(notAfter); now = time.Now() {
		if now.After(notBefore) && b.gateway.IdleFor() >= quietPeriod {
			return
		}
		time.Sleep(quietPollInterval)
	}
}
