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
)

// serviceLink speaks HTTP to a plain service.
type serviceLink struct {
	base   string
	client *http.Client
	fence  func() int64
	// heard gets the heads of answers: when each was asked for, and whether it came whole and
	// is no failure.
	heard func(h http.Header, asked time.Time, whole bool)
	// noticed, if set, gets the head of each answer as soon as it has come.
	noticed func(status int, h http.Header)
}

func newServiceLink(base string, fence func() int64) *serviceLink {
	// Every call gets a connection of its own. A kept one may have been closed
	// by the service, and whether the call got through would stay unknown;
	// besides, the transport repeats some requests on kept connections.
	transport := &http.Transport{DisableKeepAlives: true}
	return &serviceLink{base: strings.TrimSuffix(base, "/"), client: &http.Client{Transport: transport}, fence: fence, heard: hearsNothing}
}

// maxAnswer bounds in bytes the answers that are read.
const maxAnswer = 8 << 20

// errNotSent is wrapped when no byte can have reached the service.
var errNotSent = errors.New("not sent")

// errAnswerTooLong is for an answer that is longer than is read.
var errAnswerTooLong = errors.New("answer is too long")

// lateWithin is how long after the end of a call's time its answer may still be read, counted from
// when this process notices the end: it and an answer that has come are due at once in one that
// did not get to run.
const lateWithin = 50 * time.Millisecond

// outlast returns a context that ends lateWithin after ctx.
func outlast(ctx context.Context) (context.Context, context.CancelFunc) {
	longer, cancel := context.WithCancel(context.WithoutCancel(ctx))
	unhook := context.AfterFunc(ctx, func() { time.AfterFunc(lateWithin, cancel) })
	return longer, func() {
		unhook()
		cancel()
	}
}

// do sends a call and reads its whole answer. errNotSent is wrapped when nothing was sent, and
// errAnswerTooLong when the answer is longer than is read.
func (l *serviceLink) do(ctx context.Context, p invokeParams) (*answer, error) {
	ctx, cancel := outlast(ctx)
	defer cancel()
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
	asked := time.Now()
	resp, err := l.client.Do(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if l.noticed != nil {
		l.noticed(resp.StatusCode, resp.Header)
	}
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer+1))
	l.heard(resp.Header, asked, err == nil && resp.StatusCode < http.StatusInternalServerError)
	if err != nil {
		return nil, err
	}
	if len(b) > maxAnswer {
		return nil, fmt.Errorf("%w: more than %d bytes", errAnswerTooLong, maxAnswer)
	}
	return &answer{status: resp.StatusCode, header: resp.Header, body: b}, nil
}

func (s *Server) invoke(ctx context.Context, c *peer.Conn, raw json.RawMessage) (any, error) {
	var p invokeParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: invoke: %v", errParams, err)
	}
	var res invokeResult
	switch {
	case s.behind(c, p.Version) && p.Repeatable:
		res = invokeResult{Outcome: NotRun, Reason: reasonBehind}
	case p.Repeatable:
		res = s.runRepeatable(ctx, p)
	default:
		res = s.runOnce(ctx, p)
	}
	res.Stamp = s.rec.Now()
	s.met.calls.WithLabelValues(string(res.Outcome)).Inc()
	return res, nil
}

func (s *Server) runRepeatable(ctx context.Context, p invokeParams) invokeResult {
	if s.draining.Load() {
		return invokeResult{Outcome: NotRun, Reason: "leaving"}
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.CallTimeout)
	defer cancel()
	if opensAt, ok := s.takes.take(ctx); !ok {
		return s.beyond(opensAt)
	}
	sentAt := time.Now()
	a, err := s.service.do(ctx, p)
	if err != nil {
		return invokeResult{Outcome: Unknown, Reason: err.Error(), EndedWith: s.endedUnder(ctx, sentAt, err)}
	}
	s.starts.answered()
	return doneResult(a)
}

// beyond is the result of a call beyond what the service takes, which was not run.
func (s *Server) beyond(opensAt time.Time) invokeResult {
	load := s.Load()
	return invokeResult{Outcome: NotRun, Reason: takesNoMore, RetryAt: opensAt.UnixMilli(), Load: &load}
}

