package sidecar

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sparshore/sparshore/internal/callid"
	"github.com/sparshore/sparshore/internal/config"
	"github.com/sparshore/sparshore/internal/events"
	"github.com/sparshore/sparshore/internal/peer"
	"github.com/sparshore/sparshore/internal/sizebound"
)

// serviceLink is the HTTP client of a plain service.
type serviceLink struct {
	base   string
	client *http.Client
	fence  func() int64
	// onAnswer gets the header of an answer after its body was read. sentAt is when its request was
	// sent; ok reports that the answer was read whole and its status is below 500.
	onAnswer func(h http.Header, sentAt time.Time, ok bool)
	// onHeader, if set, gets status and header of each answer as soon as they arrive.
	onHeader func(status int, h http.Header)
}

func newServiceLink(base string, fence func() int64) *serviceLink {
	// Every call gets its own connection. The service may have closed a kept-alive connection, and
	// then it is unknown whether the call got through. Besides, the transport repeats some requests
	// on kept-alive connections.
	transport := &http.Transport{DisableKeepAlives: true}
	return &serviceLink{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: boundConnections(transport)}, fence: fence, onAnswer: ignoreAnswer}
}

const (
	// maxAnswer bounds in bytes the answers that are read.
	maxAnswer = 8 << 20
	// maxUnannounced bounds in bytes an answer whose head does not announce its length, and
	// maxUnannouncedError one that reports a failure. Some failing services send such answers without end.
	maxUnannounced      = 512 << 10
	maxUnannouncedError = 256 << 10
)

// maxBody returns the size in bytes that the body of an answer may have.
func maxBody(resp *http.Response) int64 {
	switch {
	case resp.ContentLength >= 0:
		return maxAnswer
	case resp.StatusCode >= http.StatusInternalServerError:
		return maxUnannouncedError
	default:
		return maxUnannounced
	}
}

// errNotSent is wrapped when no byte can have reached the service.
var errNotSent = errors.New("not sent")

// errAnswerTooLong is wrapped for an answer of more bytes than maxBody allows.
var errAnswerTooLong = fmt.Errorf("%w: body", sizebound.ErrTooLong)

// lateAnswerGrace is how long after a call's timeout its answer may still be read, counted from
// when this process notices the timeout. In a process that was not scheduled for a while, the
// timeout and an answer that arrived in time become ready together, and the answer must not be
// lost.
const lateAnswerGrace = 50 * time.Millisecond

// withLateAnswerGrace returns a context that ends lateAnswerGrace after ctx.
func withLateAnswerGrace(ctx context.Context) (context.Context, context.CancelFunc) {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(lateAnswerGrace, cancel) })
	return longer, func() {
		stop()
		cancel()
	}
}

// do sends a call and reads its whole answer. The error wraps errNotSent when nothing was sent, and
// errAnswerTooLong when the answer is too long.
func (l *serviceLink) do(ctx context.Context, p invokeParams) (*answer, error) {
	ctx, cancel := withLateAnswerGrace(ctx)
	defer cancel()
	ctx, bound := withBound(ctx, maxUnannounced)
	body := io.NopCloser(bytes.NewReader(p.Body))
	r, err := http.NewRequestWithContext(ctx, p.Method, l.base+p.Path, body)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", errNotSent, err)
	}
	r.ContentLength = int64(len(p.Body))
	r.Header = p.Header.Clone()
	if r.Header == nil {
		r.Header = http.Header{}
	}
	r.Header.Set("X-Request-Id", p.ID)
	r.Header.Set("X-Fencing-Token", strconv.FormatInt(l.fence(), 10))
	sentAt := time.Now()
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, bound.wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if l.onHeader != nil {
		l.onHeader(resp.StatusCode, resp.Header)
	}
	b, err := readBody(resp, bound)
	l.onAnswer(resp.Header, sentAt, err == nil && resp.StatusCode < http.StatusInternalServerError)
	if err != nil {
		return nil, err
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: b}, nil
}

// readBody reads the body of an answer, and half as many bytes for the framing of its chunks. None of it is read
// if its head announces that it is too long.
func readBody(resp *http.Response, bound *wireBound) ([]byte, error) {
	most := maxBody(resp)
	if resp.ContentLength > most {
		return nil, fmt.Errorf("%w of %d bytes", errAnswerTooLong, resp.ContentLength)
	}
	bound.limit(most + most/2)
	b, err := io.ReadAll(io.LimitReader(resp.Body, most+1))
	if err == nil && int64(len(b)) > most {
		return nil, fmt.Errorf("%w of more than %d bytes", errAnswerTooLong, most)
	}
	return b, err
}

func (s *Server) invoke(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p invokeParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: invoke: %v", errParams, err)
	}
	var res invokeResult
	switch {
	case s.configBehind(c, p.Version) && p.Repeatable:
		res = invokeResult{Outcome: NotRun, Reason: reasonBehind}
	case p.Repeatable:
		res = s.runRepeatable(ctx, p)
	default:
		res = s.runOnce(ctx, p)
	}
	res.Stamp = s.rec.Now()
	s.metrics.calls.WithLabelValues(string(res.Outcome)).Inc()
	return res, nil
}

