package entry

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/sparshore/sparshore/internal/callid"
	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/membership"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/quarantine"
	"github.com/sparshore/sparshore/internal/sidecar"
)

const (
	headerKey  = "Idempotency-Key"
	headerCall = "Sparshore-Call"
	// outcomeTimeout bounds the query for the outcome of a call.
	outcomeTimeout = 2 * time.Second
)

// unforwardedHeaders are the headers that are forwarded neither to a service nor from it.
var unforwardedHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerRequest,
}

// placedCall is a call with its ID and the peer of the sidecar responsible for it.
type placedCall struct {
	call sidecar.Call
	id   callid.ID
	peer *membership.Peer
}

// upstream returns the name of the upstream that gets the call, empty if no peer is known.
func (p placedCall) upstream() string {
	if p.peer == nil {
		return ""
	}
	return p.peer.Identity().Upstream()
}

// service forwards a call to a plain service.
func (e *Entry) service(w http.ResponseWriter, r callerRequest) {
	if _, ok := e.servicePool(r); !ok {
		e.refuse(w, r.id, errNoPool, time.Time{})
		return
	}
	body, apiErr := e.readCallerBody(w, &r)
	if apiErr != nil {
		e.refuse(w, r.id, apiErr, time.Time{})
		return
	}
	pool, ok := e.servicePool(r)
	if !ok {
		e.refuse(w, r.id, errNoPool, time.Time{})
		return
	}
	run, ok := e.enterQuarantine(w, r, pool.Name, body)
	if !ok {
		return
	}
	defer run.Leave()
	call := sidecar.Call{
		Request: r.id, Pool: pool.Name, Version: r.active.Version(), Method: r.Method, Path: servicePath(r, pool),
		Header: forwardedHeaders(r.Header), Body: body, Repeatable: pool.RepeatableMethod(r.Method),
		StartBy: e.now().Add(e.settings.CallWithin),
	}
	if call.Repeatable {
		call.ID = accountCallID(r.account, r.id)
		e.answerCall(w, r, e.runRepeatable(r, run, pool, call))
		return
	}
	pl, apiErr := e.placeCall(r, run, pool, call)
	if apiErr != nil {
		e.refuse(w, r.id, apiErr, e.retryAt(pool))
		return
	}
	w.Header().Set(headerCall, pl.id.String())
	run.SentTo(pl.upstream())
	res := e.runOnce(r, run, pl)
	e.reportResult(run, res)
	e.answerCall(w, r, res)
}

func (e *Entry) servicePool(r callerRequest) (*config.Pool, bool) {
	pool, ok := r.active.Config().Pool(mux.Vars(r.Request)["pool"])
	return pool, ok && pool.Kind == config.KindService
}

func servicePath(r callerRequest, pool *config.Pool) string {
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/services/"+pool.Name)
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

func forwardedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range unforwardedHeaders {
		out.Del(name)
	}
	return out
}

// accountCallID returns the ID under which sidecars know a call. It contains the account, so that the IDs of
// different accounts never collide.
func accountCallID(a *config.Account, id string) string { return a.Name + "/" + id }

// placeCall determines the only sidecar that may run the call. For a caller's idempotency key that is the
// home of the key, for a ticket the incarnation named in it. A call without either gets a new ticket here.
func (e *Entry) placeCall(r callerRequest, run *quarantine.Run, pool *config.Pool, call sidecar.Call) (placedCall, *apiError) {
	text := r.Header.Get(headerKey)
	if text == "" {
		return e.placeNewCall(r, run, pool, call)
	}
	id, err := callid.Parse(text)
	if err != nil {
		return placedCall{}, errBadBody.withMessage(err.Error()).withParam(headerKey)
	}
	call.ID = accountCallID(r.account, id.String())
	p, _ := e.set.Upstream(e.responsibleUpstream(id, pool))
	return placedCall{call: call, id: id, peer: p}, nil
}

