package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/connlimit"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
)

// request is a caller's request that is being served.
type request struct {
	call    protocol.Call
	body    []byte
	table   *routetable.Table
	age     time.Duration
	route   *routetable.Route
	service *routetable.Service
	account string
	// fingerprint is the same each time the caller sends the request. run is its record
	// in the quarantine of requests that crash upstreams.
	fingerprint quarantine.Fingerprint
	run         *quarantine.Run
	start       time.Time
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	// caller is cancelled when the caller's connection ends.
	caller context.Context
	// conn is the caller's connection; nil if it is not known.
	conn *connlimit.Conn
	w    http.ResponseWriter
	// sent is set once an upstream may have received the request.
	sent  bool
	tries int
}

// The retry delays for refused callers, and the durations that are assumed for requests.
const (
	// backUnready is the retry delay of an entry without routes that it may trust; another
	// entry can serve at once.
	backUnready = 300 * time.Millisecond
	// backNoUpstream is about the time until a new upstream appears.
	backNoUpstream = 500 * time.Millisecond
	// backBusy is about the time in which a busy upstream completes a few requests.
	backBusy = 250 * time.Millisecond
	// plainTime suffices for nearly all calls to plain services.
	plainTime = 500 * time.Millisecond
	// defaultStart is the time within which a generation is expected to begin on a route
	// without an objective.
	defaultStart = 5 * time.Second
	// defaultTimeout is the time limit of requests if neither they nor their route state one.
	defaultTimeout = time.Minute
)

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.enter()
	defer g.leave()
	now := g.now()
	rq := &request{call: g.proto.Decode(r, now), start: now, caller: r.Context(), conn: connlimit.From(r.Context()), w: w}
	rq.conn.Begin(rq.call.ID)
	defer g.recovered(rq)
	if !g.StopBy().IsZero() {
		w.Header().Set("Connection", "close")
	}
	if !g.admit(rq, r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	ctx, release := g.untilStop(ctx)
	defer release()
	if !g.enterRun(ctx, rq) {
		return
	}
	defer rq.run.Leave()
	g.budget(rq.service.Name).Request()
	if rq.service.Engine != nil {
		g.generate(ctx, rq)
		return
	}
	g.serveCall(ctx, rq)
}

// mostStack bounds in bytes the stack trace in a log line; it holds about twenty calls.
const mostStack = 4 << 10

// recovered handles a panic of the handler. It logs the panic and, if no part of an answer has
// been sent, refuses the request with a status that allows that it has run. Otherwise it panics
// again, and net/http ends the connection.
func (g *Gateway) recovered(rq *request) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	g.notePanic(rq, v)
	if connlimit.Begun(rq.w) {
		panic(v)
	}
	rq.w.Header().Set("Connection", "close")
	g.proto.Refuse(rq.w, &rq.call, protocol.Refusal{Status: http.StatusBadGateway, Reason: "a fault of this entry"}, g.now())
}

// notePanic logs a panic with its stack.
func (g *Gateway) notePanic(rq *request, v any) {
	stack := debug.Stack()
	g.met.unanswered(unansweredPanic)
	g.rec.Note(events.HandlerPanicked, rq.call.ID, "panic", v, "stack", string(stack[:min(len(stack), mostStack)]))
}

// gone records that a caller's connection ended; while states what was being done.
func (g *Gateway) gone(rq *request, while string, err error) {
	cause := unansweredLeft
	if rq.conn.EndedHere() != "" {
		cause = unansweredEnded
	}
	g.met.unanswered(cause)
	g.rec.Note(events.CallerGone, rq.call.ID, "while", while, "caller", rq.conn.Caller(), "ended-here", rq.conn.EndedHere(), "sent", rq.sent, "after", g.now().Sub(rq.start), "error", err)
}

// admit determines the route, account and service of a request and reads its body. If the
// request cannot be served, admit answers it and returns false.
func (g *Gateway) admit(rq *request, r *http.Request) bool {
	trusted := g.routesTrusted()
	var confirmed time.Time
	rq.table, confirmed = g.routes.Current()
	if rq.table == nil {
		g.refuse(rq, http.StatusServiceUnavailable, "no routes are known yet", backUnready)
		return false
	}
	rq.age = rq.start.Sub(confirmed)
	if maxBytes := rq.table.Limits().HeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		g.refuse(rq, http.StatusRequestHeaderFieldsTooLarge, "headers are too large", 0)
		return false
	}
	path, _, _ := strings.Cut(rq.call.Target, "?")
	route, ok := rq.table.Match(rq.call.Host, path)
	switch {
	case !ok && !trusted:
		g.refuse(rq, http.StatusServiceUnavailable, "the routes are not confirmed", backUnready)
		return false
	case !ok:
		g.refuse(rq, http.StatusNotFound, "no route", 0)
		return false
	}
	rq.route = route
	if !g.authenticate(rq, trusted) {
		return false
	}
	name := route.Pick(rand.Float64())
	rq.service, ok = rq.table.Service(name)
	if !ok {
		g.refuse(rq, http.StatusServiceUnavailable, "route names an unknown service", backNoUpstream)
		return false
	}
	rq.deadline = deadlineOf(rq)
	if g.stopsBefore(g.lasts(rq)) {
		g.refuse(rq, http.StatusServiceUnavailable, "this entry stops before the request would end", g.backAfterStop())
		return false
	}
	return g.readBody(rq, r)
}

