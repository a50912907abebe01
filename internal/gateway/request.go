package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"runtime/debug"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/belief"
	"github.com/sparshore/sparshore/internal/connlimit"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/fleet"
	"github.com/sparshore/sparshore/internal/membudget"
	"github.com/sparshore/sparshore/internal/placement"
	"github.com/sparshore/sparshore/internal/protocol"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/routetable"
)

// request is a caller's request that is being served.
type request struct {
	call protocol.Call
	body []byte
	// bodyUnread is set while the body, if there is one, has not been read to its end.
	bodyUnread bool
	table      *routetable.Table
	// tableTrusted is set if the table was recent enough to check keys with when it was read. tableAge is the time
	// since it was confirmed, tableRow the store's version of its row, and evidence states who confirmed it.
	tableTrusted bool
	tableAge     time.Duration
	tableRow     int64
	evidence     belief.Evidence
	route        *routetable.Route
	service      *routetable.Service
	account      string
	// accountPriority is the priority of the account; 0 is the most urgent.
	accountPriority int
	// fingerprint is the same each time the caller sends the request. run tracks this request in
	// the quarantine of requests that crash upstreams.
	fingerprint quarantine.Fingerprint
	run         *quarantine.Run
	start       time.Time
	// readAt is when the whole request had been read.
	readAt time.Time
	// expected is how long the request was expected to take when that was last asked, and forecast what that follows
	// from if it is a generation.
	expected time.Duration
	forecast forecast
	// deadline is the earlier of the caller's and the route's deadline.
	deadline time.Time
	// caller is cancelled when the caller's connection ends.
	caller context.Context
	// conn is the caller's connection; nil if it is not known.
	conn *connlimit.Conn
	w    http.ResponseWriter
	// memory is what is buffered for the request; nil if there is no memory budget.
	memory *membudget.Holder
	// software tells at which software version the stream goes on that the caller resumes.
	software streamSoftware
	// beginAnswer is called before the answer begins. It returns false if a planned stop has given up
	// the request.
	beginAnswer func() bool
	// sent is set once an upstream may have received the request.
	sent     bool
	attempts int
}

// The retry delays for refused callers, and the durations that are assumed for requests.
const (
	// unreadyRetryDelay is the retry delay of an entry without routes that it may trust; another
	// entry can serve at once.
	unreadyRetryDelay = 300 * time.Millisecond
	// noUpstreamRetryDelay is about the time until a new upstream appears.
	noUpstreamRetryDelay = 500 * time.Millisecond
	// busyRetryDelay is about the time in which a busy upstream completes a few requests.
	busyRetryDelay = 250 * time.Millisecond
	// plainCallTime suffices for nearly all calls to plain services.
	plainCallTime = 500 * time.Millisecond
	// defaultStartTimeout is the time within which a generation is expected to begin on a route
	// without an objective.
	defaultStartTimeout = 5 * time.Second
	// restOfBodyTime is how long a refusal may wait for the rest of a body, so that the connection can be kept.
	restOfBodyTime = 500 * time.Millisecond
	// defaultTimeout is the time limit of requests if neither they nor their route state one.
	defaultTimeout = time.Minute
)

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.beginRequest()
	defer g.endRequest()
	now := g.now()
	rq := &request{call: g.proto.Decode(r, now), start: now, caller: r.Context(), conn: connlimit.From(r.Context()), w: w, bodyUnread: r.ContentLength != 0}
	rq.conn.SetRequest(rq.call.ID)
	rq.memory = g.newMemoryHolder(w)
	defer rq.memory.Close()
	defer g.recoverPanic(rq)
	if !g.prepareRequest(rq, r) {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), rq.deadline)
	defer cancel()
	ctx, beginAnswer, release := g.untilStop(ctx)
	defer release()
	rq.beginAnswer = beginAnswer
	if !g.checkQuarantine(ctx, rq) {
		return
	}
	defer rq.run.Leave()
	if !g.findOrigin(ctx, rq) {
		return
	}
	g.budget(rq.service.Name).Request()
	if rq.service.Engine != nil {
		g.generate(ctx, rq)
		return
	}
	g.serveCall(ctx, rq)
}