func (s *Server) runRepeatable(ctx context.Context, p invokeParams) invokeResult {
	if s.draining.Load() {
		return invokeResult{Outcome: NotRun, Reason: "leaving"}
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	if opensAt, ok := s.limiter.takePermit(ctx); !ok {
		return s.notRunRateLimited(opensAt)
	}
	sentAt := time.Now()
	a, err := s.service.do(ctx, p)
	if err != nil {
		return invokeResult{Outcome: Unknown, Reason: err.Error(), EndedIncarnation: s.endedDuring(ctx, sentAt, err)}
	}
	s.incarnations.markUp()
	return doneResult(a)
}

// notRunRateLimited is the result of a call that was not run because the service accepts no more
// calls before opensAt.
func (s *Server) notRunRateLimited(opensAt time.Time) invokeResult {
	load := s.Load()
	return invokeResult{Outcome: NotRun, Reason: reasonRateLimited, RetryAt: opensAt.UnixMilli(), Load: &load}
}

// endedDuring returns the incarnation of the service that ended while it ran a call that was sent
// at sentAt and got no answer; empty if none did.
func (s *Server) endedDuring(ctx context.Context, sentAt time.Time, err error) string {
	if errors.Is(err, errNotSent) || refusedConnection(err) || ctx.Err() != nil {
		return ""
	}
	return s.incarnations.endedDuring(ctx, sentAt)
}

func doneResult(a *answer) invokeResult {
	if a == nil {
		return invokeResult{Outcome: Done, Reason: "answer was too large to keep"}
	}
	return invokeResult{Outcome: Done, Status: a.status, Header: a.header, Body: a.body}
}

// runOnce runs a call at most once. The order of its steps matters: look up the record of the
// identifier, check whether this incarnation may run it at all, record the start, check lease and
// deadline once more, send.
func (s *Server) runOnce(ctx context.Context, p invokeParams) invokeResult {
	id, err := callid.Parse(p.callerKey())
	if err != nil {
		return invokeResult{Outcome: NotRun, Reason: err.Error()}
	}
	if v, c, known := s.lookupCall(p.ID); known {
		return s.awaitCall(ctx, v, c)
	}
	if res, ok := s.mayRun(id, p.Pool, p.Version); !ok {
		s.rec.Note(events.CallRefused, p.Request, "call", p.ID, "outcome", res.Outcome, "reason", res.Reason)
		return res
	}
	if s.draining.Load() {
		return s.settleAsNotRun(p.ID, "leaving")
	}
	v, c := s.registry.begin(p.ID)
	if v != dispositionRun {
		return s.awaitCall(ctx, v, c)
	}
	s.rec.Note(events.CallStarted, p.Request, "call", p.ID)
	return s.send(ctx, id, p, c)
}

// callerKey returns the call's identifier as the caller or entry gave it, without the account
// prefix that keeps the identifiers of different accounts apart.
func (p invokeParams) callerKey() string { return callerKeyOf(p.ID) }

func callerKeyOf(id string) string {
	_, key, _ := strings.Cut(id, "/")
	return key
}

// settleAsNotRun adds a tombstone for the identifier and returns that the call was not run, unless
// the identifier has a record that says otherwise.
func (s *Server) settleAsNotRun(id, reason string) invokeResult {
	v, c := s.registry.addTombstone(id)
	res := s.resultOf(v, c)
	if res.Outcome == NotRun {
		res.Reason = reason
	}
	return res
}

func (s *Server) lookupCall(id string) (disposition, *call, bool) {
	s.registry.mu.Lock()
	defer s.registry.mu.Unlock()
	c, ok := s.registry.calls[id]
	if !ok {
		return 0, nil, false
	}
	return c.disposition(), c, true
}

// awaitCall returns the result of a call that has a record. It waits for a call that is in flight.
func (s *Server) awaitCall(ctx context.Context, v disposition, c *call) invokeResult {
	if v != dispositionWait {
		return s.resultOf(v, c)
	}
	select {
	case <-c.finished:
	case <-ctx.Done():
		return invokeResult{Outcome: Unknown, Reason: "still running"}
	}
	s.registry.mu.Lock()
	v = c.disposition()
	s.registry.mu.Unlock()
	return s.resultOf(v, c)
}

func (s *Server) resultOf(v disposition, c *call) invokeResult {
	switch v {
	case dispositionDone:
		return doneResult(s.registry.keptAnswer(c))
	case dispositionNotRun:
		return invokeResult{Outcome: NotRun, Reason: "barred by an earlier question or refusal"}
	case dispositionWait:
		return invokeResult{Outcome: Unknown, Reason: "still running"}
	default:
		return invokeResult{Outcome: Unknown, Reason: "the upstream's answer was lost"}
	}
}

// mayRun reports whether this incarnation may run the identifier, that is, whether no other upstream
// or incarnation can have run it or still run it.
func (s *Server) mayRun(id callid.ID, pool string, v config.Version) (invokeResult, bool) {
	if id.IsTicket() {
		return s.mayRunTicket(id)
	}
	return s.mayRunKey(id, pool, v)
}

func (s *Server) mayRunTicket(id callid.ID) (invokeResult, bool) {
	if id.Upstream() != s.settings.Upstream || id.Incarnation() != s.identity.Incarnation() {
		return invokeResult{Outcome: Unknown, Reason: "ticket of another incarnation, which may have run it"}, false
	}
	return invokeResult{}, true
}

func (s *Server) mayRunKey(id callid.ID, poolName string, v config.Version) (invokeResult, bool) {
	unknown := func(reason string) (invokeResult, bool) {
		return invokeResult{Outcome: Unknown, Reason: reason}, false
	}
	active := s.active()
	pool, ok := active.Config().Pool(poolName)
	if !ok || v != active.Version() || callid.HomeUpstream(id.String(), pool) != s.settings.Upstream {
		return unknown("another upstream may be the key's home")
	}
	if !s.lease.Valid() {
		return unknown("no lease")
	}
	exclusiveSince := s.exclusiveSince(active)
	now := s.now()
	issued, dated := id.Issued()
	switch {
	case !dated && now.After(exclusiveSince.Add(s.settings.CallWindow)):
		return invokeResult{}, true
	case !dated:
		return unknown("key without time of issue, and an earlier incarnation may have run it")
	case issued.After(now.Add(s.settings.Skew)):
		return unknown("key from the future")
	case issued.Before(now.Add(-s.settings.CallWindow).Add(s.settings.Skew)):
		return unknown("key is older than the window")
	case issued.Before(exclusiveSince.Add(s.settings.Skew)):
		return unknown("key is older than this incarnation's time as home")
	default:
		return invokeResult{}, true
	}
}

// exclusiveSince returns the time since which no other upstream or incarnation can have been the
// home of a key whose home is this upstream.
func (s *Server) exclusiveSince(active *config.Active) time.Time {
	var since time.Time
	if !s.lease.FirstHolder() {
		since = s.lease.Since()
	}
	if active.HomesSince().After(since) {
		return active.HomesSince()
	}
	return since
}

// permitDeadline returns until when a call that only this upstream may run waits for a permit.
func (s *Server) permitDeadline(p invokeParams) time.Time {
	deadline := s.now().Add(maxPermitWait)
	if startBy := time.UnixMilli(p.StartBy); p.StartBy > 0 && startBy.Before(deadline) {
		return startBy
	}
	return deadline
}

// send sends the call. It checks lease and deadline again right before, since the process may have
// been paused after it recorded the start. A pause between this check and the kernel's send cannot
// be excluded; see docs/PROOFS.md.
func (s *Server) send(ctx context.Context, id callid.ID, p invokeParams, c *call) invokeResult {
	if opensAt, ok := s.limiter.awaitPermit(ctx, s.permitDeadline(p)); !ok {
		s.registry.markNotRun(c)
		return s.notRunRateLimited(opensAt)
	}
	if p.StartBy > 0 && s.now().UnixMilli() >= p.StartBy {
		s.registry.markNotRun(c)
		return invokeResult{Outcome: NotRun, Reason: "deadline has passed"}
	}
	if !id.IsTicket() && !s.lease.Valid() {
		s.registry.markNotRun(c)
		return invokeResult{Outcome: Unknown, Reason: "lease ran out before the send"}
	}
	// A caller that disconnects does not cancel the call.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.CallTimeout)
	defer cancel()
	sentAt := time.Now()
	a, err := s.service.do(sendCtx, p)
	switch {
	case err == nil:
		s.incarnations.markUp()
		s.registry.markDone(c, a)
		s.rec.Note(events.CallDone, p.Request, "call", p.ID, "status", a.status)
		return doneResult(a)
	case errors.Is(err, errNotSent) || refusedConnection(err):
		s.registry.markNotRun(c)
		return invokeResult{Outcome: NotRun, Reason: "upstream not reachable"}
	default:
		s.registry.markLost(c)
		return invokeResult{Outcome: Unknown, Reason: "the upstream's answer was lost", EndedIncarnation: s.endedDuring(sendCtx, sentAt, err)}
	}
}

func (s *Server) settle(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var p settleParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: settle: %v", errParams, err)
	}
	res := s.settleCall(p)
	res.Stamp = s.rec.Now()
	s.rec.Note(events.CallSettled, p.Request, "call", p.ID, "outcome", res.Outcome)
	return res, nil
}

// settleCall returns what became of a call. A missing record proves that the call was not run only
// if no other upstream or incarnation can have run it. A tombstone then keeps it from running later.
func (s *Server) settleCall(p settleParams) invokeResult {
	if v, c, known := s.lookupCall(p.ID); known {
		return s.resultOf(v, c)
	}
	id, err := callid.Parse(callerKeyOf(p.ID))
	if err != nil {
		return invokeResult{Outcome: NotRun, Reason: err.Error()}
	}
	if res, ok := s.mayRun(id, p.Pool, p.Version); !ok {
		return res
	}
	return s.settleAsNotRun(p.ID, "never arrived")
}