// endedUnder returns the start of the service that ended under a call that was sent at a time and
// got no answer, empty if none did.
func (s *Server) endedUnder(ctx context.Context, sentAt time.Time, err error) string {
	if errors.Is(err, errNotSent) || refusedConnection(err) || ctx.Err() != nil {
		return ""
	}
	return s.starts.endedUnder(ctx, sentAt)
}

func doneResult(a *answer) invokeResult {
	if a == nil {
		return invokeResult{Outcome: Done, Reason: "answer was too large to keep"}
	}
	return invokeResult{Outcome: Done, Status: a.status, Header: a.header, Body: a.body}
}

// runOnce runs a call at most once. The order matters: what is known of the
// identifier comes first, then whether this incarnation may run it at all,
// then the record, then the last look at lease and deadline, then the send.
func (s *Server) runOnce(ctx context.Context, p invokeParams) invokeResult {
	id, err := callid.Parse(p.keyPart())
	if err != nil {
		return invokeResult{Outcome: NotRun, Reason: err.Error()}
	}
	if v, c, known := s.known(p.ID); known {
		return s.wait(ctx, v, c)
	}
	if res, ok := s.mayRun(id, p.Pool, p.Version); !ok {
		s.rec.Note(events.CallRefused, p.Request, "call", p.ID, "outcome", res.Outcome, "reason", res.Reason)
		return res
	}
	if s.draining.Load() {
		return s.settleUnstarted(p.ID, "leaving")
	}
	v, c := s.book.begin(p.ID)
	if v != verdictRun {
		return s.wait(ctx, v, c)
	}
	s.rec.Note(events.CallStarted, p.Request, "call", p.ID)
	return s.send(ctx, id, p, c)
}

// keyPart is the identifier as the caller gave it: the record's identifier
// without the account it is kept apart by.
func (p invokeParams) keyPart() string { return keyPart(p.ID) }

func keyPart(id string) string {
	_, key, _ := strings.Cut(id, "/")
	return key
}

// settleUnstarted bars the identifier and says that it was not run.
func (s *Server) settleUnstarted(id, reason string) invokeResult {
	v, c := s.book.bar(id)
	res := s.told(v, c)
	if res.Outcome == NotRun {
		res.Reason = reason
	}
	return res
}

func (s *Server) known(id string) (verdict, *call, bool) {
	s.book.mu.Lock()
	defer s.book.mu.Unlock()
	c, ok := s.book.calls[id]
	if !ok {
		return 0, nil, false
	}
	return c.verdict(), c, true
}

// wait answers for a call that is known already; one in flight is waited for.
func (s *Server) wait(ctx context.Context, v verdict, c *call) invokeResult {
	if v != verdictWait {
		return s.told(v, c)
	}
	select {
	case <-c.over:
	case <-ctx.Done():
		return invokeResult{Outcome: Unknown, Reason: "still running"}
	}
	s.book.mu.Lock()
	v = c.verdict()
	s.book.mu.Unlock()
	return s.told(v, c)
}

func (s *Server) told(v verdict, c *call) invokeResult {
	switch v {
	case verdictDone:
		return doneResult(s.book.answerOf(c))
	case verdictNotRun:
		return invokeResult{Outcome: NotRun, Reason: "barred by an earlier question or refusal"}
	case verdictWait:
		return invokeResult{Outcome: Unknown, Reason: "still running"}
	default:
		return invokeResult{Outcome: Unknown, Reason: "the upstream's answer was lost"}
	}
}