// maxStackBytes bounds in bytes the stack trace in a log line; it holds about twenty calls.
const maxStackBytes = 4 << 10

// recoverPanic handles a panic of the handler. It logs the panic and, if no part of an answer has
// been sent, refuses the request with a status that allows that it has run. Otherwise it panics
// again, and net/http ends the connection.
func (g *Gateway) recoverPanic(rq *request) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	g.logPanic(rq, v)
	if connlimit.ResponseStarted(rq.w) {
		panic(v)
	}
	rq.w.Header().Set("Connection", "close")
	g.proto.Refuse(rq.w, &rq.call, protocol.Refusal{Status: http.StatusBadGateway, Reason: "a fault of this entry"}, g.now())
}

// logPanic logs a panic with its stack.
func (g *Gateway) logPanic(rq *request, v any) {
	stack := debug.Stack()
	g.met.unanswered(unansweredPanic)
	g.rec.Note(events.HandlerPanicked, rq.call.ID, "panic", v, "stack", string(stack[:min(len(stack), maxStackBytes)]))
}

// callerDisconnected records that a caller's connection ended; while states what was being done.
func (g *Gateway) callerDisconnected(rq *request, while string, err error) {
	cause := unansweredCallerClosed
	switch {
	case rq.memory.Evicted():
		cause = unansweredEvicted
	case rq.conn.EndReason() != "":
		cause = unansweredClosedHere
	}
	g.met.unanswered(cause)
	g.rec.Note(events.CallerGone, rq.call.ID, "while", while, "caller", rq.conn.Caller(), "ended-here", rq.conn.EndReason(), "evicted", rq.memory.Evicted(), "sent", rq.sent, "after", g.now().Sub(rq.start), "error", err)
}

// prepareRequest determines the route, account and service of a request and reads its body. It decides by the headers,
// so that what cannot be served is refused at once, and again when the body has arrived, by the routes in force then.
// If the request cannot be served, prepareRequest answers it and returns false.
func (g *Gateway) prepareRequest(rq *request, r *http.Request) bool {
	if !g.readTable(rq) || !g.checkHeaders(rq, r) || !g.decide(rq) || !g.readBody(rq, r) || !g.readTable(rq) || !g.decide(rq) {
		return false
	}
	rq.fingerprint = quarantine.FingerprintOf(rq.call.Method, rq.call.Host, rq.call.Target, rq.account, rq.body)
	return true
}

// readTable makes the route table in force the one of the request. If there is none, it refuses the request and returns
// false.
func (g *Gateway) readTable(rq *request) bool {
	read, trusted := g.readRoutes()
	if read.Table == nil {
		g.refuse(rq, http.StatusServiceUnavailable, "no routes are known yet", unreadyRetryDelay)
		return false
	}
	rq.table, rq.tableTrusted, rq.tableRow, rq.evidence = read.Table, trusted, read.Row, read.Evidence
	rq.tableAge = g.now().Sub(read.Confirmed)
	return true
}

// checkHeaders refuses a request whose headers are too large.
func (g *Gateway) checkHeaders(rq *request, r *http.Request) bool {
	if maxBytes := rq.table.Limits().HeaderBytes; maxBytes > 0 && headerBytes(r) > maxBytes {
		g.refuse(rq, http.StatusRequestHeaderFieldsTooLarge, "headers are too large", 0)
		return false
	}
	return true
}