// responsibleUpstream returns the upstream that may run the call with an ID.
func (e *Entry) responsibleUpstream(id callid.ID, pool *config.Pool) string {
	if id.IsTicket() {
		return id.Upstream()
	}
	return callid.HomeUpstream(id.String(), pool)
}

// placeNewCall chooses an upstream for a call without an ID and creates a ticket for it.
func (e *Entry) placeNewCall(r callerRequest, run *quarantine.Run, pool *config.Pool, call sidecar.Call) (placedCall, *apiError) {
	peers := e.isolatePeers(run, e.route(pool))
	switch {
	case len(peers) == 0 && run.Isolation() == quarantine.Apart:
		return placedCall{}, errOnTrial
	case len(peers) == 0:
		return placedCall{}, errNoUpstream
	}
	i := peers[0].Identity()
	id := callid.NewTicket(i.Upstream(), i.Incarnation())
	call.ID = accountCallID(r.account, id.String())
	return placedCall{call: call, id: id, peer: peers[0]}, nil
}

// runOnce sends the call once and never again. If no answer arrives, it queries the outcome of the call.
func (e *Entry) runOnce(r callerRequest, run *quarantine.Run, pl placedCall) sidecar.Result {
	if pl.peer == nil {
		return sidecar.NewResult(sidecar.Unknown, "the upstream responsible for the identifier cannot be reached")
	}
	e.rec.Note(events.RequestRouted, r.id, "upstream", pl.peer.Identity().Upstream(), "call", pl.call.ID)
	ctx, cancel := context.WithDeadline(r.Context(), pl.call.StartBy)
	defer cancel()
	sentTo := pl.peer.Identity()
	res, err := e.client.Invoke(ctx, pl.peer, pl.call)
	if err == nil {
		return res
	}
	e.reportLostSidecar(run, pl.peer, sentTo, err)
	if errors.Is(err, peer.ErrUnreachable) && r.Header.Get(headerKey) == "" {
		// The ID was created for this request, and nothing was sent under it.
		return sidecar.NewResult(sidecar.NotRun, err.Error())
	}
	return e.queryOutcome(r, pl)
}

// queryOutcome asks the responsible sidecar for the outcome of a call, and retries until the sidecar answers
// or outcomeTimeout has passed.
func (e *Entry) queryOutcome(r callerRequest, pl placedCall) sidecar.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), outcomeTimeout)
	defer cancel()
	last := fmt.Errorf("%w: no connection", peer.ErrUnreachable)
	for {
		if p, ok := e.set.Upstream(e.currentResponsibleUpstream(pl)); ok {
			res, err := e.client.Settle(ctx, p, pl.call)
			if err == nil {
				return res
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return sidecar.NewResult(sidecar.Unknown, fmt.Sprintf("the upstream did not answer: %v", last))
		case <-time.After(sidecarRetryDelay):
		}
	}
}

// currentResponsibleUpstream returns the upstream that is responsible for a call by the active configuration,
// which may have changed since the call was sent.
func (e *Entry) currentResponsibleUpstream(pl placedCall) string {
	if pl.id.IsTicket() {
		return pl.id.Upstream()
	}
	pool, ok := e.store.Active().Config().Pool(pl.call.Pool)
	if !ok {
		return ""
	}
	return callid.HomeUpstream(pl.id.String(), pool)
}