// headerBytes returns the size of the request line and headers on the wire.
func headerBytes(r *http.Request) int {
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + len("  \r\n") + len("Host: \r\n") + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(": ") + len(v) + len("\r\n")
		}
	}
	return n
}

// lasts returns the time that a request is assumed to take. A generation is assumed to reach
// its maximum output: of those that a stopping entry accepted by the length that their callers
// hinted at, one in six was cut.
func (g *Gateway) lasts(rq *request) time.Duration {
	if rq.service.Engine == nil {
		return plainTime
	}
	if rq.call.MaxOutput <= 0 {
		return rq.deadline.Sub(rq.start)
	}
	return startWithin(rq.route) + g.pace.rest(rq.call.MaxOutput, rq.service.Engine.EventTokens)
}

func deadlineOf(rq *request) time.Time {
	timeout := rq.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	d := rq.start.Add(timeout)
	if !rq.call.Deadline.IsZero() && rq.call.Deadline.Before(d) {
		return rq.call.Deadline
	}
	return d
}

// authenticate determines the account by the request's key. Only a route table that was confirmed
// recently enough proves that a key does not exist. A key that may have been revoked since the
// table was confirmed is accepted unless the operator set HardKeyBound.
func (g *Gateway) authenticate(rq *request, trusted bool) bool {
	if !rq.table.NeedsKey(rq.route) {
		return true
	}
	account, ok := rq.table.AccountOf(rq.call.Key)
	if !trusted && (!ok || g.settings.HardKeyBound) {
		g.refuse(rq, http.StatusServiceUnavailable, "the keys are not confirmed", backUnready)
		return false
	}
	if !ok {
		g.refuse(rq, http.StatusUnauthorized, "no account holds this key", 0)
		return false
	}
	rq.account = account.Name
	return true
}

// readBody reads the whole body before the request is sent, so that the request can be repeated
// and a slow caller does not occupy a slot of an upstream.
func (g *Gateway) readBody(rq *request, r *http.Request) bool {
	body, err := io.ReadAll(http.MaxBytesReader(rq.w, r.Body, rq.table.Limits().BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		g.refuse(rq, http.StatusRequestEntityTooLarge, "body is too large", 0)
		return false
	case err != nil:
		g.gone(rq, "sending the body", err)
		panic(http.ErrAbortHandler)
	}
	rq.body = body
	rq.fingerprint = quarantine.FingerprintOf(rq.call.Method, rq.call.Host, rq.call.Target, rq.account, body)
	return true
}

// refuse answers a request with an error of this system; retryAfter is 0 for no retry. A status
// that promises that the request has not run may be used only if no upstream can have run it.
func (g *Gateway) refuse(rq *request, status int, reason string, retryAfter time.Duration) {
	now := g.now()
	refusal := protocol.Refusal{Status: status, Reason: reason}
	if retryAfter > 0 {
		refusal.ComeBack = now.Add(retryAfter)
	}
	version := routetable.Version(0)
	if rq.table != nil {
		version = rq.table.Version()
	}
	g.rec.Note(events.RequestRefused, rq.call.ID, "status", status, "reason", reason, "fingerprint", rq.fingerprint, "routes", version, "routes-age", rq.age, "back-in", retryAfter, "after", now.Sub(rq.start), "sent", rq.sent)
	g.met.refused(status)
	g.proto.Refuse(rq.w, &rq.call, refusal, now)
}

// reject refuses a generation that no engine takes. It has not run, which the status 503
// promises.
func (g *Gateway) reject(ctx context.Context, rq *request, why error) {
	var retryAfter time.Duration
	switch {
	case ctx.Err() != nil:
		g.giveUp(ctx, rq, "no engine took it in time")
		return
	case errors.Is(why, placement.ErrTooLarge):
	case rq.run.Isolation() == quarantine.Apart:
		why, retryAfter = quarantine.ErrOnTrial, backTurn
	case errors.Is(why, placement.ErrNone):
		retryAfter = backNoUpstream
	case errors.Is(why, errLimited):
		retryAfter = g.backAfterLimit(rq)
	default:
		retryAfter = g.backAfterOverload(rq)
	}
	g.refuse(rq, http.StatusServiceUnavailable, why.Error(), retryAfter)
}

// giveUp answers a request that got no answer from an upstream. If the request was never sent,
// the caller may retry it; otherwise the status allows that it has run.
func (g *Gateway) giveUp(ctx context.Context, rq *request, reason string) {
	if errors.Is(context.Cause(ctx), errStopped) {
		reason = errStopped.Error()
	}
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	switch {
	case !rq.sent && g.allInBackOff(rq.service.Name, nil):
		status, retryAfter = http.StatusServiceUnavailable, g.backAfterLimit(rq)
	case !rq.sent:
		status, retryAfter = http.StatusServiceUnavailable, backBusy
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	}
	if rq.caller.Err() == nil {
		g.refuse(rq, status, reason, retryAfter)
		return
	}
	g.gone(rq, "waiting", rq.caller.Err())
	// A caller that closed only its sending side still waits for an answer.
	g.proto.Refuse(rq.w, &rq.call, protocol.Refusal{Status: status, Reason: reason}, g.now())
}

// attempt returns the data that is sent to an upstream along with the request.
func (rq *request) attempt(u fleet.Upstream) protocol.Attempt {
	return protocol.Attempt{Upstream: u.Name, Account: rq.account, Deadline: rq.deadline}
}