// decide determines the route, account and service of a request by its route table. It does not wait. If the request
// cannot be served, decide answers it and returns false.
func (g *Gateway) decide(rq *request) bool {
	path, _, _ := strings.Cut(rq.call.Target, "?")
	route, ok := rq.table.Match(rq.call.Host, path)
	switch {
	case !ok && !rq.tableTrusted:
		g.refuse(rq, http.StatusServiceUnavailable, "the routes are not confirmed", unreadyRetryDelay)
		return false
	case !ok:
		g.refuse(rq, http.StatusNotFound, "no route", 0)
		return false
	}
	rq.route = route
	if !g.authenticate(rq) {
		return false
	}
	name := route.Pick(rand.Float64())
	rq.service, ok = rq.table.Service(name)
	if !ok {
		g.refuse(rq, http.StatusServiceUnavailable, "route names an unknown service", noUpstreamRetryDelay)
		return false
	}
	rq.deadline = deadlineOf(rq)
	rq.expected, rq.forecast = g.leastDuration(rq), forecast{}
	if g.stopsBefore(rq, rq.expected, rq.forecast) {
		g.refuseSend(rq, errStopsFirst)
		return false
	}
	return true
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
func (g *Gateway) authenticate(rq *request) bool {
	rq.account, rq.accountPriority = "", 0
	if !rq.table.NeedsKey(rq.route) {
		return true
	}
	account, ok := rq.table.AccountOf(rq.call.Key)
	if !rq.tableTrusted && (!ok || g.settings.HardKeyBound) {
		g.refuseSend(rq, errKeysUnconfirmed)
		return false
	}
	if !ok {
		g.refuse(rq, http.StatusUnauthorized, "no account holds this key", 0)
		return false
	}
	rq.account, rq.accountPriority = account.Name, account.Priority
	return true
}

// readBody reads the whole body before the request is sent, so that the request can be repeated
// and a slow caller does not occupy a slot of an upstream. A body that has not arrived by the deadline is not awaited.
func (g *Gateway) readBody(rq *request, r *http.Request) bool {
	body, err := g.readInTime(rq, r)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		rq.w.Header().Set("Connection", "close")
		g.refuse(rq, http.StatusRequestTimeout, "the body did not arrive in time", 0)
		return false
	case errors.Is(err, errMemory):
		// Otherwise net/http would wait for a part of the rest of the body before it sends the refusal.
		rq.w.Header().Set("Connection", "close")
		g.refuse(rq, http.StatusServiceUnavailable, err.Error(), memoryRetryDelay)
		return false
	case errors.As(err, &tooLarge):
		g.refuse(rq, http.StatusRequestEntityTooLarge, "body is too large", 0)
		return false
	case err != nil:
		g.callerDisconnected(rq, "sending the body", err)
		panic(http.ErrAbortHandler)
	}
	rq.body, rq.bodyUnread, rq.readAt = body, false, g.now()
	return true
}

// readInTime reads the whole body until the deadline. After an error the connection ends, and the deadline stays, so that
// net/http does not wait for the rest.
func (g *Gateway) readInTime(rq *request, r *http.Request) ([]byte, error) {
	limited := http.MaxBytesReader(rq.w, r.Body, rq.table.Limits().BodyBytes)
	if !rq.bodyUnread {
		return g.readRequestBody(rq, limited, 0)
	}
	c := http.NewResponseController(rq.w)
	_ = c.SetReadDeadline(rq.deadline)
	body, err := g.readRequestBody(rq, limited, r.ContentLength)
	if err == nil {
		_ = c.SetReadDeadline(time.Time{})
	}
	return body, err
}

// closeIfStopping makes a response the last one on its connection during a planned stop. It must be called right before
// the response begins, since the stop may begin after the request.
func (g *Gateway) closeIfStopping(rq *request) {
	if !g.StopDeadline().IsZero() {
		rq.w.Header().Set("Connection", "close")
	}
}

