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
	// settleTimeout bounds the question that follows a lost link.
	settleTimeout = 2 * time.Second
)

// hopHeaders are not passed on to a service.
var hopHeaders = []string{
	"Authorization", "Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", headerRequest,
}

// place is a call with the sidecar responsible for it.
type place struct {
	call sidecar.Call
	id   callid.ID
	peer *membership.Peer
}

// upstream is the name of the upstream that gets the call; empty if it cannot be reached.
func (p place) upstream() string {
	if p.peer == nil {
		return ""
	}
	return p.peer.Identity().Upstream()
}

// service passes a call on to a plain service.
func (e *Entry) service(w http.ResponseWriter, r callerRequest) {
	pool, ok := e.servicePool(r)
	if !ok {
		e.refuse(w, r.id, errNoPool, time.Time{})
		return
	}
	body, apiErr := e.readBody(w, r.Request)
	if apiErr != nil {
		e.refuse(w, r.id, apiErr, time.Time{})
		return
	}
	run, ok := e.enterRun(w, r, pool.Name, body)
	if !ok {
		return
	}
	defer run.Leave()
	call := sidecar.Call{
		Request: r.id, Pool: pool.Name, Version: r.active.Version(), Method: r.Method, Path: servicePath(r, pool),
		Header: passedHeaders(r.Header), Body: body, Repeatable: pool.RepeatableMethod(r.Method),
		StartBy: e.now().Add(e.settings.CallWithin),
	}
	if call.Repeatable {
		call.ID = callKey(r.account, r.id)
		e.answerCall(w, r, e.runRepeatable(r, run, pool, call))
		return
	}
	pl, apiErr := e.place(r, run, pool, call)
	if apiErr != nil {
		e.refuse(w, r.id, apiErr, e.retryAt(pool))
		return
	}
	w.Header().Set(headerCall, pl.id.String())
	run.SentTo(pl.upstream())
	res := e.runOnce(r, run, pl)
	e.settleCall(run, res)
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

func passedHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// callKey keeps the identifiers of different accounts apart.
func callKey(a *config.Account, id string) string { return a.Name + "/" + id }

// place finds the one sidecar that may run the call: the home of the caller's
// key, the incarnation a ticket names, or, without an identifier, a ticket
// made here.
func (e *Entry) place(r callerRequest, run *quarantine.Run, pool *config.Pool, call sidecar.Call) (place, *apiError) {
	text := r.Header.Get(headerKey)
	if text == "" {
		return e.placeNew(r, run, pool, call)
	}
	id, err := callid.Parse(text)
	if err != nil {
		return place{}, errBadBody.with(err.Error()).about(headerKey)
	}
	call.ID = callKey(r.account, id.String())
	p, _ := e.set.Upstream(e.responsible(id, pool))
	return place{call: call, id: id, peer: p}, nil
}

func (e *Entry) responsible(id callid.ID, pool *config.Pool) string {
	if id.Ticket() {
		return id.Upstream()
	}
	return callid.Home(id.String(), pool)
}

func (e *Entry) placeNew(r callerRequest, run *quarantine.Run, pool *config.Pool, call sidecar.Call) (place, *apiError) {
	peers := e.isolated(run, e.route(pool))
	switch {
	case len(peers) == 0 && run.Isolation() == quarantine.Apart:
		return place{}, errOnTrial
	case len(peers) == 0:
		return place{}, errNoUpstream
	}
	i := peers[0].Identity()
	id := callid.NewTicket(i.Upstream(), i.Incarnation())
	call.ID = callKey(r.account, id.String())
	return place{call: call, id: id, peer: peers[0]}, nil
}

// runOnce sends the call once. After a lost link it asks what became of it;
// it never sends it again.
func (e *Entry) runOnce(r callerRequest, run *quarantine.Run, pl place) sidecar.Result {
	if pl.peer == nil {
		return sidecar.NewResult(sidecar.Unknown, "the upstream responsible for the identifier cannot be reached")
	}
	e.rec.Note(events.RequestRouted, r.id, "upstream", pl.peer.Identity().Upstream(), "call", pl.call.ID)
	ctx, cancel := context.WithDeadline(r.Context(), pl.call.StartBy)
	defer cancel()
	sent := pl.peer.Identity()
	res, err := e.client.Invoke(ctx, pl.peer, pl.call)
	if err == nil {
		return res
	}
	e.sidecarLost(run, pl.peer, sent, err)
	if errors.Is(err, peer.ErrUnreachable) && r.Header.Get(headerKey) == "" {
		// The identifier was made here and nothing was sent under it.
		return sidecar.NewResult(sidecar.NotRun, err.Error())
	}
	return e.settle(r, pl)
}

// settle asks the responsible sidecar what became of a call.
func (e *Entry) settle(r callerRequest, pl place) sidecar.Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), settleTimeout)
	defer cancel()
	last := fmt.Errorf("%w: no connection", peer.ErrUnreachable)
	for {
		if p, ok := e.set.Upstream(e.responsibleNow(pl)); ok {
			res, err := e.client.Settle(ctx, p, pl.call)
			if err == nil {
				return res
			}
			last = err
		}
		select {
		case <-ctx.Done():
			return sidecar.NewResult(sidecar.Unknown, fmt.Sprintf("the upstream did not answer: %v", last))
		case <-time.After(resumePause):
		}
	}
}