// mayRun says whether this incarnation may run the identifier, that is,
// whether no other one can have run it or still run it.
func (s *Server) mayRun(id callid.ID, pool string, v config.Version) (invokeResult, bool) {
	if id.Ticket() {
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
	if !ok || v != active.Version() || callid.Home(id.String(), pool) != s.settings.Upstream {
		return unknown("another upstream may be the key's home")
	}
	if !s.lease.Valid() {
		return unknown("no lease")
	}
	safeFrom := s.safeFrom(active)
	now := s.now()
	issued, dated := id.Issued()
	switch {
	case !dated && now.After(safeFrom.Add(s.settings.CallWindow)):
		return invokeResult{}, true
	case !dated:
		return unknown("key without time of issue, and an earlier incarnation may have run it")
	case issued.After(now.Add(s.settings.Skew)):
		return unknown("key from the future")
	case issued.Before(now.Add(-s.settings.CallWindow).Add(s.settings.Skew)):
		return unknown("key is older than the window")
	case issued.Before(safeFrom.Add(s.settings.Skew)):
		return unknown("key is older than this incarnation's time as home")
	default:
		return invokeResult{}, true
	}
}

// safeFrom is the time from which no other upstream or incarnation can have
// been the home of a key that has its home here.
func (s *Server) safeFrom(active *config.Active) time.Time {
	var from time.Time
	if !s.lease.First() {
		from = s.lease.Since()
	}
	if active.HomesSince().After(from) {
		return active.HomesSince()
	}
	return from
}

// permitBy is until when a call that only this sidecar may run waits for a permit.
func (s *Server) permitBy(p invokeParams) time.Time {
	by := s.now().Add(permitWithin)
	if startBy := time.UnixMilli(p.StartBy); p.StartBy > 0 && startBy.Before(by) {
		return startBy
	}
	return by
}

// send does the call. Lease and deadline are looked at again right before: the
// process may have been stopped since it recorded the start. What cannot be
// closed is a stop between this look and the kernel's send; see docs/PROOFS.md.
func (s *Server) send(ctx context.Context, id callid.ID, p invokeParams, c *call) invokeResult {
	if opensAt, ok := s.takes.await(ctx, s.permitBy(p)); !ok {
		s.book.withdraw(c)
		return s.beyond(opensAt)
	}
	if p.StartBy > 0 && s.now().UnixMilli() >= p.StartBy {
		s.book.withdraw(c)
		return invokeResult{Outcome: NotRun, Reason: "deadline has passed"}
	}
	if !id.Ticket() && !s.lease.Valid() {
		s.book.withdraw(c)
		return invokeResult{Outcome: Unknown, Reason: "lease ran out before the send"}
	}
	// A caller that goes away does not take the call back.
	sendCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settings.CallTimeout)
	defer cancel()
	sentAt := time.Now()
	a, err := s.service.do(sendCtx, p)
	switch {
	case err == nil:
		s.starts.answered()
		s.book.finish(c, a)
		s.rec.Note(events.CallDone, p.Request, "call", p.ID, "status", a.status)
		return doneResult(a)
	case errors.Is(err, errNotSent) || refusedConnection(err):
		s.book.withdraw(c)
		return invokeResult{Outcome: NotRun, Reason: "upstream not reachable"}
	default:
		s.book.lose(c)
		return invokeResult{Outcome: Unknown, Reason: "the upstream's answer was lost", EndedWith: s.endedUnder(sendCtx, sentAt, err)}
	}
}

func (s *Server) settle(_ context.Context, _ *peer.Conn, raw json.RawMessage) (any, error) {
	var p settleParams
	if err := json.Unmarshal(raw, &p); err != nil {
		return nil, fmt.Errorf("%w: settle: %v", errParams, err)
	}
	res := s.settled(p)
	res.Stamp = s.rec.Now()
	s.rec.Note(events.CallSettled, p.Request, "call", p.ID, "outcome", res.Outcome)
	return res, nil
}

// settled answers a question about a call. Only where this incarnation is the
// one place that could have run it does absence prove that it was not run, and
// then a tombstone keeps it from running later.
func (s *Server) settled(p settleParams) invokeResult {
	if v, c, known := s.known(p.ID); known {
		return s.told(v, c)
	}
	id, err := callid.Parse(keyPart(p.ID))
	if err != nil {
		return invokeResult{Outcome: NotRun, Reason: err.Error()}
	}
	if res, ok := s.mayRun(id, p.Pool, p.Version); !ok {
		return res
	}
	return s.settleUnstarted(p.ID, "never arrived")
}