// refuse answers a request with an error of this system; retryAfter is 0 for no retry. A status
// that promises that the request has not run may be used only if no upstream can have run it.
func (g *Gateway) refuse(rq *request, status int, reason string, retryAfter time.Duration) {
	now := g.now()
	refusal := protocol.Refusal{Status: status, Reason: reason}
	if retryAfter > 0 {
		refusal.RetryAt = now.Add(retryAfter)
	}
	version := routetable.Version(0)
	if rq.table != nil {
		version = rq.table.Version()
	}
	rq.note(g.rec)(events.RequestRefused, rq.call.ID, "status", status, "reason", reason, "fingerprint", rq.fingerprint, "routes", version, "routes-row", rq.tableRow, "routes-age", rq.tableAge, "routes-from", rq.evidence, "back-in", retryAfter, "after", now.Sub(rq.start), "sent", rq.sent)
	g.met.refused(status)
	g.closeIfStopping(rq)
	if rq.bodyUnread {
		// net/http reads the rest of the body before it sends the response, to keep the connection.
		_ = http.NewResponseController(rq.w).SetReadDeadline(now.Add(restOfBodyTime))
	}
	g.proto.Refuse(rq.w, &rq.call, refusal, now)
}

// refuseGeneration refuses a generation that no engine takes. It has not run, which the status 503
// promises.
func (g *Gateway) refuseGeneration(ctx context.Context, rq *request, why error) {
	var retryAfter time.Duration
	switch {
	case ctx.Err() != nil:
		g.giveUp(ctx, rq, "no engine took it in time")
		return
	case errors.Is(why, placement.ErrTooLarge):
	case rq.software.begun && len(g.fleet.AvailableOf(rq.service.Name, rq.software.version)) == 0:
		why = errVersionGone
	case rq.run.Isolation() == quarantine.Apart:
		why, retryAfter = quarantine.ErrOnTrial, suspectRetryDelay
	case errors.Is(why, placement.ErrNone):
		retryAfter = noUpstreamRetryDelay
	case errors.Is(why, errLimited):
		retryAfter = g.retryDelayAfterLimit(rq)
	default:
		if errors.Is(why, placement.ErrHeadroom) {
			g.met.headroomRefusals.Inc()
		}
		retryAfter = g.retryDelayAfterOverload(rq)
	}
	g.refuse(rq, http.StatusServiceUnavailable, why.Error(), retryAfter)
}

// giveUp answers a request that got no answer from an upstream. If the request was never sent,
// the caller may retry it; otherwise the status allows that it has run.
func (g *Gateway) giveUp(ctx context.Context, rq *request, reason string) {
	stopped := errors.Is(context.Cause(ctx), errStopped)
	if stopped {
		reason = errStopped.Error()
	}
	status, retryAfter := http.StatusBadGateway, time.Duration(0)
	switch {
	case !rq.sent && stopped:
		status, retryAfter = http.StatusServiceUnavailable, g.retryDelayAfterStop()
	case !rq.sent && g.allInBackOff(rq.service.Name, nil):
		status, retryAfter = http.StatusServiceUnavailable, g.retryDelayAfterLimit(rq)
	case !rq.sent:
		status, retryAfter = http.StatusServiceUnavailable, busyRetryDelay
	case ctx.Err() != nil:
		status = http.StatusGatewayTimeout
	}
	if rq.caller.Err() == nil {
		g.refuse(rq, status, reason, retryAfter)
		return
	}
	g.callerDisconnected(rq, "waiting", rq.caller.Err())
	// A caller that closed only its sending side still waits for an answer.
	g.closeIfStopping(rq)
	g.proto.Refuse(rq.w, &rq.call, protocol.Refusal{Status: status, Reason: reason}, g.now())
}

// attemptFor returns the data that is sent to an upstream along with the request.
func (rq *request) attemptFor(u fleet.Upstream) protocol.Attempt {
	return protocol.Attempt{Upstream: u.Name, Account: rq.account, Deadline: rq.deadline}
}

// note returns how the events of a request are recorded. Those of a request that was sent more than once are always
// in the log.
func (rq *request) note(rec *events.Recorder) func(id events.ID, request string, kv ...any) {
	if rq.attempts > 1 {
		return rec.NoteReserved
	}
	return rec.Note
}