func (e *Entry) responsibleNow(pl place) string {
	if pl.id.Ticket() {
		return pl.id.Upstream()
	}
	pool, ok := e.store.Active().Config().Pool(pl.call.Pool)
	if !ok {
		return ""
	}
	return callid.Home(pl.id.String(), pool)
}

// runRepeatable tries upstreams in turn, within the retry budget.
func (e *Entry) runRepeatable(r callerRequest, run *quarantine.Run, pool *config.Pool, call sidecar.Call) sidecar.Result {
	ctx, cancel := context.WithDeadline(r.Context(), call.StartBy)
	defer cancel()
	e.budget(pool.Name).Request()
	res := sidecar.NewRefusal("no upstream can take the call", e.retryAt(pool))
	for i, p := range e.isolated(run, e.route(pool)) {
		if i >= e.settings.Attempts || !run.MaySend() || (i > 0 && (!run.MayRepeat() || !e.budget(pool.Name).Retry())) {
			break
		}
		if i > 0 {
			e.met.retries.Inc()
		}
		run.SentTo(p.Identity().Upstream())
		e.rec.Note(events.RequestRouted, r.id, "upstream", p.Identity().Upstream())
		sent := p.Identity()
		got, err := e.client.Invoke(ctx, p, call)
		if err == nil {
			e.settleCall(run, got)
		}
		e.sidecarLost(run, p, sent, err)
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

// answerCall says what became of a call.
func (e *Entry) answerCall(w http.ResponseWriter, r callerRequest, res sidecar.Result) {
	e.met.requests.WithLabelValues("call-" + string(res.Outcome())).Inc()
	e.rec.Note(events.RequestEnded, r.id, "outcome", res.Outcome(), "reason", res.Reason())
	switch {
	case res.Outcome() == sidecar.NotRun:
		retryAt := res.RetryAt()
		if retryAt.IsZero() {
			retryAt = e.now().Add(overloadRetry)
		}
		writeError(w, errNotRun.with("the call was not run: "+res.Reason()), sidecar.NotRun, retryAt, e.now())
	case res.Outcome() == sidecar.Unknown:
		writeError(w, errUnknown.with("it is not known whether the call ran: "+res.Reason()), sidecar.Unknown, e.now().Add(overloadRetry), e.now())
	default:
		writeAnswer(w, res)
	}
}

func writeAnswer(w http.ResponseWriter, res sidecar.Result) {
	h := w.Header()
	for k, v := range passedHeaders(res.Header()) {
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

// mintTicket makes an identifier for a call, so that the caller knows it
// before the call and can ask again whatever happens.
func (e *Entry) mintTicket(w http.ResponseWriter, r callerRequest) {
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

// getCall answers what became of a call.
func (e *Entry) getCall(w http.ResponseWriter, r callerRequest) {
	pool, ok := e.servicePool(r)
	if !ok {
		e.refuse(w, r.id, errNoPool, time.Time{})
		return
	}
	id, err := callid.Parse(mux.Vars(r.Request)["id"])
	if err != nil {
		e.refuse(w, r.id, errBadBody.with(err.Error()), time.Time{})
		return
	}
	pl := place{id: id, call: sidecar.Call{Request: r.id, ID: callKey(r.account, id.String()), Pool: pool.Name, Version: r.active.Version()}}
	w.Header().Set(headerCall, id.String())
	e.answerCall(w, r, e.settle(r, pl))
}