// runRepeatable sends a call that may run more than once to one upstream after another, within the retry
// budget, until one of them has run the call.
func (e *Entry) runRepeatable(r callerRequest, run *quarantine.Run, pool *config.Pool, call sidecar.Call) sidecar.Result {
	ctx, cancel := context.WithDeadline(r.Context(), call.StartBy)
	defer cancel()
	e.retryBudget(pool.Name).Request()
	res := sidecar.NewNotRun("no upstream can take the call", e.retryAt(pool))
	for i, p := range e.isolatePeers(run, e.route(pool)) {
		if i >= e.settings.Attempts || !run.MaySend() || (i > 0 && (!run.MayRepeat() || !e.retryBudget(pool.Name).Retry())) {
			break
		}
		if i > 0 {
			e.metrics.retries.Inc()
		}
		run.SentTo(p.Identity().Upstream())
		e.rec.Note(events.RequestRouted, r.id, "upstream", p.Identity().Upstream())
		sentTo := p.Identity()
		got, err := e.client.Invoke(ctx, p, call)
		if err == nil {
			e.reportResult(run, got)
		}
		e.reportLostSidecar(run, p, sentTo, err)
		switch {
		case err == nil && got.Outcome() == sidecar.Done:
			return got
		case err != nil && !errors.Is(err, peer.ErrUnreachable):
			res = sidecar.NewResult(sidecar.Unknown, err.Error())
		case err == nil && (got.Outcome() == sidecar.Unknown || res.Outcome() == sidecar.NotRun && !got.RetryAt().IsZero()):
			res = got
		}
	}
	return res
}

// answerCall writes the result of a call, or an error with its outcome.
func (e *Entry) answerCall(w http.ResponseWriter, r callerRequest, res sidecar.Result) {
	e.metrics.requests.WithLabelValues("call-" + string(res.Outcome())).Inc()
	e.rec.Note(events.RequestEnded, r.id, "outcome", res.Outcome(), "reason", res.Reason())
	switch {
	case res.Outcome() == sidecar.NotRun:
		retryAt := res.RetryAt()
		if retryAt.IsZero() {
			retryAt = e.now().Add(defaultRetryDelay)
		}
		writeError(w, errNotRun.withMessage("the call was not run: "+res.Reason()), sidecar.NotRun, retryAt, e.now())
	case res.Outcome() == sidecar.Unknown:
		writeError(w, errUnknown.withMessage("it is not known whether the call ran: "+res.Reason()), sidecar.Unknown, e.now().Add(defaultRetryDelay), e.now())
	default:
		writeAnswer(w, res)
	}
}

func writeAnswer(w http.ResponseWriter, res sidecar.Result) {
	h := w.Header()
	for k, v := range forwardedHeaders(res.Header()) {
		h[k] = v
	}
	h.Del("Content-Length")
	h.Set(headerOutcome, string(sidecar.Done))
	status := res.Status()
	if status == 0 {
		status = http.StatusNoContent
	}
	w.WriteHeader(status)
	_, _ = w.Write(res.Body())
}

type ticketBody struct {
	Ticket string `json:"ticket"`
}

// createTicket creates the ID of a call in advance, so that the caller can query the outcome even if the
// answer to the call is lost.
func (e *Entry) createTicket(w http.ResponseWriter, r callerRequest) {
	pool, ok := e.servicePool(r)
	if !ok {
		e.refuse(w, r.id, errNoPool, time.Time{})
		return
	}
	peers := e.route(pool)
	if len(peers) == 0 {
		e.refuse(w, r.id, errNoUpstream, e.retryAt(pool))
		return
	}
	i := peers[0].Identity()
	writeJSON(w, http.StatusOK, ticketBody{Ticket: callid.NewTicket(i.Upstream(), i.Incarnation()).String()})
}

// getCall writes the outcome of an earlier call.
func (e *Entry) getCall(w http.ResponseWriter, r callerRequest) {
	pool, ok := e.servicePool(r)
	if !ok {
		e.refuse(w, r.id, errNoPool, time.Time{})
		return
	}
	id, err := callid.Parse(mux.Vars(r.Request)["id"])
	if err != nil {
		e.refuse(w, r.id, errBadBody.withMessage(err.Error()), time.Time{})
		return
	}
	pl := placedCall{id: id, call: sidecar.Call{Request: r.id, ID: accountCallID(r.account, id.String()), Pool: pool.Name, Version: r.active.Version()}}
	w.Header().Set(headerCall, id.String())
	e.answerCall(w, r, e.queryOutcome(r, pl))
}
